"""Tracks the accepted requests, each of which gets one final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.events import ClientDisconnected, Event, RequestArrived
from load_balancer.decisions.settings import Idempotency
from load_balancer.decisions.settings_version import SettingsVersion
from load_balancer.gateway.client_request import ClientRequest
from load_balancer.gateway.clock import Clock
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.http_message import Response, text_response
from load_balancer.gateway.recent_request_ids import RecentRequestIds
from load_balancer.gateway.upstream_attempt import UpstreamAttempt

# Subtracted from the client's timeout for the transit of the request and its answer.
TRANSIT_US = 4_000
# Time from a request's deadline to its deadline timer: after the balancer's own timer, before the client's
# timeout.
DEADLINE_TIMER_DELAY_US = 2_000

AnswerCallback = Callable[[Response], None]


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final answer, or with attempts in flight.

    Attributes:
        id: Unique for the lifetime of the process.
        settings_version: The version in force when it arrived.
        names: The names of that version.
        remaining_timeout_us: Time to its deadline when it arrived.
        deadline_us: Time of its client's timeout, less the time for transit.
        send_answer: None once it has had its final answer or its client has disconnected.
        has_disconnected: Returns whether its client has closed the connection, even if the loop has not read
            that.
        deadline_timer: The timer that answers it if nothing else has.
        attempts: By number; None for one that was never started.
        attempts_in_flight: Attempts whose outcome is not known yet.
        is_idempotent: Whether it may be executed any number of times.
        may_have_run: Whether the outcome of an attempt does not prove that it was not executed.
    """

    id: str
    client_request: ClientRequest
    settings_version: SettingsVersion
    names: NameTable
    remaining_timeout_us: int
    deadline_us: int
    send_answer: AnswerCallback | None
    has_disconnected: Callable[[], bool]
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: list[UpstreamAttempt | None] = field(default_factory=list)
    attempts_in_flight: int = 0
    is_idempotent: bool = False
    may_have_run: bool = False

    @property
    def is_closed(self) -> bool:
        """Whether it needs no answer, as it has been answered or its client has disconnected."""
        return self.send_answer is None

    def arrival_event(self) -> RequestArrived:
        """Return the event that notifies the balancer of it."""
        client_request = self.client_request
        return RequestArrived(
            self.id,
            client_request.request_class,
            self.remaining_timeout_us,
            client_request.key,
            client_request.work_us,
            client_request.is_retry,
            client_request.tenant,
            client_request.is_write,
        )


def _is_idempotent(client_request: ClientRequest, settings_version: SettingsVersion) -> bool:
    request_class = settings_version.settings.classes[client_request.request_class]
    return request_class.idempotency is Idempotency.IDEMPOTENT


