"""Open-loop clients: they send requests at scheduled times, however long the answers take.

Each request is sent through a gateway, and in some runs again directly to an endpoint, to compare latencies.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from typing import Any, NamedTuple, assert_never

from lab import fleet, schedule
from lab.child import Handler, Histogram, serve
from lab.client_connections import REQUEST_TIMEOUT_S, Target
from lab.messages import (
    AwaitRequests,
    ClientCommand,
    ClientResult,
    PlayRequests,
)

MAX_DIRECT_ENDPOINTS = 16  # endpoints that receive direct requests
BODY = b"x" * 120
START_DELAY_S = 0.1  # from the command to the start of the schedule
DRAIN_POLL_S = 0.01  # between two checks whether all requests have ended


def encode_request(route: int, tenant: int, request_id: int) -> bytes:
    """Encode a request as the protocol requires for the effect of its route."""
    name, effect = fleet.route_name(route), fleet.route_effect(route)
    head = (
        f"{'GET' if effect == 'free' else 'POST'} /{name}?user={request_id % 9973:04x} HTTP/1.1\r\n"
        f"Host: service.internal\r\nRequest-Id: {request_id:016x}\r\nRequest-Class: {name}\r\n"
        f"Tenant: {fleet.tenant_name(tenant)}\r\nRequest-Timeout-Ms: {int(REQUEST_TIMEOUT_S * 1e3)}\r\n"
    )
    if effect == "free":
        return f"{head}\r\n".encode()
    if effect == "guarded":
        head += f"Idempotency-Key: {request_id:x}\r\n"
    return f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


class PlannedRequest(NamedTuple):
    """A request that is to be sent.

    Attributes:
        at_s: Seconds after the start of the schedule.
        target: "gateway" or "direct".
        address_index: The index of the address among the target's.
        payload: The encoded request.
        expected: The body that an answer with status 200 must have.
    """

    at_s: float
    target: str
    address_index: int
    payload: bytes
    expected: bytes


class Clients:
    """Sends requests at their scheduled times, through gateways and directly to endpoints."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.targets: dict[str, Target] = {}
        self.late = Histogram()
        self.playing: asyncio.Task[None] | None = None

    def plan(self, command: PlayRequests) -> Iterator[PlannedRequest]:
        """Yield each request to a gateway and, half a mean gap later, its direct counterpart, if any."""
        request_schedule = schedule.requests(
            command.seed,
            "clients",
            command.rate,
            command.seconds,
            command.routes,
            command.tenants,
            len(command.gateways),
        )
        arrivals = zip(
            request_schedule.times_s,
            request_schedule.routes,
            request_schedule.tenants,
            request_schedule.targets,
            strict=True,
        )
        pending: list[PlannedRequest] = []
        for number, (at_s, route, tenant, gateway) in enumerate(arrivals):
            while pending and pending[0].at_s <= at_s:
                yield pending.pop(0)
            request_id = command.first + 2 * number
            yield PlannedRequest(at_s, "gateway", gateway, *encode_exchange(route, tenant, request_id))
            if command.direct:
                direct_s = at_s + 0.5 / command.rate
                index = number % len(command.direct)
                pending.append(
                    PlannedRequest(direct_s, "direct", index, *encode_exchange(route, tenant, request_id + 1))
                )
        yield from pending

    async def play(self, command: PlayRequests) -> None:
        """Send all requests and wait until they have ended.

        Results count only after `warm` seconds, when connections are open.

        A thread waits for the times of the requests, because the event loop's timers have a resolution of a
        millisecond. So have the timers of the stand-in for the endpoints: if requests were sent on a tick, up
        to a millisecond of the latency that a gateway adds would not be seen.
        """
        plan = list(self.plan(command))
        start_s = time.monotonic() + START_DELAY_S
        sent = asyncio.Event()

        def send_on_time() -> None:
            for planned in plan:
                wait_s = start_s + planned.at_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                counted = planned.at_s >= command.warm
                self.loop.call_soon_threadsafe(self.send, start_s + planned.at_s, counted, planned)
            self.loop.call_soon_threadsafe(sent.set)

        threading.Thread(target=send_on_time, daemon=True).start()
        await sent.wait()
        while any(target.in_flight for target in self.targets.values()):
            await asyncio.sleep(DRAIN_POLL_S)
        for target in self.targets.values():
            target.close()

    def send(self, due_s: float, counted: bool, planned: PlannedRequest) -> None:
        """Send a request, and record how late it is after the time of the monotonic clock when it was due."""
        self.late.record((time.monotonic() - due_s) * 1e6)
        target = self.targets[planned.target]
        target.send(planned.address_index, planned.payload, planned.expected, counted)

    async def handle(self, command: ClientCommand) -> Any:
        """Execute a command and return its answer."""
        match command:
            case PlayRequests():
                self.late = Histogram()
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
                return ClientResult(self.late.encode(), results)
            case _:
                assert_never(command)


def encode_exchange(route: int, tenant: int, request_id: int) -> tuple[bytes, bytes]:
    """Return an encoded request and the body that its answer must have."""
    return encode_request(route, tenant, request_id), b"%016x /%b\n" % (
        request_id,
        fleet.route_name(route).encode(),
    )


def create_handler() -> Handler[ClientCommand]:
    """Return the handler of commands, for the running event loop."""
    return Clients(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, ClientCommand)
