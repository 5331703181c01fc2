"""Gateways whose watch events the test writes, and the endpoint lists that they receive."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.gateway.discovery_messages import endpoint_id_of
from tests.gateway.running_gateway import RunningGateway, running_gateway
from tests.gateway.stub_discovery import StubDiscovery


@asynccontextmanager
async def gateway_with_watch(**overrides: Any) -> AsyncIterator[tuple[RunningGateway, asyncio.StreamWriter]]:
    """Run a gateway that has handled its cached list; yields it and the stub's side of its first watch."""
    async with running_gateway(**overrides) as gateway:
        await next_list(gateway)
        _, watch = await gateway.discovery.watches.get()
        yield gateway, watch


@asynccontextmanager
async def other_discovery() -> AsyncIterator[StubDiscovery]:
    """Run another stub of discovery, at an address of its own."""
    discovery = StubDiscovery()
    await discovery.start()
    try:
        yield discovery
    finally:
        discovery.stop()


async def next_list(gateway: RunningGateway) -> tuple[ListKind, list[str]]:
    """Wait for the next list event; returns its kind and the name and status of each of its endpoints."""
    event = await gateway.wait_for_event(EndpointListReceived)
    names = {endpoint_id_of(f"h{n}"): f"h{n}" for n in range(9)}
    return event.kind, [f"{names[s.id]} {s.status.value}" for s in event.endpoints]
