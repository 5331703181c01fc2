"""One connection to an endpoint and the parsing of the responses on it."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from load_balancer.config.addresses import Address
from load_balancer.errors import LoadBalancerError
from load_balancer.gateway.buffer_budget import BufferBudget, BufferReservation
from load_balancer.gateway.close_reasons import UpstreamCloseReason
from load_balancer.gateway.event_log import log_buffers_exhausted, log_event
from load_balancer.gateway.http_message import (
    BODY_LIMIT,
    HEAD_LIMIT,
    HEADER_COUNT_LIMIT,
    HEADER_OVERHEAD_BYTES,
    HttpResponseError,
    Response,
)
from load_balancer.gateway.socket_state import has_unread_input
from load_balancer.gateway.upstream_attempt import UpstreamAttempt

# Limit on the bytes of all responses to one request: the final one, interim ones and the framing of chunks.
RESPONSE_LIMIT = 4 * (HEAD_LIMIT + BODY_LIMIT)


class ConnectionNotOpenError(LoadBalancerError):
    """An attempt was written to a connection that is still being opened."""


class UpstreamConnectionOwner(Protocol):
    """The pool that a connection belongs to."""

    @property
    def buffers(self) -> BufferBudget:
        """The budget that responses are counted in."""

    def release(self, connection: UpstreamConnection) -> None:
        """Keep an open connection that may carry another request."""

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed or is closing."""


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint; carries one attempt at a time.

    Attributes:
        owner: The pool that it belongs to.
        attempt: The attempt that it carries or that waits for it to open; None if it is idle.
        transport: None until it is open.
        idle_since: Loop time of the end of its last attempt, in seconds.
    """

    def __init__(self, owner: UpstreamConnectionOwner, attempt: UpstreamAttempt) -> None:
        self.owner = owner
        self.attempt: UpstreamAttempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self._connect_task: asyncio.Task[None] | None = None
        self._response = Response()
        self._received_bytes = 0  # since the request was written
        self._size = 0  # bytes of the current head or, after the head, of the body
        self._body = bytearray()  # one object, as the parser may hand it over in tens of thousands of pieces
        self._buffers = owner.buffers
        self._reservation = BufferReservation(owner.buffers)
        self._is_complete = False
        self._is_head_complete = False
        self._keep_alive = False
        # None once closed: the parser refers to this object, and the cycle would keep both in memory.
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    @property
    def is_unused(self) -> bool:
        """Whether it carries no written attempt: it is idle or still being opened."""
        return self.attempt is None or self.transport is None

    def is_reusable(self) -> bool:
        """Return whether it is open and holds no unread bytes and no unread close of the endpoint."""
        if self.transport is None or self.transport.is_closing():
            return False
        return not has_unread_input(self.transport)

    # Opening and closing

    def connect(
        self, loop: asyncio.AbstractEventLoop, attempt: UpstreamAttempt, address: Address, timeout_s: float
    ) -> None:
        """Begin to connect; the attempt is written once the connection is open."""
        self._connect_task = loop.create_task(self._connect(loop, attempt, address, timeout_s))

    async def _connect(
        self, loop: asyncio.AbstractEventLoop, attempt: UpstreamAttempt, address: Address, timeout_s: float
    ) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: self, *address)
        except (OSError, TimeoutError, ValueError):  # ValueError: malformed host name
            self._discard(UpstreamCloseReason.CONNECT_FAILED)
            attempt.connection_lost()
        finally:
            self._connect_task = None

    def abort(self, reason: UpstreamCloseReason = UpstreamCloseReason.ATTEMPT_ABANDONED) -> None:
        """Close at once without ending the attempt on it."""
        self.attempt = None
        self._discard(reason)
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self, reason: UpstreamCloseReason) -> None:
        """Close at once and end the attempt on it as if the connection had broken."""
        attempt = self.attempt
        self.abort(reason)
        if attempt is not None:
            attempt.connection_lost()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the attempt that waits for the connection, if it may still be written."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        # At a high-water mark of 0, pause_writing and resume_writing report exactly when bytes are buffered.
        self.transport.set_write_buffer_limits(high=0)
        attempt = self.attempt
        if attempt is None or attempt.request is None:
            self.abort(UpstreamCloseReason.REQUEST_OVER)
        elif attempt.request.may_be_written():
            self.write(attempt)
        else:
            attempt.abandon_unless_written()
            self.abort(UpstreamCloseReason.REQUEST_OVER)

    def write(self, attempt: UpstreamAttempt) -> None:
        """Send an attempt on an open connection that carries no other.

        Raises:
            ConnectionNotOpenError: The connection is not open yet.
        """
        transport = self.transport
        if transport is None or attempt.request is None:
            raise ConnectionNotOpenError("an attempt was written before its connection was open")
        self.attempt = attempt
        self._received_bytes = 0
        attempt.connection = self
        attempt.written = True  # unless pause_writing is called from within write
        transport.write(attempt.request.encode())
        if transport.is_closing():  # the write failed, as the connection is broken
            attempt.written = False

    def pause_writing(self) -> None:
        """Record that a part of the request is still buffered in the process."""
        if self.attempt is not None:
            self.attempt.written = False

    def resume_writing(self) -> None:
        """Record that all of the request has left the process."""
        if self.attempt is not None:
            self.attempt.written = True

    def data_received(self, data: bytes) -> None:
        """Parse a part of a response."""
        attempt, parser = self.attempt, self._parser
        if attempt is None or parser is None:  # bytes without a request
            self.abort(UpstreamCloseReason.UNEXPECTED_BYTES)
            return
        self._received_bytes += len(data)
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(UpstreamCloseReason.MALFORMED_RESPONSE)
            return
        if self._is_complete:
            self._end_attempt(attempt, parser.get_status_code())
        elif self._received_bytes > RESPONSE_LIMIT:
            self.fail(UpstreamCloseReason.MALFORMED_RESPONSE)
        else:
            self._count_buffered()

    def _count_buffered(self) -> None:
        """Count the part of a response that has been received, and drop it if there is no memory for it."""
        header_overhead_bytes = HEADER_OVERHEAD_BYTES * len(self._response.headers)
        self._reservation.resize(self._received_bytes + header_overhead_bytes)
        if self._buffers.is_exhausted:
            log_buffers_exhausted(self._buffers, "a response was dropped")
            self.fail(UpstreamCloseReason.BUFFERS_EXHAUSTED)

    def eof_received(self) -> bool:
        """End a response without a length, of which this is the end; the transport closes itself.

        A reset is not reported here, but to `connection_lost`. A response without any content is not accepted
        without a length, as it cannot be distinguished from one that was cut off after its head.
        """
        attempt, parser = self.attempt, self._parser
        is_whole = self._is_head_complete and bool(self._body) and not self._response.has_framing
        if attempt is not None and parser is not None and is_whole:
            self._keep_alive = False
            self._end_attempt(attempt, parser.get_status_code())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt, if there is one."""
        del exc
        self._discard(UpstreamCloseReason.LOST)
        if self.attempt is not None:
            self.attempt.connection_lost()

    def _discard(self, reason: UpstreamCloseReason) -> None:
        """Remove it from the pool and free what was received; log the first reason."""
        if self._parser is not None:
            log_event("upstream_connection.closed", reason=reason.value)
        self.owner.discard(self)
        self._parser = None
        self._forget_response()

    def _forget_response(self) -> None:
        self._response = Response()
        self._body = bytearray()
        if self._reservation.size:
            self._reservation.resize(0)

    def _end_attempt(self, attempt: UpstreamAttempt, status: int) -> None:
        """Report the complete response, and release or close the connection."""
        response = self._response
        response.status = status
        response.body = bytes(self._body)
        self._forget_response()
        self.attempt = None
        self._is_complete = False
        self._is_head_complete = False
        if attempt.written and self._keep_alive:
            self.owner.release(self)
        else:
            self.abort(UpstreamCloseReason.NOT_KEPT)
        attempt.response_received(response)

    # Callbacks of the parser, which turns their exceptions into an HttpParserError

    def on_message_begin(self) -> None:
        """Begin a response."""
        if self._is_complete:
            raise HttpResponseError("a second response to one request")
        if self._response.headers or self._body:  # of an interim response
            self._forget_response()
        self._is_head_complete = False
        self._size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._response.headers.append((name.lower(), value))
        self._size += len(name) + len(value)
        if self._size > HEAD_LIMIT:
            raise HttpResponseError("head too long")
        if len(self._response.headers) > HEADER_COUNT_LIMIT:
            raise HttpResponseError("too many headers")

    def on_headers_complete(self) -> None:
        """Begin to count the body."""
        self._is_head_complete = True
        self._size = 0

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body += body
        self._size += len(body)
        if self._size > BODY_LIMIT:
            raise HttpResponseError("body too long")

    def on_message_complete(self) -> None:
        """Record whether this was the final response, and whether the connection may be used again.

        The parser can tell whether to keep the connection only within this callback.
        """
        parser = self._parser
        if parser is not None:
            self._is_complete = parser.get_status_code() >= 200  # the final response follows an interim one
            self._keep_alive = parser.should_keep_alive()
