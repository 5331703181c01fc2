"""An adaptive limit on the requests in flight: lowered by slow answers, raised by prompt ones."""

from __future__ import annotations

from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.decisions.latency import SLOW_LATENCY_FACTOR
from load_balancer.decisions.request import Request

INITIAL_LIMIT = 6.0  # requests: gateways that restart together must not overload the endpoints
MIN_LIMIT = 0.5  # requests: with one in flight hardly any more are sent
LIMIT_STEP = 0.2  # requests: least step of the limit; larger where the limit is below 5
LIMIT_DECREASE_STEPS = 3.0  # steps down for a slow answer: balanced where one in four is slow
LIMIT_IN_USE_SHARE = 0.75  # share of the limit that must be in flight for a prompt answer to raise it
TOLERATED_WAIT_SHARE = 0.25  # share of the time left by the unloaded latency that an answer may have waited


class ConcurrencyLimit:
    """Attempts in flight, and the number beyond which load is shed.

    Attributes:
        limit: The limit, in requests.
        in_flight: Attempts in flight everywhere.
        has_seen_slow_answer: Whether any answer has been slow so far; before that the limit rises faster.
    """

    __slots__ = ("has_seen_slow_answer", "in_flight", "limit")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self.in_flight = 0
        self.has_seen_slow_answer = False

    def note_sent(self) -> None:
        """Count one more attempt in flight."""
        self.in_flight += 1

    def note_ended(self) -> None:
        """Count one attempt less in flight."""
        self.in_flight -= 1

    def adjust(self, request: Request, event: AttemptEnded) -> None:
        """Change the limit by the outcome of an attempt."""
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.REJECTED) and dict(event.load_report).get("queue", 0.0) >= 1.0:
            # Work is queued at the endpoint: an overload, not a limit on one class or tenant. Full endpoints
            # reject at once, so that little is in flight and latency shows the overload only seconds later.
            self.step(True, max_in_flight_multiple=1.0)
            return
        if outcome not in (Outcome.OK, Outcome.TIMEOUT):
            return
        slow = self._waited_too_long(request, event)
        if outcome is Outcome.OK or slow:  # a short time-out is no evidence either way
            self.step(slow)

    def step(self, slow: bool, max_in_flight_multiple: float = 2.0) -> None:
        """Lower the limit after a slow answer; raise it after a prompt one if much of it is in use.

        Attempts sent before a step are still slow after it. Steps are small relative to the limit, so that
        all attempts in flight together lower it by a fraction only. With a low limit there are few answers,
        so that each counts for more. A slow answer caps the limit at `max_in_flight_multiple` times the
        number in flight.
        """
        step = max(LIMIT_STEP, min(1.0, 1.0 / self.limit))
        if slow:
            capped_limit = min(self.limit, max_in_flight_multiple * (self.in_flight + 1))
            self.limit = max(MIN_LIMIT, capped_limit - LIMIT_DECREASE_STEPS * step)
            self.has_seen_slow_answer = True
        elif self.in_flight + 1 >= self.limit * LIMIT_IN_USE_SHARE:
            self.limit += step if self.has_seen_slow_answer else 1.0

    def _waited_too_long(self, request: Request, event: AttemptEnded) -> bool:
        """Return whether an attempt took longer than tolerated beyond the unloaded latency.

        The wait is bounded by the client's timeout, as many time-outs with retries are an overload too. The
        tolerated wait is at least that of a slow answer, as work varies by itself.
        """
        request_class = request.request_class
        definition = request_class.definition
        unloaded_us = request_class.unloaded_us
        available_us = request.deadline_us - request.attempts[event.attempt].sent_us
        slack_us = min(available_us, definition.latency_objective_us) - unloaded_us
        waited_us = event.latency_us - unloaded_us * request.relative_latency
        share = TOLERATED_WAIT_SHARE + (1.0 - TOLERATED_WAIT_SHARE) * definition.late_weight_share
        tolerated_us = max(
            slack_us * share, (SLOW_LATENCY_FACTOR - 1.0) * unloaded_us * request.relative_latency
        )
        return waited_us > tolerated_us
