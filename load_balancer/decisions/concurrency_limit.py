"""An adaptive limit on the attempts in flight: slow answers lower it, prompt answers raise it."""

from __future__ import annotations

from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.decisions.latency import SLOW_LATENCY_FACTOR
from load_balancer.decisions.request import Request

INITIAL_LIMIT = 6.0  # Attempts; low, so that gateways that restart together do not overload the endpoints.
MIN_LIMIT = 0.5  # Attempts; with a limit this low, hardly any are sent while one is in flight.
LIMIT_STEP = 0.2  # Smallest step of the limit, in attempts; steps are larger for limits below 5.
# Steps by which a slow answer lowers the limit; the limit is steady when one answer in four is slow.
LIMIT_DECREASE_STEPS = 3.0
LIMIT_IN_USE_SHARE = 0.75  # Share of the limit that must be in use for a prompt answer to raise it.
# Share of the slack (the time that remains beside the unloaded latency) that an answer may have waited.
TOLERATED_WAIT_SHARE = 0.25


class ConcurrencyLimit:
    """The number of attempts in flight, and the limit beyond which load is shed.

    Attributes:
        limit: The limit on attempts in flight.
        in_flight: Number of attempts in flight at all endpoints.
        has_seen_slow_answer: Whether any answer has been slow so far; until then the limit rises faster.
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
        """Change the limit according to the outcome of an attempt."""
        outcome = event.outcome
        if outcome in (Outcome.OK, Outcome.REJECTED) and dict(event.load_report).get("queue", 0.0) >= 1.0:
            # The endpoint has a queue: it is overloaded, and does not just limit one class or tenant. Full
            # endpoints reject immediately, so little is in flight and latency shows the overload only seconds
            # later.
            self.step(True, max_in_flight_multiple=1.0)
            return
        if outcome not in (Outcome.OK, Outcome.TIMEOUT):
            return
        slow = self._waited_too_long(request, event)
        if outcome is Outcome.OK or slow:  # A short time-out says nothing about the load.
            self.step(slow)

    def step(self, slow: bool, max_in_flight_multiple: float = 2.0) -> None:
        """Lower the limit after a slow answer; raise it after a prompt one if much of it is in use.

        Attempts that are in flight when the limit is lowered may still be answered slowly. Steps are small
        relative to the limit, so that all of these attempts together lower it only by a fraction. With a low
        limit there are few answers, so each changes it by more.

        Args:
            slow: Whether the answer was slow.
            max_in_flight_multiple: A slow answer also caps the limit at this multiple of the attempts in
                flight.
        """
        step = max(LIMIT_STEP, min(1.0, 1.0 / self.limit))
        if slow:
            capped_limit = min(self.limit, max_in_flight_multiple * (self.in_flight + 1))
            self.limit = max(MIN_LIMIT, capped_limit - LIMIT_DECREASE_STEPS * step)
            self.has_seen_slow_answer = True
        elif self.in_flight + 1 >= self.limit * LIMIT_IN_USE_SHARE:
            self.limit += step if self.has_seen_slow_answer else 1.0

    def _waited_too_long(self, request: Request, event: AttemptEnded) -> bool:
        """Return whether an attempt waited longer than tolerated, beyond the unloaded latency.

        The slack is bounded by the client's timeout, as many time-outs with retries are an overload too. The
        tolerated wait is at least that of a slow answer, as the work of requests varies.
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
