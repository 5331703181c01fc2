"""Connections of clients to gateways or endpoints, and the requests that are sent over them."""

from __future__ import annotations

import asyncio
import time
from typing import cast

import httptools

from lab.child import Histogram
from lab.messages import Address, TargetResult

REQUEST_TIMEOUT_S = 2.0  # for each request, with its connect
CONNECT_TIMEOUT_S = 1.0  # for each connect


class Target:
    """A group of addresses with its connections, and the results of the requests to it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, addresses: list[Address]) -> None:
        self.loop = loop
        self.addresses = addresses
        self.idle: list[list[ClientConnection]] = [[] for _ in addresses]
        self.latency = Histogram()
        self.counts: dict[str, int] = {}
        self.byte_count = 0
        self.in_flight = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def send(self, index: int, payload: bytes, expected: bytes, counted: bool) -> None:
        """Send a request.

        Args:
            index: The index of the address in `addresses`.
            payload: The encoded request.
            expected: The body that an answer with status 200 must have.
            counted: Whether the request belongs to the results.
        """
        self.in_flight += 1
        ClientRequest(self, index, payload, expected, counted).send()

    def record_outcome(self, outcome: str, began_ns: int, counted: bool) -> None:
        """Count a request's outcome, and record its latency if the status is 200."""
        self.in_flight -= 1
        if counted:
            self.counts[outcome] = self.counts.get(outcome, 0) + 1
            if outcome == "200":
                self.latency.record((time.perf_counter_ns() - began_ns) / 1e3)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle:
            for connection in list(idle):
                connection.abort()

    def result(self) -> TargetResult:
        """Return the results of all requests."""
        return TargetResult(self.counts, self.latency.encode(), self.byte_count)


class ClientRequest:
    """One request, from its start until its answer is complete, it times out or its connection is lost."""

    def __init__(self, target: Target, index: int, payload: bytes, expected: bytes, counted: bool) -> None:
        self.target = target
        self.index = index
        self.payload = payload
        self.expected = expected
        self.counted = counted
        self.began_ns = time.perf_counter_ns()
        self.connection: ClientConnection | None = None
        self.may_resend = True
        self.done = False
        self.timer = target.loop.call_later(REQUEST_TIMEOUT_S, self.time_out)

    def send(self) -> None:
        """Send the request over an idle connection, or over a new one."""
        idle = self.target.idle[self.index]
        if idle:
            idle.pop().write(self)
        else:
            task = self.target.loop.create_task(self.connect())
            self.target.tasks.add(task)
            task.add_done_callback(self.target.tasks.discard)

    async def connect(self) -> None:
        """Open a connection and send the request over it."""
        target = self.target
        connection = ClientConnection(target, self.index)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await target.loop.create_connection(lambda: connection, *target.addresses[self.index])
        except (OSError, TimeoutError):
            self.finish("no connection")
            return
        if self.done:
            connection.abort()
        else:
            connection.write(self)

    def time_out(self) -> None:
        """End the request with a timeout, and close its connection."""
        if self.connection is not None:
            self.connection.abort()
        self.finish("out of time")

    def handle_lost_connection(self, reused: bool) -> None:
        """Send the request once more on a new connection, or end it as lost.

        It is sent again only once, and only if the connection was reused: the server may then have closed the
        idle connection while the request was on its way.
        """
        if self.done:
            return
        self.connection = None
        if reused and self.may_resend:
            self.may_resend = False
            self.target.idle[self.index].clear()
            self.send()
        else:
            self.finish("lost")

    def finish(self, outcome: str) -> None:
        """End the request with an outcome, unless it has already ended."""
        if not self.done:
            self.done = True
            self.timer.cancel()
            self.target.record_outcome(outcome, self.began_ns, self.counted)


class ClientConnection(asyncio.Protocol):
    """A client's connection, which carries one request at a time."""

    def __init__(self, target: Target, index: int) -> None:
        self.target = target
        self.index = index
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        self.served = 0
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.keep_alive = True
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)

    def write(self, request: ClientRequest) -> None:
        """Send a request over this connection."""
        assert self.transport is not None
        self.request = request
        request.connection = self
        self.target.byte_count += len(request.payload)
        self.transport.write(request.payload)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.target.byte_count += len(data)
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
        if self.keep_alive and self.transport is not None and not self.transport.is_closing():
            self.target.idle[self.index].append(self)
        else:
            self.abort()
        if request is not None:
            wrong = status == 200 and self.body != request.expected
            request.finish("wrong body" if wrong else str(status))

    def on_message_begin(self) -> None:
        """See httptools."""
        self.body = b""

    def on_body(self, body: bytes) -> None:
        """See httptools."""
        self.body += body

    def on_message_complete(self) -> None:
        """See httptools."""
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()

    def connection_lost(self, _exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        idle = self.target.idle[self.index]
        if self in idle:
            idle.remove(self)
        request, self.request = self.request, None
        if request is not None:
            request.handle_lost_connection(reused=self.served > 0)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
