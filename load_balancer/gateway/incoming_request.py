"""Reading of requests from the bytes of one connection, within limits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from load_balancer.gateway.http_message import (
    BODY_LIMIT,
    HEAD_LIMIT,
    HEADER_COUNT_LIMIT,
    HEADER_OVERHEAD_BYTES,
    Header,
    HttpRequestError,
)

# The parser is fed this many bytes at a time, so that what it buffers itself is counted in time.
FEED_BYTES = 16 * 1024
CONNECT = b"CONNECT"


@dataclass(slots=True)
class IncomingRequest:
    """A request that is being read.

    Attributes:
        received_at: Loop time of its last byte, in seconds.
        body: Its content; one object, as the parser may hand it over in tens of thousands of pieces.
        head_size: Bytes of the head, once that is whole.
        size: Bytes of the headers until the head is whole, then of the body.
        keep_alive: Whether another request may follow on the connection.
        rejection: The error to answer it with, if it cannot be served.
    """

    received_at: float = 0.0
    target: bytes = b""
    method: bytes = b""
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    head_size: int = 0
    size: int = 0
    keep_alive: bool = True
    rejection: HttpRequestError | None = None

    @property
    def memory_bytes(self) -> int:
        """How many bytes it takes in memory, about."""
        return self.head_size + self.size + self.header_overhead_bytes

    @property
    def header_overhead_bytes(self) -> int:
        """How many bytes its headers take in memory beyond those received."""
        return HEADER_OVERHEAD_BYTES * len(self.headers)

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for an interim response before it sends the body."""
        return any(
            name.lower() == b"expect" and value.lower() == b"100-continue" for name, value in self.headers
        )


class RequestListener(Protocol):
    """The receiver of the requests that a reader has parsed."""

    def head_received(self, request: IncomingRequest) -> None:
        """Handle the head of a request."""

    def request_received(self, request: IncomingRequest) -> None:
        """Handle a complete request, or the rejection of one that is not read further."""


