"""Recording of outcomes, and detection of outlier endpoints.

An endpoint's failures count against it only as far as their share exceeds that of the whole fleet, and only
if they are not limited to the requests of one class or tenant.
"""

from __future__ import annotations

from load_balancer.decisions.circuit_breaker import (
    ALL_REQUESTS,
    HALF_OPEN_TRIALS,
    MINIMUM_OUTCOMES,
    RING_SIZE,
    BreakerRegistry,
    BreakerState,
    CircuitBreaker,
    split_breaker_key,
)
from load_balancer.decisions.concurrency_limit import ConcurrencyLimit
from load_balancer.decisions.demand import Demand
from load_balancer.decisions.endpoint_state import Attempt, EndpointState, breakers_for
from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.decisions.latency import SLOW_LATENCY_FACTOR
from load_balancer.decisions.rate_limited_log import RateLimitedLog
from load_balancer.decisions.request import Request
from load_balancer.decisions.weight_controller import next_weight


def is_class_or_tenant_specific(recent_outcomes: list[tuple[int, bool]], key: int) -> bool:
    """Return whether only requests of one class, or only those of one tenant, fail at an endpoint.

    Without this distinction, a limit on one tenant would eject the endpoint and lower its weight for all
    other tenants.

    Args:
        recent_outcomes: `EndpointBreakers.recent_outcomes` of the endpoint.
        key: The breaker key of the request that failed.
    """
    for is_same in (_is_same_class, _is_same_tenant):
        own_failures = other_successes = 0
        for other_key, failed in recent_outcomes:
            if is_same(other_key, key):
                own_failures += failed
            elif failed:
                break  # Requests of other classes or tenants fail too.
            else:
                other_successes += 1
        else:
            if own_failures >= HALF_OPEN_TRIALS and other_successes >= MINIMUM_OUTCOMES:
                return True
    return False


def _is_same_class(key: int, other_key: int) -> bool:
    return split_breaker_key(key)[0] == split_breaker_key(other_key)[0]


def _is_same_tenant(key: int, other_key: int) -> bool:
    return split_breaker_key(key)[1] == split_breaker_key(other_key)[1]


class OutcomeRecorder:
    """Records outcomes in the breakers, the weights, the latency estimates and the concurrency limit."""

    __slots__ = ("_demand", "_limit", "_log", "_registry")

    def __init__(
        self, registry: BreakerRegistry, limit: ConcurrencyLimit, demand: Demand, log: RateLimitedLog
    ) -> None:
        self._registry = registry
        self._limit = limit
        self._demand = demand
        self._log = log

    def record(self, request: Request, attempt: Attempt, event: AttemptEnded, now_us: int) -> None:
        """Record the outcome of an attempt."""
        endpoint = attempt.endpoint
        outcome = event.outcome
        slow_us = SLOW_LATENCY_FACTOR * request.expected_us
        # A time-out after less than the latency of a slow answer says nothing about the endpoint.
        short_timeout = outcome is Outcome.TIMEOUT and event.latency_us < slow_us
        cancelled = outcome is Outcome.CANCELLED and not attempt.overdue
        if short_timeout or outcome is Outcome.NOT_SENT or cancelled:
            for breaker, trial_period in zip(
                breakers_for(endpoint, request.breaker_key), attempt.trial_periods, strict=True
            ):
                if breaker is not None:
                    breaker.release_trial(trial_period)
            if short_timeout:
                self._limit.adjust(request, event)  # It may be a sign that all endpoints are overloaded.
            return
        failed = outcome is not Outcome.OK
        slow = not failed and event.latency_us / max(1.0, request.expected_us) > SLOW_LATENCY_FACTOR
        if not failed:
            request.request_class.add_latency_sample(event.latency_us / request.relative_latency)
            self._demand.note_latency_change()
        recent_outcomes = endpoint.breakers.recent_outcomes
        recent_outcomes.append((request.breaker_key, failed))
        del recent_outcomes[: -2 * RING_SIZE]
        specific = failed and is_class_or_tenant_specific(recent_outcomes, request.breaker_key)
        if endpoint.is_breaker_closed and not specific:  # Otherwise the weight is unchanged.
            endpoint.weight = next_weight(endpoint.weight, failed or slow)
        self._limit.adjust(request, event)
        self._record_in_breakers(request, attempt, failed, specific, now_us)

    def _record_in_breakers(
        self, request: Request, attempt: Attempt, failed: bool, specific: bool, now_us: int
    ) -> None:
        endpoint = attempt.endpoint
        for key, trial_period in zip((ALL_REQUESTS, request.breaker_key), attempt.trial_periods, strict=True):
            breaker = endpoint.breakers[key]
            share = self._registry.failure_share(key, breaker) if failed else 0.0
            if specific and key == ALL_REQUESTS:
                share = 1.0  # Only a window that contains nothing but failures opens it.
            new_state = breaker.record(now_us, failed, trial_period, share)
            if new_state is not None:
                self._log_change(breaker, endpoint, request, new_state, now_us)

    def _log_change(
        self,
        breaker: CircuitBreaker,
        endpoint: EndpointState,
        request: Request,
        new_state: BreakerState,
        now_us: int,
    ) -> None:
        fields: dict[str, object] = {"endpoint_id": endpoint.endpoint.id, "request_id": request.id}
        if breaker.key != ALL_REQUESTS:
            class_id, tenant_id = split_breaker_key(breaker.key)
            fields |= {"request_class": class_id, "tenant": tenant_id}
        if new_state is BreakerState.OPEN:
            fields["cooldown_s"] = breaker.cooldown_us / 1e6
        self._log.write(now_us, "circuit_breaker.changed", state=new_state.value, **fields)
