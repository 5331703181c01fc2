"""The four rules of WIRE, checked on every event; a violation is recorded with its time and gateway."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from lab.model.engine import START_US, Clock
from lab.model.requests import GatewayRequest
from lab.model.scenario import Effect
from load_balancer.decisions.events import NEVER_EXECUTED
from load_balancer.decisions.settings import DeduplicationScope

MAX_RECORDED_VIOLATIONS = 20  # of the violations, the first are recorded; all are counted
MIN_NOTIFIED_SHARE = (
    2.0 / 3.0
)  # of an endpoint's work that must come from notified gateways to count as theirs


class Rule(IntEnum):
    """The numbers that results give to the rules."""

    INVALID_ACTION = 0  # none of the four: what WIRE says scores nothing
    ONE_ANSWER = 1
    NO_DUPLICATE = 2
    DRAINING_ENDPOINT = 3
    SLOW_START_OVERLOAD = 4


class Rules:
    """Checks the rules and keeps the violations."""

    def __init__(self, clock: Clock, drain_grace_us: int) -> None:
        self.violations: list[dict[str, Any]] = []
        self.violation_count = 0
        self._clock = clock
        self._drain_grace_us = drain_grace_us

    def report(self, rule: Rule, gateway_index: int, description: str) -> None:
        """Record a violation."""
        self.violation_count += 1
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            time_s = (self._clock.now_us - START_US) / 1e6
            self.violations.append(
                {"rule": int(rule), "at_s": time_s, "gateway": gateway_index, "what": description}
            )

    def check_send(self, request: GatewayRequest, group: int, attempt_groups: list[int]) -> None:
        """Check an attempt to an endpoint in `group`; those of earlier attempts are in `attempt_groups`."""
        if request.finished:
            self.report(Rule.ONE_ANSWER, request.gateway_index, f"{request.id} sent on after its end")
        if any(attempt.outcome is None for attempt in request.attempts):
            self.report(Rule.NO_DUPLICATE, request.gateway_index, f"{request.id} has two attempts out")
            return
        possibly_executed = [n for n, a in enumerate(request.attempts) if a.outcome not in NEVER_EXECUTED]
        if not possibly_executed:
            return
        if request.request_class.effect is Effect.NON_IDEMPOTENT:
            description = f"{request.id} is unsafe, may have run and was sent again"
            self.report(Rule.NO_DUPLICATE, request.gateway_index, description)
        elif request.request_class.effect is Effect.IDEMPOTENCY_KEY:
            elapsed_us = self._clock.now_us - request.attempts[possibly_executed[0]].sent_us
            outside_group = any(attempt_groups[n] != group for n in possibly_executed)
            if outside_group or elapsed_us >= request.request_class.window_s * 1e6:
                description = f"{request.id} may have run and was sent outside its group"
                self.report(Rule.NO_DUPLICATE, request.gateway_index, description)

    def check_target(self, gateway_index: int, endpoint_index: int, notified_us: int | None) -> None:
        """Check an attempt to an endpoint; `notified_us`: when the gateway was notified that it stops."""
        if notified_us is not None and self._clock.now_us > notified_us + self._drain_grace_us:
            late_s = (self._clock.now_us - notified_us) / 1e6
            description = f"server {endpoint_index} was sent to {late_s:.3f} s after it was to stop"
            self.report(Rule.DRAINING_ENDPOINT, gateway_index, description)

    def check_answer(self, request: GatewayRequest, refused: bool) -> None:
        """Check a final answer of the gateway's own."""
        if request.answered:
            self.report(Rule.ONE_ANSWER, request.gateway_index, f"{request.id} answered twice")
        terms = request.request_class
        deduplicated = terms.effect is Effect.IDEMPOTENCY_KEY and terms.scope is DeduplicationScope.ALL
        repeatable = deduplicated or terms.effect is Effect.IDEMPOTENT
        never_ran = all(attempt.outcome in NEVER_EXECUTED for attempt in request.attempts)
        if refused and not request.finished and not repeatable and not never_ran:
            description = f"{request.id} may have run and was refused"
            self.report(Rule.NO_DUPLICATE, request.gateway_index, description)
        request.answered = True

    def report_overdue(self, request: GatewayRequest) -> None:
        """Record a request without a final answer at its deadline."""
        description = f"{request.id} had no final answer in time"
        self.report(Rule.ONE_ANSWER, request.gateway_index, description)

    def check_crash(self, endpoint_index: int, notified_share: float, gateway_index: int) -> None:
        """Check the crash of a cold endpoint.

        Args:
            endpoint_index: The endpoint.
            notified_share: Part of its work that came from gateways that knew of its start.
            gateway_index: The gateway that sent most.
        """
        if notified_share > MIN_NOTIFIED_SHARE:
            description = f"server {endpoint_index} fell over, cold, with {notified_share:.2f} sent knowingly"
            self.report(Rule.SLOW_START_OVERLOAD, gateway_index, description)