class RequestReader:
    """A parser of the bytes of one connection.

    What it keeps is bounded: the head by size and number of headers, the body by its content, and by
    `HEAD_LIMIT` what arrives in a body between two parts of its content, such as trailers, of which the
    parser buffers the current one.

    Attributes:
        is_stopped: Whether further bytes are ignored, because a request was rejected or no further request
            is expected. What was received of a request is freed then.
        has_partial_request: Whether a request has been received in part.
        has_read_request: Whether a complete request has been received.
        began_at: Loop time at which the current request began: for the first one that of connecting, for
            later ones that of their first byte.
    """

    def __init__(self, listener: RequestListener, now: Callable[[], float]) -> None:
        self.is_stopped = False
        self.has_partial_request = False
        self.has_read_request = False
        self.began_at = now()
        self._listener: RequestListener | None = listener
        self._now = now
        # None once stopped: the parser refers to this object, and the cycle would keep both in memory.
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._request = IncomingRequest()
        # Bytes received of a head that is not complete; None while no head is being read.
        self._head_bytes: int | None = None
        self._framing_bytes = 0  # received in the body since the last part of its content
        # Whether the next request that begins is the current one, without its offer to upgrade.
        self._is_restarted = False

    @property
    def buffered_bytes(self) -> int:
        """How many bytes a request that has been received in part takes in memory, about."""
        if self.is_stopped or not self.has_partial_request:
            return 0
        if self._head_bytes is not None:
            return self._head_bytes + self._request.header_overhead_bytes
        return self._framing_bytes + self._request.memory_bytes

    def feed(self, data: bytes | memoryview) -> None:
        """Parse a piece of the client's bytes."""
        if len(data) <= FEED_BYTES:
            self._feed_part(data)
            return
        view = memoryview(data)
        for start in range(0, len(view), FEED_BYTES):
            if not self.is_stopped:
                self._feed_part(view[start : start + FEED_BYTES])

    def _feed_part(self, data: bytes | memoryview) -> None:
        if self._head_bytes is None and not self.has_partial_request:
            self._head_bytes = 0
        if self._head_bytes is not None:
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.fail(HttpRequestError(400, "malformed request"))
        if self._head_bytes is not None and self._head_bytes > HEAD_LIMIT:
            self.fail(HttpRequestError(431, "head too long"))
        elif self._head_bytes is None and self._framing_bytes > HEAD_LIMIT:
            self.fail(HttpRequestError(431, "trailers or chunk extensions too long"))

    def _parse(self, data: bytes | memoryview) -> None:
        while self._parser is not None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                offset: int = error.args[0]  # of the first byte after the head
                data = self._restart_without_upgrade() + bytes(data[offset:])
            else:
                return

    def _restart_without_upgrade(self) -> bytes:
        """Begin the current request again with a new parser; return its head without the offer to upgrade.

        The parser takes what follows an offer to upgrade for another protocol, even a body. An offer may be
        ignored, and the connection then remains one of HTTP/1.1 (RFC 9110, 7.8).
        """
        parser, request = self._parser, self._request
        if parser is None:
            return b""
        lines = [b"%b %b HTTP/%b" % (parser.get_method(), request.target, parser.get_http_version().encode())]
        lines += [b"%b: %b" % header for header in request.headers if header[0].lower() != b"upgrade"]
        self._parser = httptools.HttpRequestParser(self)
        self._request = IncomingRequest()
        self._is_restarted = True
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def stop(self) -> None:
        """Ignore all further bytes."""
        self.is_stopped = True
        self._parser = None
        self._request = IncomingRequest()

    def detach(self) -> None:
        """Stop, and forget the listener, which refers to this object."""
        self.stop()
        self._listener = None

    def fail(self, rejection: HttpRequestError) -> None:
        """Queue an error as the answer to the current request, and ignore all further bytes."""
        if not self.is_stopped:
            self.stop()
            if self._listener is not None:
                self._listener.request_received(IncomingRequest(keep_alive=False, rejection=rejection))

    # Callbacks of the parser, which calls them to the end of its input even after `stop`

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.has_partial_request = True
        if self.has_read_request and not self._is_restarted:
            self.began_at = self._now()
        self._is_restarted = False

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored."""
        if self._head_bytes is None or self.is_stopped:
            return
        request = self._request
        request.headers.append((name, value))
        request.size += len(name) + len(value) + 4  # the colon, a space and the line's end
        if len(request.headers) > HEADER_COUNT_LIMIT:
            self.fail(HttpRequestError(431, f"more than {HEADER_COUNT_LIMIT} headers"))

    def on_headers_complete(self) -> None:
        """End the head, unless the request begins again without its offer to upgrade."""
        if self._declines_upgrade():
            return
        request = self._request
        request.head_size = request.size + len(request.target)
        if request.head_size > HEAD_LIMIT:
            self.fail(HttpRequestError(431, "head too long"))
        self._head_bytes = None
        self._framing_bytes = 0
        if self._parser is None or self._listener is None:
            return
        request.size = 0
        request.method = self._parser.get_method()
        self._listener.head_received(request)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        if self.is_stopped:
            return
        self._framing_bytes = 0
        self._request.size += len(body)
        if self._request.size > BODY_LIMIT:
            self.fail(HttpRequestError(413, f"body over {BODY_LIMIT} bytes"))
        else:
            self._request.body += body

    def on_message_complete(self) -> None:
        """End the request."""
        if self._declines_upgrade():
            return
        self.has_partial_request = False
        self.has_read_request = True
        self._head_bytes = 0
        if self._parser is None or self._listener is None:
            return
        request, self._request = self._request, IncomingRequest()
        request.received_at = self._now()
        # No HTTP follows CONNECT.
        request.keep_alive = self._parser.should_keep_alive() and request.method != CONNECT
        if not request.keep_alive:
            self.stop()
        self._listener.request_received(request)

    def _declines_upgrade(self) -> bool:
        """Return whether the parser ends the current request at its head, because of an offer to upgrade."""
        parser = self._parser
        return parser is not None and parser.should_upgrade() and parser.get_method() != CONNECT
