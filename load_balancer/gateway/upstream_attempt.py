"""One request on one connection to an endpoint: a client's attempt or a health check."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from load_balancer.decisions.events import Outcome
from load_balancer.gateway.http_message import Response

AttemptCallback = Callable[[Outcome, Response | None], None]


class Abortable(Protocol):
    """A connection that can be closed at once."""

    def abort(self) -> None:
        """Close without waiting for anything."""


class OutgoingRequest(Protocol):
    """What an attempt sends, as of the time at which it is written."""

    def may_be_written(self) -> bool:
        """Return whether it should still be sent; checked once a new connection is open."""

    def encode(self) -> bytes:
        """Return its bytes."""


class UpstreamAttempt:
    """A request to one endpoint, with exactly one outcome.

    Attributes:
        request: What it sends; None once it has ended.
        connection: The connection that it is sent on; None before that is chosen.
        timer: Ends it when its time is up.
        write_timer: Ends it at the time by which it has to be written, unless it is.
        written: Whether its last byte has left the process, so that it may have run.
        done: Whether its outcome is decided.
    """

    __slots__ = ("_loop", "_on_end", "connection", "done", "request", "timer", "write_timer", "written")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        request: OutgoingRequest,
        on_end: AttemptCallback,
    ) -> None:
        self.request: OutgoingRequest | None = request
        self._loop = loop
        self._on_end: AttemptCallback | None = on_end
        self.connection: Abortable | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None
        self.written = False
        self.done = False

    def response_received(self, response: Response) -> None:
        """End with a response."""
        on_end = self._finish()
        if on_end is not None:
            on_end(response.outcome(), response)

    def connection_lost(self) -> None:
        """End without a response: no connection could be opened, or it was lost or violated HTTP."""
        self._end_without_response(Outcome.RESET if self.written else Outcome.CONNECT_FAILED)

    def abandon(self, outcome: Outcome) -> None:
        """Stop waiting for a response and close the connection, by which the endpoint notices."""
        if self.done:
            return
        if self.connection is not None:
            self.connection.abort()
        timed_out_unsent = not self.written and outcome is Outcome.TIMEOUT
        self._end_without_response(Outcome.CONNECT_FAILED if timed_out_unsent else outcome)

    def abandon_unless_written(self) -> None:
        """Abandon an attempt whose last byte has not been written; allowed even where cancelling is not."""
        if not self.written:
            self.abandon(Outcome.NOT_SENT)

    def _end_without_response(self, outcome: Outcome) -> None:
        # An abort closes the connection in the next iteration of the loop. The outcome is reported after it:
        # otherwise another attempt could be written first, and two copies of the request would be in flight.
        on_end = self._finish()
        if on_end is not None:
            self._loop.call_soon(on_end, outcome, None)

    def _finish(self) -> AttemptCallback | None:
        """Mark as done and return the callback for the outcome; None if it was done before.

        Request and attempt refer to each other. What the attempt holds is dropped, or else both would stay in
        memory until a garbage collection.
        """
        self.done = True
        for timer in (self.timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        on_end, self._on_end = self._on_end, None
        self.request = None
        self.connection = None
        return on_end
