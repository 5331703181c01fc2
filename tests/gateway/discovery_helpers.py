"""Gateways under watch events of a discovery that the test writes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.gateway.discovery_messages import endpoint_id_of
from tests.sockets import Gateway, Registry, gateway


@asynccontextmanager
async def watched(**changed: Any) -> AsyncIterator[tuple[Gateway, asyncio.StreamWriter]]:
    """A gateway that has its cached list, and discovery's side of its first watch."""
    async with gateway(**changed) as it:
        await next_list(it)
        _, watch = await it.registry.watches.get()
        yield it, watch


@asynccontextmanager
async def other_registry() -> AsyncIterator[Registry]:
    """Discovery at another address."""
    registry = Registry()
    await registry.start()
    try:
        yield registry
    finally:
        registry.stop()


async def next_list(it: Gateway) -> tuple[ListKind, list[str]]:
    """The next list event: its kind and its endpoints' states, by name."""
    event = await it.event(EndpointListReceived)
    names = {endpoint_id_of(f"h{n}"): f"h{n}" for n in range(9)}
    return event.kind, [f"{names[s.id]} {s.status.value}" for s in event.endpoints]
