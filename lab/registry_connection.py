"""A gateway's connection to the stand-in for discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of an HTTP body with chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class DiscoveryConnection(asyncio.Protocol):
    """The server's side of one connection from a gateway.

    Args:
        gateway_kind: The kind of gateway that connects to this address.
        counters: The counters of this kind; the bytes that are written are added to "bytes".
        open_connections: The set of open connections, to which this one belongs while it is open.
        watches: The connections with a watch, from which this one is removed when it closes.
        handle_request: Called with the connection and the request target of each request.
    """

    def __init__(
        self,
        gateway_kind: str,
        counters: dict[str, int],
        open_connections: set[DiscoveryConnection],
        watches: dict[DiscoveryConnection, None],
        handle_request: Callable[[DiscoveryConnection, bytes], None],
    ) -> None:
        self.gateway_kind = gateway_kind
        self.counters = counters
        self.open_connections = open_connections
        self.watches = watches
        self.handle_request = handle_request
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        self.transport = cast(asyncio.Transport, transport)
        self.open_connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.transport = None
        self.open_connections.discard(self)
        self.watches.pop(self, None)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """See httptools."""
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """See httptools."""
        self.target += url

    def on_message_complete(self) -> None:
        """See httptools."""
        self.handle_request(self, self.target)

    def write(self, data: bytes) -> None:
        """Send data and count its bytes, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.counters["bytes"] += len(data)
            self.transport.write(data)

    def answer(self, status: int, body: bytes = b"") -> None:
        """Send an answer with a Content-Length."""
        self.write(b"HTTP/1.1 %d Any\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
