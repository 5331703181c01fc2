"""One HTTP call to discovery: a watch, whose response is a stream, or a poll of the complete list."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from load_balancer.config.addresses import Address
from load_balancer.gateway.discovery_messages import JsonStreamSplitter
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.http_message import FRAMING_HEADERS

# Allows for one lost SYN packet, which the kernel retransmits after 1 s.
CONNECT_TIMEOUT_S = 1.2
# Discovery sends a line on a watch every 2 s; the timeout detects a peer that has vanished. Only the end of a
# head, a message or an empty line and the first byte of a further message restart the timer, so that a peer
# that sends single bytes without completing a message times out too. After this time a call is overdue if it
# has no message yet, and has failed otherwise.
INACTIVITY_TIMEOUT_S = 3.0
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class CallListener(Protocol):
    """The receiver of what calls report."""

    def on_message(self, call: DiscoveryCall, data: bytes) -> bool:
        """Handle the text of one message of a call; return whether it could be read."""

    def on_empty_line(self) -> None:
        """Handle an empty line of a watch, by which nothing has changed."""

    def on_call_answered(self, call: DiscoveryCall) -> None:
        """Handle the first progress of an answer, before its messages are reported."""

    def on_call_overdue(self, call: DiscoveryCall) -> None:
        """Handle a call that has no answer within `INACTIVITY_TIMEOUT_S`; one may still come."""

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Handle the only failure of a call: it has ended, or the message of a poll could not be read."""


@dataclass(frozen=True, slots=True)
class CallParameters:
    """What a call requests, and who is told of its result.

    Attributes:
        loop: The loop on which the call runs.
        address: Where discovery accepts connections.
        target: Path and query of the request.
        listener: Is told of the messages and of the end of the call.
    """

    loop: asyncio.AbstractEventLoop
    address: Address
    target: str
    listener: CallListener


class DiscoveryCall(asyncio.Protocol):
    """One GET request to discovery; subclasses read the body of its response.

    Attributes:
        is_closed: Whether the call is over and reports nothing more.
        is_answered: Whether a line or a message of its answer has been received.
        is_overdue: Whether it was reported as overdue.
    """

    def __init__(self, parameters: CallParameters) -> None:
        self.is_closed = False
        self.is_answered = False
        self.is_overdue = False
        self._loop = parameters.loop
        self._address = parameters.address
        self._target = parameters.target
        self._listener = parameters.listener
        # None once closed: the parser refers to this object, and the cycle would keep both in memory.
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._inactivity_timer: asyncio.TimerHandle | None = None
        self._connect_task = self._loop.create_task(self._connect())

    def close(self) -> None:
        """End the call without reporting a failure."""
        self.is_closed = True
        self._parser = None
        if self._inactivity_timer is not None:
            self._inactivity_timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, *self._address)
        except (OSError, TimeoutError, ValueError) as error:  # ValueError: malformed host name
            self._fail(f"no connection: {error}")

    def _fail(self, reason: str) -> None:
        if self.is_closed:
            return
        self.close()
        log_event("discovery.call_failed", reason=reason)
        self._listener.on_call_failed(self)

    def _restart_inactivity_timer(self) -> None:
        if self._inactivity_timer is not None:
            self._inactivity_timer.cancel()
        self._inactivity_timer = self._loop.call_later(INACTIVITY_TIMEOUT_S, self._on_inactivity)

    def _on_inactivity(self) -> None:
        """Fail, or report once that there is no answer yet.

        Discovery answers calls in turn. Were a call ended while it is queued, the next one would be queued
        behind all others again, and while the queue is longer than the timeout none would be answered.
        """
        if self.is_answered:
            self._fail("no progress within the inactivity timeout")
        elif not self.is_overdue:
            self.is_overdue = True
            log_event("discovery.call_overdue")
            self._listener.on_call_overdue(self)

    def _note_answer(self) -> None:
        if not self.is_answered:
            self.is_answered = True
            self._listener.on_call_answered(self)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        if self.is_closed:
            self._transport.abort()
            return
        host, port = self._address
        self._transport.write(f"GET {self._target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
        self._restart_inactivity_timer()

    def data_received(self, data: bytes) -> None:
        """Parse a piece of the response."""
        parser = self._parser
        if parser is None:
            return
        try:
            parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"malformed response: {error}")

    def eof_received(self) -> bool:
        """Handle the end of what discovery sends; the transport closes itself."""
        if not self.is_closed:
            self._end_input()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the call as failed unless it is over."""
        del exc
        self._fail("connection lost")

    # Callbacks of the parser

    def on_headers_complete(self) -> None:
        """Accept a response of status 200 only."""
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if status != 200:
            self._fail(f"response status {status}")
        else:
            self._restart_inactivity_timer()

    def on_body(self, body: bytes) -> None:
        """Read a piece of the response's body, within the limit on a message."""
        if not self.is_closed and self._read_body(body) > MAX_MESSAGE_BYTES:
            self._fail("a message is too long")

    def on_message_complete(self) -> None:
        """Conclude the call at the end of the response's body."""
        if not self.is_closed:
            self._conclude()

    # For subclasses

    def _read_body(self, body: bytes) -> int:
        """Read a piece of the body and return the number of buffered bytes."""
        raise NotImplementedError

    def _conclude(self) -> None:
        """Handle the end of the body."""
        raise NotImplementedError

    def _end_input(self) -> None:
        """Handle the orderly end of the connection before the end of the body."""


class WatchCall(DiscoveryCall):
    """A call whose response is a stream of messages; the end of the stream is a failure."""

    def __init__(self, parameters: CallParameters) -> None:
        super().__init__(parameters)
        self._splitter = JsonStreamSplitter()

    def _read_body(self, body: bytes) -> int:
        splitter = self._splitter
        completed_before = splitter.completed
        begins_message = completed_before > 0 and not splitter.buffered_bytes
        messages = splitter.feed(body)
        if splitter.completed > 0:
            self._note_answer()
        if not messages and splitter.completed > completed_before:
            self._listener.on_empty_line()
        for message in messages:
            if not self.is_closed:  # an earlier message may have closed the call
                self._listener.on_message(self, message)
        if not self.is_closed and (begins_message or splitter.completed > completed_before):
            self._restart_inactivity_timer()
        return splitter.buffered_bytes

    def _conclude(self) -> None:
        for message in self._splitter.finish():
            self._note_answer()
            self._listener.on_message(self, message)
        self._fail("the response to the watch ended")

    def _end_input(self) -> None:
        self._conclude()


class PollCall(DiscoveryCall):
    """A call whose response is one message, read when it is complete."""

    def __init__(self, parameters: CallParameters) -> None:
        super().__init__(parameters)
        self._body = bytearray()
        self._has_framing = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the headers tell where the body ends."""
        del value
        self._has_framing = self._has_framing or name.lower() in FRAMING_HEADERS

    def _end_input(self) -> None:
        if self._body and not self._has_framing:
            self._conclude()

    def _read_body(self, body: bytes) -> int:
        self._body += body
        return len(self._body)

    def _conclude(self) -> None:
        self._note_answer()
        self.close()
        if not self._listener.on_message(self, bytes(self._body)):
            self._listener.on_call_failed(self)
