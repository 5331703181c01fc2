"""A stand-in for endpoints: one process that serves requests at thousands of loopback addresses.

It listens on one port for gateways, and on another for requests that clients send directly. Both sockets
accept connections to any address, but are bound to the loopback device, so that no address of another device
is served.
"""

from __future__ import annotations

import asyncio
import re
import socket
import time
from functools import partial
from typing import Any, assert_never, cast

import httptools

from lab import fleet, schedule
from lab.child import Handler, Histogram, serve
from lab.messages import (
    Closes,
    EndpointCommand,
    EndpointCounters,
    EndpointStats,
    ListIdle,
    ReadCloses,
    ReadEndpointStats,
    StartEndpoints,
    WatchIdle,
)

REQUEST_ID = re.compile(rb"[0-9a-f]{16}")
MEAN_SERVICE_S = 0.005
TARGETS = ("gateway", "direct")
MIN_IDLE_S = 0.05  # a connection that was in use more recently is not watched by a probe
EXPIRY_CHECK_INTERVAL_S = 1.0  # between two searches for connections that were idle for too long
SERVICE_TIME_COUNT = 4096  # service times that are drawn in advance and reused


class EndpointConnection(asyncio.Protocol):
    """The server's side of one connection to an endpoint."""

    def __init__(self, endpoints: StandInEndpoints, target: str) -> None:
        self.endpoints = endpoints
        self.target = target
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.endpoint_number = 0
        self.busy = False
        self.idle_since_ns = time.monotonic_ns()  # time of the last answer
        self.closed_ns = 0
        self.url = b""
        self.headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)
        self.endpoint_number = fleet.server_number(self.transport.get_extra_info("sockname")[0])
        self.endpoints.connections[self.target].add(self)
        self.endpoints.stats[self.target]["connections"] += 1

    def connection_lost(self, _exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.closed_ns = time.monotonic_ns()
        self.transport = None
        self.endpoints.connections[self.target].discard(self)

    def eof_received(self) -> bool:
        """See asyncio.Protocol."""
        return False  # close: a gateway that ends its side has given up the attempt

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.endpoints.stats[self.target]["bytes"] += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """See httptools."""
        self.url = b""
        self.headers = {}

    def on_url(self, url: bytes) -> None:
        """See httptools."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """See httptools."""
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """See httptools."""
        stats = self.endpoints.stats[self.target]
        request_id = self.headers.get(b"request-id", b"")
        if self.busy:  # the protocol allows one request at a time
            stats["bad"] += 1
            self.abort()
        elif not request_id:  # also health checks, which the settings do not use
            self.answer(404, b"")
        elif not REQUEST_ID.fullmatch(request_id):
            stats["bad"] += 1
            self.answer(400, b"")
        else:
            stats["requests"] += 1
            self.busy = True
            wait_s = self.endpoints.service_s(request_id)
            self.endpoints.loop.call_later(wait_s, self.serve, request_id, time.monotonic() + wait_s)

    def serve(self, request_id: bytes, due_s: float) -> None:
        """Answer a request at the end of its service time."""
        self.endpoints.late.record((time.monotonic() - due_s) * 1e6)
        self.busy = False
        self.answer(200, b"%b %b\n" % (request_id, self.url.partition(b"?")[0]))

    def answer(self, status: int, body: bytes) -> None:
        """Send an answer; one with status 200 carries a load report."""
        if self.transport is None or self.transport.is_closing():
            return
        report = (
            b"Server-Load: latency_ms=%.1f,eps=0,queue=0\r\n" % (MEAN_SERVICE_S * 1e3)
            if status == 200
            else b""
        )
        data = b"HTTP/1.1 %d Any\r\n%bContent-Length: %d\r\n\r\n%b" % (status, report, len(body), body)
        self.endpoints.stats[self.target]["bytes"] += len(data)
        self.idle_since_ns = time.monotonic_ns()
        self.transport.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class StandInEndpoints:
    """All endpoints, and their connections by target: "gateway" or "direct"."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connections: dict[str, set[EndpointConnection]] = {target: set() for target in TARGETS}
        self.stats = {
            target: dict.fromkeys(("requests", "connections", "bytes", "bad"), 0) for target in TARGETS
        }
        self.late = Histogram()
        # The idle connections that a probe watches, by the number of the endpoint.
        self.watched: dict[int, list[EndpointConnection]] = {}
        self.service_times_s: list[float] = [MEAN_SERVICE_S]
        self.listeners: list[asyncio.Server] = []

    def service_s(self, request_id: bytes) -> float:
        """Return the service time of a request by its id.

        An even id and the next odd one belong to one request that is sent through a gateway and directly, and
        have the same service time.
        """
        return self.service_times_s[(int(request_id, 16) >> 1) % len(self.service_times_s)]

    async def listen(self, seed: int) -> dict[str, int]:
        """Draw the service times and start listening; return the ports by target."""
        rng = schedule.stream(seed, "service")
        self.service_times_s = (MEAN_SERVICE_S * (0.5 + rng.gamma(4.0, 0.125, SERVICE_TIME_COUNT))).tolist()
        ports = {}
        for target in TARGETS:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo")
            sock.bind(("", 0))
            create_connection = partial(EndpointConnection, self, target)
            self.listeners.append(await self.loop.create_server(create_connection, sock=sock, backlog=1024))
            ports[target] = sock.getsockname()[1]
        self.loop.call_later(EXPIRY_CHECK_INTERVAL_S, self.close_expired)
        return ports

    def close_expired(self) -> None:
        """Close connections that were idle for longer than the keep-alive time, at regular intervals."""
        oldest_ns = time.monotonic_ns() - fleet.KEEPALIVE_US * 1000
        for target in TARGETS:
            for connection in [
                c for c in self.connections[target] if not c.busy and c.idle_since_ns < oldest_ns
            ]:
                connection.abort()
        self.loop.call_later(EXPIRY_CHECK_INTERVAL_S, self.close_expired)

    def idle_connections(self) -> dict[int, list[EndpointConnection]]:
        """Return the idle connections from gateways by the number of the endpoint."""
        idle: dict[int, list[EndpointConnection]] = {}
        before_ns = time.monotonic_ns() - int(MIN_IDLE_S * 1e9)
        for connection in self.connections["gateway"]:
            if not connection.busy and connection.idle_since_ns < before_ns:
                idle.setdefault(connection.endpoint_number, []).append(connection)
        return idle

    def closes(self, endpoint: int, since_ns: int) -> Closes:
        """Return when the watched connections of an endpoint were closed, and how many are open.

        A connection that was used for a request in between is closed after its answer. Its latency therefore
        includes the request.
        """
        watched = self.watched.get(endpoint, [])
        closed = [c.closed_ns for c in watched if c.transport is None]
        after_us = [(at_ns - since_ns) / 1e3 for at_ns in closed if at_ns >= since_ns]
        return Closes(after_us, len(watched) - len(closed))

    async def handle(self, command: EndpointCommand) -> Any:
        """Execute a command and return its answer."""
        match command:
            case StartEndpoints():
                return await self.listen(command.seed)
            case ListIdle():
                return sorted(
                    (endpoint, len(connections)) for endpoint, connections in self.idle_connections().items()
                )
            case WatchIdle():
                self.watched[command.endpoint] = self.idle_connections().get(command.endpoint, [])
                return len(self.watched[command.endpoint])
            case ReadCloses():
                return self.closes(command.endpoint, command.since_ns)
            case ReadEndpointStats():
                counters = {target: EndpointCounters(**stats) for target, stats in self.stats.items()}
                return EndpointStats(self.late.encode(), counters)
            case _:
                assert_never(command)


def create_handler() -> Handler[EndpointCommand]:
    """Return the handler of commands, for the running event loop."""
    return StandInEndpoints(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, EndpointCommand)
