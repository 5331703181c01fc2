"""Clients that ask at seeded times whatever the answers do: through gateways, and the same straight."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from typing import Any, NamedTuple, assert_never, cast

import httptools

from lab import fleet, schedule
from lab.child import Handler, Hist, serve
from lab.messages import (
    Address,
    AwaitRequests,
    ClientCommand,
    ClientResult,
    PlayRequests,
    TargetResult,
)

TIMEOUT_S = 2.0  # of every request
DIRECT_SERVERS = 16  # asked straight
BODY = b"x" * 120
CONNECT_S = 1.0
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


class Target:
    """Connections to some addresses, and what came of the requests sent there."""

    def __init__(self, loop: asyncio.AbstractEventLoop, addresses: list[Address]) -> None:
        self.loop = loop
        self.addresses = addresses
        self.idle: list[list[Connection]] = [[] for _ in addresses]
        self.hist = Hist()
        self.counts: dict[str, int] = {}
        self.bytes = 0
        self.in_flight = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, index: int, payload: bytes, expected: bytes, counted: bool) -> None:
        """Send a request to the address of an index."""
        self.in_flight += 1
        ClientRequest(self, index, payload, expected, counted).send()

    def count_end(self, what: str, began_ns: int, counted: bool) -> None:
        """Count how a request ended, and its latency where it was served."""
        self.in_flight -= 1
        if counted:
            self.counts[what] = self.counts.get(what, 0) + 1
            if what == "200":
                self.hist.add((time.perf_counter_ns() - began_ns) / 1e3)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle:
            for connection in list(idle):
                connection.abort()

    def result(self) -> TargetResult:
        """What came of all requests."""
        return TargetResult(self.counts, self.hist.text(), self.bytes)


class ClientRequest:
    """One request, until its answer has come whole, its time is over or its connection has gone."""

    def __init__(self, target: Target, index: int, payload: bytes, expected: bytes, counted: bool) -> None:
        self.target, self.index, self.payload, self.expected = target, index, payload, expected
        self.counted = counted
        self.began_ns = time.perf_counter_ns()
        self.connection: Connection | None = None
        self.may_resend = True
        self.done = False
        self.timer = target.loop.call_later(TIMEOUT_S, self.give_up)

    def send(self) -> None:
        """Send it over an idle connection, or a new one."""
        idle = self.target.idle[self.index]
        if idle:
            idle.pop().write(self)
        else:
            task = self.target.loop.create_task(self.connect())
            self.target.tasks.add(task)
            task.add_done_callback(self.target.tasks.discard)

    async def connect(self) -> None:
        """Open a connection and send it there."""
        target = self.target
        connection = Connection(target, self.index)
        try:
            async with asyncio.timeout(CONNECT_S):
                await target.loop.create_connection(lambda: connection, *target.addresses[self.index])
        except (OSError, TimeoutError):
            self.end("no connection")
            return
        if self.done:
            connection.abort()
        else:
            connection.write(self)

    def give_up(self) -> None:
        """End it once its time is over."""
        if self.connection is not None:
            self.connection.abort()
        self.end("out of time")

    def lost(self, reused: bool) -> None:
        """A close that crossed the request: it is sent once more on a new connection."""
        if self.done:
            return
        self.connection = None
        if reused and self.may_resend:
            self.may_resend = False
            self.target.idle[self.index].clear()
            self.send()
        else:
            self.end("lost")

    def end(self, what: str) -> None:
        """End it once, with what came of it."""
        if not self.done:
            self.done = True
            self.timer.cancel()
            self.target.count_end(what, self.began_ns, self.counted)


class Connection(asyncio.Protocol):
    """A connection that serves one request at a time."""

    def __init__(self, target: Target, index: int) -> None:
        self.target, self.index = target, index
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        self.served = 0
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.keep = True
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def write(self, request: ClientRequest) -> None:
        """Send a request."""
        assert self.transport is not None
        self.request, request.connection = request, self
        self.target.bytes += len(request.payload)
        self.transport.write(request.payload)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.target.bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()
            return
        if not self.complete:
            return
        request, self.request, self.complete = self.request, None, False
        status = self.parser.get_status_code()
        self.served += 1
        if self.keep and self.transport is not None and not self.transport.is_closing():
            self.target.idle[self.index].append(self)
        else:
            self.abort()
        if request is not None:
            wrong = status == 200 and self.body != request.expected
            request.end("wrong body" if wrong else str(status))

    def on_message_begin(self) -> None:
        """See httptools."""
        self.body = b""

    def on_body(self, body: bytes) -> None:
        """See httptools."""
        self.body += body

    def on_message_complete(self) -> None:
        """See httptools."""
        self.complete, self.keep = True, self.parser.should_keep_alive()

    def connection_lost(self, _exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        idle = self.target.idle[self.index]
        if self in idle:
            idle.remove(self)
        request, self.request = self.request, None
        if request is not None:
            request.lost(reused=self.served > 0)

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


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
        kinds = zip(drawn.times_s, drawn.routes, drawn.tenants, drawn.targets, strict=True)
        pending: list[PlannedRequest] = []
        for n, (at_s, route, tenant, gateway) in enumerate(kinds):
            while pending and pending[0].at_s <= at_s:
                yield pending.pop(0)
            number = command.first + 2 * n
            yield PlannedRequest(at_s, "gateway", gateway, *exchange(route, tenant, number))
            if command.direct:
                direct_s, index = at_s + 0.5 / command.rate, n % len(command.direct)
                pending.append(
                    PlannedRequest(direct_s, "direct", index, *exchange(route, tenant, number + 1))
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