class RequestTracker:
    """A tracker of the accepted requests until they are answered and their attempts have ended.

    Attributes:
        pending: Requests by their id.
        unanswered: Number of requests without a final answer.
        accepted: Number of requests accepted so far.
        recent_ids: Ids of requests that must not be executed again.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        dispatch: Callable[[Event], None],
        log_fields: Callable[[PendingRequest], dict[str, object]],
    ) -> None:
        """Create a tracker without requests.

        Args:
            loop: Runs the deadline timers.
            clock: The clock of deadlines.
            dispatch: Called with the events that end requests.
            log_fields: Returns the log fields of a request.
        """
        self.pending: dict[str, PendingRequest] = {}
        self.unanswered = 0
        self.accepted = 0
        self.recent_ids = RecentRequestIds(loop.time)
        self._loop = loop
        self._clock = clock
        self._dispatch = dispatch
        self._log_fields = log_fields

    def accept(
        self,
        client_request: ClientRequest,
        settings_version: SettingsVersion,
        names: NameTable,
        send_answer: AnswerCallback,
        has_disconnected: Callable[[], bool],
    ) -> PendingRequest:
        """Add a request.

        Args:
            client_request: The request.
            settings_version: The version in force.
            names: The names of that version.
            send_answer: Called exactly once, unless `client_disconnected` is called first.
            has_disconnected: Returns whether the client has closed the connection, even if the loop has not
                read that.
        """
        self.accepted += 1
        remaining_us = max(0, client_request.timeout_us - client_request.waited_us - TRANSIT_US)
        request = PendingRequest(
            str(self.accepted),
            client_request,
            settings_version,
            names,
            remaining_us,
            self._clock.now_us() + remaining_us,
            send_answer,
            has_disconnected,
            is_idempotent=_is_idempotent(client_request, settings_version),
        )
        self.pending[request.id] = request
        if not request.is_idempotent:
            self.recent_ids.add(client_request.id)
        self.unanswered += 1
        delay_s = (remaining_us + DEADLINE_TIMER_DELAY_US) / 1e6
        # One iteration of the loop after the timer: if an attempt times out in the same iteration, that is
        # reported first and the balancer answers.
        request.deadline_timer = self._loop.call_later(
            delay_s, self._loop.call_soon, self.answer_deadline_exceeded, request
        )
        return request

    def is_repeat(self, client_request: ClientRequest, settings_version: SettingsVersion) -> bool:
        """Return whether a request may have been executed under this id and must not be executed again."""
        return client_request.id in self.recent_ids and not _is_idempotent(client_request, settings_version)

    def get(self, request_id: str | None) -> PendingRequest | None:
        """Return a tracked request by its id, if there is one."""
        return self.pending.get(request_id) if request_id is not None else None

    def is_wanted(self, request: PendingRequest) -> bool:
        """Return whether the client still waits for its answer; checked before each attempt is written.

        The client's socket itself is polled: an iteration of the loop may take long, as for a list of
        thousands of endpoints, and may handle timers and responses before it reads the client's close.
        """
        if not request.is_closed and request.has_disconnected():
            self.client_disconnected(request)
        return not request.is_closed

    def client_disconnected(self, request: PendingRequest) -> None:
        """Drop the answer of a request whose client has disconnected, and notify the balancer."""
        if not request.is_closed:
            self._close_request(request)
            self._dispatch(ClientDisconnected(request.id))
            self.remove_if_finished(request)

    def answer(self, request: PendingRequest, response: Response) -> None:
        """Send the final answer, if it is still pending."""
        send_answer = request.send_answer
        if send_answer is not None:
            self._close_request(request)
            send_answer(response)

    def answer_by_id(self, request_id: str, response: Response) -> None:
        """Send the final answer to a request, if it is known and the answer still pending."""
        request = self.pending.get(request_id)
        if request is not None:
            self.answer(request, response)
            self.remove_if_finished(request)

    def answer_internal_error(self, request_id: str | None) -> None:
        """Answer a request that an exception concerns, and have the balancer drop it."""
        request = self.get(request_id)
        if request is not None:
            self._answer_and_remove(request, text_response(500, "internal error"))

    def answer_deadline_exceeded(self, request: PendingRequest) -> None:
        """Answer 504 to a request that has no answer yet shortly before its client times out."""
        if not request.is_closed:
            log_event("request.deadline_exceeded", **self._log_fields(request))
            self._answer_and_remove(request, text_response(504, "out of time"))

    def remove_if_finished(self, request: PendingRequest) -> None:
        """Remove a request that needs no answer and has no attempt in flight."""
        if not request.is_closed or request.attempts_in_flight > 0:
            return
        is_first_call = self.pending.pop(request.id, None) is not None
        if is_first_call and not request.is_idempotent:
            self._remember_or_forget_id(request)

    def _remember_or_forget_id(self, request: PendingRequest) -> None:
        if request.may_have_run:
            self.recent_ids.add(request.client_request.id)
        else:
            self.recent_ids.discard(request.client_request.id)

    def _answer_and_remove(self, request: PendingRequest, response: Response) -> None:
        if not request.is_closed:
            self.answer(request, response)
            self._dispatch(ClientDisconnected(request.id))
            self.remove_if_finished(request)

    def _close_request(self, request: PendingRequest) -> None:
        request.send_answer = None
        # No further attempt is sent; one in flight that cannot be cancelled may still last long.
        request.client_request = request.client_request.without_content()
        self.unanswered -= 1
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        for attempt in request.attempts:
            if attempt is not None:
                attempt.abandon_unless_written()
