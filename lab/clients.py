"""Clients that ask at seeded times whatever the answers do: through gateways, and the same straight."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from typing import Any, NamedTuple, assert_never

from lab import fleet, schedule
from lab.child import Handler, Hist, serve
from lab.client_connections import TIMEOUT_S, Target
from lab.messages import (
    AwaitRequests,
    ClientCommand,
    ClientResult,
    PlayRequests,
)

DIRECT_SERVERS = 16  # asked straight
BODY = b"x" * 120
LEAD_S = 0.1  # from the command to the first request
DRAIN_POLL_S = 0.01


def ask_bytes(route: int, tenant: int, number: int) -> bytes:
    """A request in the form that PROTOCOL gives for its class."""
    name, effect = fleet.route(route), fleet.effect(route)
    head = (
        f"{'GET' if effect == 'free' else 'POST'} /{name}?user={number % 9973:04x} HTTP/1.1\r\n"
        f"Host: service.internal\r\nRequest-Id: {number:016x}\r\nRequest-Class: {name}\r\n"
        f"Tenant: {fleet.tenant(tenant)}\r\nRequest-Timeout-Ms: {int(TIMEOUT_S * 1e3)}\r\n"
    )
    if effect == "free":
        return f"{head}\r\n".encode()
    if effect == "guarded":
        head += f"Idempotency-Key: {number:x}\r\n"
    return f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


class PlannedRequest(NamedTuple):
    """A request that is to be sent."""

    at_s: float
    target: str
    address_index: int  # in the target's addresses
    payload: bytes
    expected: bytes


class Clients:
    """Sends requests at their times, through gateways and straight."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.targets: dict[str, Target] = {}
        self.late = Hist()
        self.playing: asyncio.Task[None] | None = None

    def plan(self, command: PlayRequests) -> Iterator[PlannedRequest]:
        """Every request goes to a gateway, and half a mean gap later the same goes to a stand-in."""
        drawn = schedule.requests(
            command.seed,
            "clients",
            command.rate,
            command.seconds,
            command.routes,
            command.tenants,
            len(command.gateways),
        )
        arrivals = zip(drawn.times_s, drawn.routes, drawn.tenants, drawn.targets, strict=True)
        pending: list[PlannedRequest] = []
        for number, (at_s, route, tenant, gateway) in enumerate(arrivals):
            while pending and pending[0].at_s <= at_s:
                yield pending.pop(0)
            request_id = command.first + 2 * number
            yield PlannedRequest(at_s, "gateway", gateway, *exchange(route, tenant, request_id))
            if command.direct:
                direct_s = at_s + 0.5 / command.rate
                index = number % len(command.direct)
                pending.append(
                    PlannedRequest(direct_s, "direct", index, *exchange(route, tenant, request_id + 1))
                )
        yield from pending

    async def play(self, command: PlayRequests) -> None:
        """Send all requests; latencies count only after `warm` seconds, when connections are up.

        A thread keeps the time: the loop's timers go by whole milliseconds, and so do the stand-in's, so that
        requests sent on a tick would hide up to a millisecond of what a gateway adds.
        """
        plan = list(self.plan(command))
        start = time.monotonic() + LEAD_S
        sent = asyncio.Event()

        def keep_time() -> None:
            for planned in plan:
                wait_s = start + planned.at_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                counted = planned.at_s >= command.warm
                self.loop.call_soon_threadsafe(self.send, start + planned.at_s, counted, planned)
            self.loop.call_soon_threadsafe(sent.set)

        threading.Thread(target=keep_time, daemon=True).start()
        await sent.wait()
        while any(target.in_flight for target in self.targets.values()):
            await asyncio.sleep(DRAIN_POLL_S)
        for target in self.targets.values():
            target.close()

    def send(self, due: float, counted: bool, planned: PlannedRequest) -> None:
        """Send a request that was due at a time of the monotonic clock."""
        self.late.add((time.monotonic() - due) * 1e6)
        target = self.targets[planned.target]
        target.send(planned.address_index, planned.payload, planned.expected, counted)

    async def handle(self, command: ClientCommand) -> Any:
        """Carry out a command; returns its answer."""
        match command:
            case PlayRequests():
                self.late = Hist()
                self.targets = {
                    "gateway": Target(self.loop, command.gateways),
                    "direct": Target(self.loop, command.direct),
                }
                self.playing = self.loop.create_task(self.play(command))
                return None
            case AwaitRequests():
                if self.playing is not None:
                    await self.playing
                results = {name: target.result() for name, target in self.targets.items()}
                return ClientResult(self.late.text(), results)
            case _:
                assert_never(command)


def exchange(route: int, tenant: int, number: int) -> tuple[bytes, bytes]:
    """A request's bytes, and the body of its answer."""
    return ask_bytes(route, tenant, number), b"%016x /%b\n" % (number, fleet.route(route).encode())


def create_handler() -> Handler[ClientCommand]:
    """The handler of commands, on the running event loop."""
    return Clients(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, ClientCommand)
