"""One connection from a client, whose requests are answered one at a time, in order."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import cast

from load_balancer.gateway.buffer_budget import BufferReservation
from load_balancer.gateway.client_connection_owner import ClientConnectionOwner
from load_balancer.gateway.close_reasons import ClientCloseReason
from load_balancer.gateway.event_log import log_buffers_exhausted, log_event, log_refusal
from load_balancer.gateway.http_message import BODY_LIMIT, HttpRequestError, Response, text_response
from load_balancer.gateway.incoming_request import IncomingRequest, RequestReader
from load_balancer.gateway.lingering_close import LingeringClose
from load_balancer.gateway.request_parsing import parse_request
from load_balancer.gateway.request_tracker import PendingRequest
from load_balancer.gateway.socket_state import has_peer_closed

# Maximum number of requests that are queued on one connection.
PIPELINE_LIMIT = 8
READINESS_PATH = b"/health/ready"
TOO_MANY_CONNECTIONS = text_response(503, "too many connections")


class ClientConnection(asyncio.BufferedProtocol):
    """A connection from a client.

    Attributes:
        reader: Reads its requests.
        transport: None until the connection is open.
        waiting: Requests that have been read and are queued.
        current: The request being served.
        is_over_limit: Whether there are too many connections, so that every request except a readiness check
            is answered 503.
        is_lingering: Whether the last answer has been written.
        lingering_close: Closes the connection after that.
        is_closing_when_idle: Whether it will be closed unless another request arrives first.
        is_write_paused: Whether the write buffer is full, as the client does not read its answers.
        last_activity: Loop time of the last read or answer, in seconds.
        reservation: What its requests and unsent answers take of the budget for messages.
    """

    def __init__(self, owner: ClientConnectionOwner[ClientConnection]) -> None:
        self.reader = RequestReader(self, owner.loop.time)
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[IncomingRequest] = deque()
        self.current: IncomingRequest | None = None
        self.is_over_limit = False
        self.is_lingering = False
        self.lingering_close: LingeringClose | None = None
        self.is_closing_when_idle = False
        self.is_write_paused = False
        self.last_activity = self.reader.began_at
        self.reservation = BufferReservation(owner.proxy.buffers)
        self._owner = owner
        # The current request, once the proxy has accepted it.
        self._pending: PendingRequest | None = None

    # State

    @property
    def is_idle(self) -> bool:
        """Whether nothing is being read, served or closed."""
        is_reading = self.reader.has_partial_request or self._owner.reads.is_paused(self.transport)
        return self._has_nothing_to_answer and not is_reading

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed so that another connection can be accepted."""
        return self.is_idle and not self.is_closing_when_idle and not self.reader.is_stopped

    @property
    def has_only_partial_request(self) -> bool:
        """Whether only a part of a request has been received and no other answer is pending."""
        return self._has_nothing_to_answer and self.reader.has_partial_request

    @property
    def is_reclaimable(self) -> bool:
        """Whether a request has been received in part that may still be rejected to free its memory."""
        return self.has_only_partial_request and not self.reader.is_stopped

    def has_unread_answer(self, since: float) -> bool:
        """Return whether its client has not read an answer that was written before a loop time."""
        has_unserved_request = self.current is not None or bool(self.waiting) or self.is_reclaimable
        return self.reservation.size > 0 and not has_unserved_request and self.last_activity <= since

    @property
    def _has_nothing_to_answer(self) -> bool:
        return self.current is None and not self.waiting and not self.is_lingering

    @property
    def has_pending_answer(self) -> bool:
        """Whether a request awaits its answer; one that is queued counts only if the client reads answers."""
        return self.current is not None or (bool(self.waiting) and not self.is_write_paused)

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its sending side or all, even if the loop has not read it."""
        return self.transport is None or self.transport.is_closing() or has_peer_closed(self.transport)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server, which may close it at once."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        self._owner.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        del sizehint
        return self._owner.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Read requests and serve the next one."""
        if self.reader.is_stopped:
            return
        self.last_activity = self._owner.loop.time()
        self.reader.feed(self._owner.reads.received(nbytes))
        if self.transport is not None and not self.reader.is_stopped:
            self._owner.reads.pause_if_full(self.transport, nbytes)
        self.count_buffered()
        if self._owner.proxy.buffers.is_exhausted_for_requests:
            self._owner.reclaim_buffers()
        self._serve_next()

    def pause_writing(self) -> None:
        """Stop serving requests until the client reads its answers, which would otherwise fill memory.

        Requests are still read, up to a limit, or else the client's close would go unnoticed.
        """
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Resume serving requests."""
        self.is_write_paused = False
        self.count_buffered()
        self._owner.loop.call_soon(self._serve_next)

    def eof_received(self) -> bool:
        """Drop pending requests now, as the transport closes only once earlier answers are flushed."""
        self._drop_requests()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop pending requests, and what would keep the connection in memory until a garbage collection."""
        del exc
        self._owner.discard(self)
        self._drop_requests()
        if self.lingering_close is not None:
            self.lingering_close.cancel()
        self.reader.detach()

    def _drop_requests(self) -> None:
        self.reader.stop()
        self.waiting.clear()
        pending, self._pending, self.current = self._pending, None, None
        self.count_buffered()
        if pending is not None:
            self._owner.proxy.request_tracker.client_disconnected(pending)

    # Memory

    def count_buffered(self) -> None:
        """Count the bytes of requests without an answer and of answers that have not left the process."""
        size = self.reader.buffered_bytes if self.reader.has_partial_request else 0
        if self.current is not None:
            size += self.current.memory_bytes
        for request in self.waiting:
            size += request.memory_bytes
        if self.transport is not None and not self.transport.is_closing():
            size += self.transport.get_write_buffer_size()
        if size != self.reservation.size:
            self.reservation.resize(size)

    # RequestListener

    def head_received(self, request: IncomingRequest) -> None:
        """Send 100 Continue if the client waits for it and no earlier request is pending."""
        if self.current is None and not self.waiting and request.expects_continue:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def request_received(self, request: IncomingRequest) -> None:
        """Queue a request."""
        self.waiting.append(request)
        if len(self.waiting) > PIPELINE_LIMIT or sum(queued.size for queued in self.waiting) > BODY_LIMIT:
            self.reader.fail(HttpRequestError(503, "too many requests ahead of their turn"))

    # Requests, one at a time

    def reject_partial_request(self, rejection: HttpRequestError) -> None:
        """Answer a request that has been received in part, and then close."""
        self.reader.fail(rejection)
        self._serve_next()

    def _serve_next(self) -> None:
        while self.current is None and self.waiting and not self.is_write_paused:
            incoming = self.current = self.waiting.popleft()
            try:
                self._serve(incoming)
            except HttpRequestError as error:
                self._refuse(incoming, error)
            except Exception as error:
                log_event("request.failed", error=error)
                self._answer(incoming, text_response(500, "internal error"))

    def _serve(self, incoming: IncomingRequest) -> None:
        owner = self._owner
        if incoming.rejection is not None:
            # Not raised: its traceback would refer to the request, and keep both in memory.
            self._refuse(incoming, incoming.rejection)
            return
        if incoming.target.partition(b"?")[0] == READINESS_PATH:
            if not owner.proxy.is_ready or owner.draining:
                raise HttpRequestError(503, "not ready")
            self._answer(incoming, text_response(200, "ready"))
            return
        if self.is_over_limit:
            raise HttpRequestError(503, "too many connections")
        buffers = owner.proxy.buffers
        if buffers.is_exhausted_for_requests:
            log_buffers_exhausted(buffers, "a request was rejected")
            raise HttpRequestError(503, "too many bytes buffered")
        client_request = parse_request(incoming, owner.lookup, owner.loop.time())
        incoming.body.clear()  # copied, as are the headers
        incoming.headers.clear()
        pending = owner.proxy.accept(client_request, partial(self._answer, incoming), self.has_disconnected)
        if pending is not None and not pending.is_closed:
            self._pending = pending

    def _refuse(self, incoming: IncomingRequest, error: HttpRequestError) -> None:
        log_refusal(error.response)
        self._answer(incoming, error.response)

    def _answer(self, incoming: IncomingRequest, response: Response) -> None:
        if incoming is not self.current:  # the client has disconnected, or the request has been answered
            return
        # The connection stays open while a request that has been read waits for its answer.
        is_last_answer = (self.is_over_limit or self._owner.draining) and not self.waiting
        close = not incoming.keep_alive or is_last_answer
        self.current = self._pending = None
        self.write(response.encode(close=close, without_body=incoming.method == b"HEAD"))
        self.last_activity = self._owner.loop.time()
        self.count_buffered()
        if close:
            self._begin_lingering_close()
        elif self.waiting:
            self._owner.loop.call_soon(self._serve_next)

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    # Closing

    def close_when_idle(self, reason: ClientCloseReason, loop_iterations: int = 2) -> None:
        """Close after some iterations of the loop, in which a request already in the socket is read first."""
        self.is_closing_when_idle = loop_iterations > 0
        if loop_iterations > 0:
            self._owner.loop.call_soon(self.close_when_idle, reason, loop_iterations - 1)
        elif self.is_idle:
            if self.is_over_limit:
                self.write(TOO_MANY_CONNECTIONS.encode(close=True))
            self.close(reason)

    def close(self, reason: ClientCloseReason = ClientCloseReason.SHUTDOWN) -> None:
        """Close once all that was written is sent."""
        self.reader.stop()
        if self.transport is not None:
            self._log_close(reason)
            self.transport.close()

    def abort(self, reason: ClientCloseReason = ClientCloseReason.SHUTDOWN) -> None:
        """Close at once."""
        if self.transport is not None:
            self._log_close(reason)
            self.transport.abort()
            self.count_buffered()

    def _log_close(self, reason: ClientCloseReason) -> None:
        """Log the first reason for which the gateway closes the connection."""
        is_closing = self.is_lingering or (self.transport is not None and self.transport.is_closing())
        if not is_closing:
            log_event("client_connection.closed", reason=reason.value)

    def _begin_lingering_close(self) -> None:
        self._log_close(ClientCloseReason.ANSWERED)
        self.reader.stop()
        self.is_lingering = True
        if self.transport is not None and not self.transport.is_closing():
            # What still arrives is read and discarded, as a close over it would be a reset.
            self._owner.reads.resume(self.transport)
            self.lingering_close = LingeringClose(self._owner.loop, self.transport)
