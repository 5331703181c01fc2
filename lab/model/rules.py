"""Checks of the four rules of the operators' page WIRE; violations are recorded with time and gateway."""

from __future__ import annotations

from enum import IntEnum
from typing import Any

from lab.model.engine import START_US, Clock
from lab.model.requests import GatewayRequest
from lab.model.scenario import Effect
from load_balancer.decisions.events import NEVER_EXECUTED
from load_balancer.decisions.settings import DeduplicationScope

MAX_RECORDED_VIOLATIONS = 20  # further violations are counted only
# A crash during slow start breaks rule 4 if more than this share of the endpoint's work came from gateways
# that had been notified of its start.
MIN_NOTIFIED_SHARE = 2.0 / 3.0


class Rule(IntEnum):
    """The numbers of the rules in stored results."""

    INVALID_ACTION = 0  # none of the four rules: an action that scores nothing according to the page WIRE
    ONE_ANSWER = 1
    NO_DUPLICATE = 2
    DRAINING_ENDPOINT = 3
    SLOW_START_OVERLOAD = 4


class Rules:
    """Checks the rules and records violations."""

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
        """Check an attempt against rules 1 and 2.

        Args:
            request: The request.
            group: Deduplication group of the attempt's endpoint.
            attempt_groups: Deduplication groups of the earlier attempts' endpoints.
        """
        if request.finished:
            self.report(Rule.ONE_ANSWER, request.gateway_index, f"{request.id} was sent after its end")
        if any(attempt.outcome is None for attempt in request.attempts):
            self.report(Rule.NO_DUPLICATE, request.gateway_index, f"{request.id} has two attempts in flight")
            return
        possibly_executed = [n for n, a in enumerate(request.attempts) if a.outcome not in NEVER_EXECUTED]
        if not possibly_executed:
            return
        if request.request_class.effect is Effect.NON_IDEMPOTENT:
            description = f"{request.id} is not idempotent, may have run and was sent again"
            self.report(Rule.NO_DUPLICATE, request.gateway_index, description)
        elif request.request_class.effect is Effect.IDEMPOTENCY_KEY:
            elapsed_us = self._clock.now_us - request.attempts[possibly_executed[0]].sent_us
            outside_group = any(attempt_groups[n] != group for n in possibly_executed)
            if outside_group or elapsed_us >= request.request_class.window_s * 1e6:
                description = f"{request.id} may have run and was repeated outside its scope or window"
                self.report(Rule.NO_DUPLICATE, request.gateway_index, description)

    def check_target(self, gateway_index: int, endpoint_index: int, notified_us: int | None) -> None:
        """Check an attempt against rule 3.

        Args:
            gateway_index: The gateway that sends it.
            endpoint_index: The endpoint that receives it.
            notified_us: When the gateway was notified that the endpoint drains or is gone, or None.
        """
        if notified_us is not None and self._clock.now_us > notified_us + self._drain_grace_us:
            late_s = (self._clock.now_us - notified_us) / 1e6
            description = f"endpoint {endpoint_index} was used {late_s:.3f} s after the notice of its stop"
            self.report(Rule.DRAINING_ENDPOINT, gateway_index, description)

    def check_answer(self, request: GatewayRequest, refused: bool) -> None:
        """Check a final answer that the gateway gives itself."""
        if request.answered:
            self.report(Rule.ONE_ANSWER, request.gateway_index, f"{request.id} was answered twice")
        terms = request.request_class
        deduplicated = terms.effect is Effect.IDEMPOTENCY_KEY and terms.scope is DeduplicationScope.ALL
        repeatable = deduplicated or terms.effect is Effect.IDEMPOTENT
        never_ran = all(attempt.outcome in NEVER_EXECUTED for attempt in request.attempts)
        if refused and not request.finished and not repeatable and not never_ran:
            description = f"{request.id} may have run and was rejected"
            self.report(Rule.NO_DUPLICATE, request.gateway_index, description)
        request.answered = True

    def report_overdue(self, request: GatewayRequest) -> None:
        """Record that a request had no final answer at its deadline."""
        description = f"{request.id} had no final answer at its deadline"
        self.report(Rule.ONE_ANSWER, request.gateway_index, description)

    def check_crash(self, endpoint_index: int, notified_share: float, gateway_index: int) -> None:
        """Check the crash of an endpoint during slow start against rule 4.

        Args:
            endpoint_index: The endpoint.
            notified_share: Share of its work that came from gateways notified of its start.
            gateway_index: The gateway that sent most of that work.
        """
        if notified_share > MIN_NOTIFIED_SHARE:
            description = (
                f"endpoint {endpoint_index} crashed during slow start; "
                f"{notified_share:.2f} of its work came from gateways notified of its start"
            )
            self.report(Rule.SLOW_START_OVERLOAD, gateway_index, description)
