"""Clients that ask at seeded times whatever the answers do: through gateways, and the same straight."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Iterator
from typing import Any, cast

import httptools

from lab import fleet, schedule
from lab.child import Handler, Hist, Order, obey

PATIENCE_S = 2.0  # the settings' time to give up, for every first try
DIRECT_SERVERS = 16  # asked straight
BODY = b"x" * 120
CONNECT_S = 1.0
LEAD_S = 0.1  # from the order to the first request


def ask_bytes(route: int, tenant: int, number: int) -> bytes:
    """A request in the form that PROTOCOL gives for its class."""
    name, effect = fleet.route(route), fleet.effect(route)
    head = (
        f"{'GET' if effect == 'free' else 'POST'} /{name}?user={number % 9973:04x} HTTP/1.1\r\n"
        f"Host: service.internal\r\nRequest-Id: {number:016x}\r\nRequest-Class: {name}\r\n"
        f"Tenant: {fleet.tenant(tenant)}\r\nRequest-Timeout-Ms: {int(PATIENCE_S * 1e3)}\r\n"
    )
    if effect == "free":
        return f"{head}\r\n".encode()
    if effect == "guarded":
        head += f"Idempotency-Key: {number:x}\r\n"
    return f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


class Side:
    """Connections to some addresses, and what came of the requests sent there."""

    def __init__(self, loop: asyncio.AbstractEventLoop, addresses: list[tuple[str, int]]) -> None:
        self.loop = loop
        self.addresses = addresses
        self.idle: list[list[Connection]] = [[] for _ in addresses]
        self.hist = Hist()
        self.counts: dict[str, int] = {}
        self.bytes = 0
        self.out = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def ask(self, target: int, payload: bytes, expected: bytes, counted: bool) -> None:
        self.out += 1
        ClientRequest(self, target, payload, expected, counted).send()

    def ended(self, what: str, began_ns: int, counted: bool) -> None:
        self.out -= 1
        if counted:
            self.counts[what] = self.counts.get(what, 0) + 1
            if what == "200":
                self.hist.add((time.perf_counter_ns() - began_ns) / 1e3)

    def close(self) -> None:
        for idle in self.idle:
            for connection in list(idle):
                connection.abort()

    def result(self) -> dict[str, Any]:
        return {"counts": self.counts, "latency": self.hist.text(), "bytes": self.bytes}


class ClientRequest:
    """One request, until its answer has come whole, its time is over or its connection has gone."""

    def __init__(self, side: Side, target: int, payload: bytes, expected: bytes, counted: bool) -> None:
        self.side, self.target, self.payload, self.expected = side, target, payload, expected
        self.counted = counted
        self.began_ns = time.perf_counter_ns()
        self.connection: Connection | None = None
        self.again = True
        self.done = False
        self.timer = side.loop.call_later(PATIENCE_S, self.give_up)

    def send(self) -> None:
        idle = self.side.idle[self.target]
        if idle:
            idle.pop().write(self)
        else:
            task = self.side.loop.create_task(self.connect())
            self.side.tasks.add(task)
            task.add_done_callback(self.side.tasks.discard)

    async def connect(self) -> None:
        side = self.side
        connection = Connection(side, self.target)
        try:
            async with asyncio.timeout(CONNECT_S):
                await side.loop.create_connection(lambda: connection, *side.addresses[self.target])
        except (OSError, TimeoutError):
            self.end("no connection")
            return
        if self.done:
            connection.abort()
        else:
            connection.write(self)

    def give_up(self) -> None:
        if self.connection is not None:
            self.connection.abort()
        self.end("out of time")

    def lost(self, reused: bool) -> None:
        """A close that crossed the request: it is sent once more on a new connection."""
        if self.done:
            return
        self.connection = None
        if reused and self.again:
            self.again = False
            self.side.idle[self.target].clear()
            self.send()
        else:
            self.end("lost")

    def end(self, what: str) -> None:
        if not self.done:
            self.done = True
            self.timer.cancel()
            self.side.ended(what, self.began_ns, self.counted)


class Connection(asyncio.Protocol):
    def __init__(self, side: Side, target: int) -> None:
        self.side, self.target = side, target
        self.transport: asyncio.Transport | None = None
        self.asked: ClientRequest | None = None
        self.served = 0
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.keep = True
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def write(self, asked: ClientRequest) -> None:
        assert self.transport is not None
        self.asked, asked.connection = asked, self
        self.side.bytes += len(asked.payload)
        self.transport.write(asked.payload)

    def data_received(self, data: bytes) -> None:
        self.side.bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()
            return
        if not self.over:
            return
        asked, self.asked, self.over = self.asked, None, False
        status = self.parser.get_status_code()
        self.served += 1
        if self.keep and self.transport is not None and not self.transport.is_closing():
            self.side.idle[self.target].append(self)
        else:
            self.abort()
        if asked is not None:
            wrong = status == 200 and self.body != asked.expected
            asked.end("wrong body" if wrong else str(status))

    def on_message_begin(self) -> None:
        self.body = b""

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.over, self.keep = True, self.parser.should_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        idle = self.side.idle[self.target]
        if self in idle:
            idle.remove(self)
        asked, self.asked = self.asked, None
        if asked is not None:
            asked.lost(reused=self.served > 0)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Clients:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.sides: dict[str, Side] = {}
        self.late = Hist()
        self.playing: asyncio.Task[None] | None = None

    def plan(self, order: Order) -> Iterator[tuple[float, str, int, bytes, bytes]]:
        """Every request goes to a gateway, and half a mean gap later the same goes to a stand-in."""
        asked = schedule.requests(
            order["seed"],
            "clients",
            order["rate"],
            order["seconds"],
            order["routes"],
            order["tenants"],
            len(order["gateways"]),
        )
        kinds = zip(asked.times_s, asked.routes, asked.tenants, asked.targets, strict=True)
        pending: list[tuple[float, str, int, bytes, bytes]] = []
        for n, (at_s, route, tenant, target) in enumerate(kinds):
            while pending and pending[0][0] <= at_s:
                yield pending.pop(0)
            number = order["first"] + 2 * n
            for side, to, step in (("gateway", target, 0), ("direct", n, 1)):
                payload = ask_bytes(route, tenant, number + step)
                expected = b"%016x /%b\n" % (number + step, fleet.route(route).encode())
                if side == "gateway":
                    yield at_s, side, to, payload, expected
                elif order["direct"]:
                    place = to % len(order["direct"])
                    pending.append((at_s + 0.5 / order["rate"], side, place, payload, expected))
        yield from pending

    async def play(self, order: Order) -> None:
        """Latencies count only after the first `warm` seconds, when connections are up.

        A thread keeps the time: the loop's timers go by whole milliseconds, and so do the stand-in's, so that
        requests sent on a tick would hide up to a millisecond of what a gateway adds.
        """
        plan = list(self.plan(order))
        start = time.monotonic() + LEAD_S
        sent = asyncio.Event()

        def keep_time() -> None:
            for at_s, side, target, payload, expected in plan:
                wait_s = start + at_s - time.monotonic()
                if wait_s > 0:
                    time.sleep(wait_s)
                asked = (start + at_s, at_s >= order["warm"], side, target, payload, expected)
                self.loop.call_soon_threadsafe(self.ask, *asked)
            self.loop.call_soon_threadsafe(sent.set)

        threading.Thread(target=keep_time, daemon=True).start()
        await sent.wait()
        while any(s.out for s in self.sides.values()):
            await asyncio.sleep(0.01)
        for over in self.sides.values():
            over.close()

    def ask(self, due: float, counted: bool, side: str, target: int, payload: bytes, expected: bytes) -> None:
        self.late.add((time.monotonic() - due) * 1e6)
        self.sides[side].ask(target, payload, expected, counted)

    async def handle(self, order: Order) -> Any:
        match order["do"]:
            case "play":
                self.late = Hist()
                self.sides = {
                    side: Side(self.loop, [(host, port) for host, port in order[key]])
                    for side, key in (("gateway", "gateways"), ("direct", "direct"))
                }
                self.playing = self.loop.create_task(self.play(order))
                return None
            case "played":
                if self.playing is not None:
                    await self.playing
                return {
                    "late": self.late.text(),
                    "sides": {n: side.result() for n, side in self.sides.items()},
                }
        raise ValueError(f"unknown order {order['do']!r}")


def make() -> Handler:
    return Clients(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    obey(make)
