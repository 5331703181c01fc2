"""Starts, cancels and ends the attempts of requests."""

from __future__ import annotations

from load_balancer.decisions.actions import Action, Cancel, Send
from load_balancer.decisions.concurrency_limit import ConcurrencyLimit
from load_balancer.decisions.context import Context
from load_balancer.decisions.endpoint_list import EndpointList
from load_balancer.decisions.endpoint_state import Attempt, EndpointState, breakers_for
from load_balancer.decisions.events import NEVER_EXECUTED, Outcome
from load_balancer.decisions.latency import OVERDUE_LATENCY_FACTOR
from load_balancer.decisions.picker import Picker
from load_balancer.decisions.request import Request
from load_balancer.decisions.retries import write_deadline_us
from load_balancer.decisions.slow_start import charge, overload_budget_us
from load_balancer.decisions.subset import Subset


class Dispatcher:
    """Chooses an endpoint for each attempt, and counts the attempts in flight.

    Attributes:
        subset: Selects the endpoints that are eligible for a request.
        picker: Draws one of these at random.
    """

    __slots__ = ("_actions", "_context", "_endpoints", "_limit", "picker", "subset")

    def __init__(
        self,
        actions: list[Action],
        context: Context,
        endpoints: EndpointList,
        limit: ConcurrencyLimit,
        picker: Picker,
    ) -> None:
        """Use `actions` as the list to which the actions that send and cancel attempts are appended."""
        self._actions = actions
        self._context = context
        self._endpoints = endpoints
        self._limit = limit
        self.subset = Subset()
        self.picker = picker

    def overload_budget_us(self) -> float:
        """Return this gateway's budget of work for an endpoint in slow start, in microseconds."""
        return overload_budget_us(self.subset.size, len(self._endpoints.by_rank), self._context.settings)

    def pick(self, request: Request) -> EndpointState | None:
        """Return an endpoint for an attempt that is sent now, or None if none is eligible."""
        context = self._context
        by_rank = self._endpoints.by_rank
        now_us = context.now_us
        settings = context.settings
        overdue_us = OVERDUE_LATENCY_FACTOR * context.classes.slowest.smoothed_us
        if request.attempts:
            candidates = self.subset.select_for_retry(by_rank, request, now_us, overdue_us, settings)
        else:
            candidates = self.subset.select(by_rank, request.breaker_key, now_us, overdue_us, settings)
        budget_us = self.overload_budget_us()
        return self.picker.pick(request, candidates, len(by_rank), budget_us)

    def send(self, request: Request) -> bool:
        """Send an attempt; return False if no endpoint is eligible."""
        endpoint = self.pick(request)
        if endpoint is None:
            return False
        now_us = self._context.now_us
        endpoint_breaker, class_breaker = breakers_for(endpoint, request.breaker_key)
        trial_periods = (
            endpoint_breaker.acquire_trial() if endpoint_breaker else 0,
            class_breaker.acquire_trial() if class_breaker else 0,
        )
        write_by_us = write_deadline_us(request, now_us)
        attempt = Attempt(endpoint, now_us, trial_periods)
        request.attempts.append(attempt)
        request.in_flight += 1
        endpoint.in_flight[attempt] = now_us
        self._limit.note_sent()
        self.subset.resize(self._limit.in_flight)
        charge(endpoint, request, now_us, self._context.settings)
        timeout_us = max(1, request.wait_until_us(now_us) - now_us)
        self._actions.append(Send(request.id, endpoint.endpoint.id, timeout_us, write_by_us))
        return True

    def cancel(self, request: Request, kept_attempt: int | None = None) -> None:
        """Cancel a request's attempts in flight, except `kept_attempt`, if the settings allow it."""
        if not request.settings_version.settings.may_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if not attempt.ended and number != kept_attempt:
                self._actions.append(Cancel(request.id, number))

    def mark_ended(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Mark an attempt as ended, and remove it from the attempts in flight."""
        attempt.ended = True
        may_have_run_if_rejected = request.settings_version.settings.rejected_may_have_run
        rejected_after_run = outcome is Outcome.REJECTED and may_have_run_if_rejected
        attempt.may_have_run = rejected_after_run or outcome not in NEVER_EXECUTED
        request.in_flight -= 1
        attempt.endpoint.in_flight.pop(attempt, None)
        self._limit.note_ended()
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            attempt.endpoint.last_answer_us = self._context.now_us
