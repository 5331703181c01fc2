"""Sends attempts to endpoints and reports exactly one outcome for each `Send` action."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from load_balancer.decisions.actions import Send
from load_balancer.decisions.events import NEVER_EXECUTED, AttemptEnded, Event, LoadReport, Outcome
from load_balancer.gateway.clock import Clock
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.http_message import Response
from load_balancer.gateway.load_reports import parse_load_report_header
from load_balancer.gateway.log_fields import LogFieldResolver
from load_balancer.gateway.request_tracker import PendingRequest, RequestTracker
from load_balancer.gateway.upstream_pool import EndpointId, UpstreamPool


@dataclass(slots=True, eq=False)
class SentAttempt:
    """An attempt in flight, and what it sends: the client's request with the time that is left for it.

    Attributes:
        request: The request that it belongs to.
        number: Its index among the attempts of the request, from 0.
        endpoint_id: The endpoint that it is sent to.
        sent_us: Time at which it was started, in microseconds.
        timeout_us: How long it may take from then on, in microseconds.
        write_by_us: Time by which it has to be written, as in `Send`.
        request_tracker: Knows whether the client still waits.
        clock: The clock of these times.
    """

    request: PendingRequest
    number: int
    endpoint_id: EndpointId
    sent_us: int
    timeout_us: int
    write_by_us: int | None
    request_tracker: RequestTracker
    clock: Clock

    def may_be_written(self) -> bool:
        """Return whether the client still waits and the request cannot take effect a second time."""
        if self.write_by_us is not None and self.clock.now_us() >= self.write_by_us:
            return False
        return self.request_tracker.is_wanted(self.request)

    def encode(self) -> bytes:
        """Return the request's bytes; the time that it states is the time left now."""
        waited_us = self.clock.now_us() - self.sent_us
        return self.request.client_request.encode(max(1, self.timeout_us - waited_us))


class AttemptSender:
    """A sender of attempts that reports their outcomes to the balancer.

    Attributes:
        reads_load_reports: Whether to read load reports from responses.
    """

    def __init__(
        self,
        request_tracker: RequestTracker,
        upstream: UpstreamPool,
        clock: Clock,
        dispatch: Callable[[Event], None],
        log_fields: LogFieldResolver,
        *,
        reads_load_reports: bool,
    ) -> None:
        self.reads_load_reports = reads_load_reports
        self._request_tracker = request_tracker
        self._upstream = upstream
        self._clock = clock
        self._dispatch = dispatch
        self._log_fields = log_fields

    def send(self, request: PendingRequest, action: Send) -> None:
        """Start an attempt, or report it as not sent.

        It is not sent if the request has been answered, its client has disconnected, its deadline or the time
        by which it has to be written has passed, or it has had as many attempts as the settings allow.
        """
        number = len(request.attempts)
        sent_us = self._clock.now_us()
        timeout_us = min(action.timeout_us, request.deadline_us - sent_us)
        is_limit_reached = number >= request.settings_version.settings.max_attempts
        sent = SentAttempt(
            request,
            number,
            action.endpoint_id,
            sent_us,
            timeout_us,
            action.write_by_us,
            self._request_tracker,
            self._clock,
        )
        if not sent.may_be_written() or timeout_us <= 0 or is_limit_reached:
            request.attempts.append(None)
            self._dispatch(
                AttemptEnded(request.id, number, action.endpoint_id, Outcome.NOT_SENT, 0, request.is_closed)
            )
            return
        request.attempts_in_flight += 1
        if number > 0:
            fields = self._log_fields.for_request(request, endpoint_id=action.endpoint_id, attempt=number)
            log_event("attempt.retried", **fields)
        write_by_us = action.write_by_us
        attempt = self._upstream.send(
            action.endpoint_id,
            sent,
            timeout_us / 1e6,
            partial(self._attempt_ended, sent),
            None if write_by_us is None else (write_by_us - sent_us) / 1e6,
        )
        request.attempts.append(attempt)

    def _attempt_ended(self, sent: SentAttempt, outcome: Outcome, response: Response | None) -> None:
        request = sent.request
        request.attempts_in_flight -= 1
        request.may_have_run = request.may_have_run or self._may_have_run(request, outcome)
        latency_us = self._clock.now_us() - sent.sent_us
        if outcome is not Outcome.OK:
            self._log_failure(sent, outcome, latency_us)
        if outcome is Outcome.OK and response is not None:
            self._request_tracker.answer(request, response)
        self._dispatch(
            AttemptEnded(
                request.id,
                sent.number,
                sent.endpoint_id,
                outcome,
                latency_us,
                request.is_closed,
                self._load_report(response),
            )
        )
        self._request_tracker.remove_if_finished(request)

    def _log_failure(self, sent: SentAttempt, outcome: Outcome, latency_us: int) -> None:
        fields = self._log_fields.for_request(
            sent.request, endpoint_id=sent.endpoint_id, attempt=sent.number, outcome=outcome.value
        )
        log_event("attempt.failed", latency_ms=latency_us // 1000, **fields)

    @staticmethod
    def _may_have_run(request: PendingRequest, outcome: Outcome) -> bool:
        if outcome is Outcome.REJECTED:
            return request.settings_version.settings.rejected_may_have_run
        return outcome not in NEVER_EXECUTED

    def _load_report(self, response: Response | None) -> LoadReport:
        if response is None or not self.reads_load_reports:
            return ()
        return parse_load_report_header(response.header(b"server-load"))
