"""This gateway's state for one endpoint, and its attempts in flight there."""

from __future__ import annotations

from dataclasses import dataclass

from load_balancer.decisions.circuit_breaker import (
    ALL_REQUESTS,
    BreakerRegistry,
    BreakerState,
    CircuitBreaker,
    EndpointBreakers,
)
from load_balancer.decisions.endpoint import Endpoint
from load_balancer.decisions.weight_controller import WeightTotal


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to have a request served by an endpoint.

    Attributes:
        endpoint: The endpoint that it was sent to.
        sent_us: When it was sent.
        trial_periods: For each of the breakers from `breakers_for`, the half-open period that the attempt is
            a trial of, or 0.
        ended: Whether its outcome is known.
        may_have_run: Whether the endpoint may have executed it.
        overdue: Whether it has been in flight much longer than expected.
    """

    endpoint: EndpointState
    sent_us: int
    trial_periods: tuple[int, int]
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False


class EndpointState:
    """This gateway's state for one endpoint since the endpoint's last start.

    Attributes:
        endpoint: The endpoint as last listed.
        rank: Rendezvous rank of the endpoint for this gateway; the lowest ranks are in the subset.
        breakers: Its circuit breakers by key.
        in_flight: The attempts in flight and when they were sent, the oldest first.
        last_answer_us: When it last answered.
        queue_length: Number of requests of all gateways in its queue, as last reported.
        errors_per_s: Errors per second for all gateways, as last reported.
        reported_us: When the queue length or the error rate was last reported.
        service_ms: Smoothed service time from its reports, in milliseconds; 0 if unknown.
        slow_start_work_us: Work sent to it in slow start that has not drained from its bucket yet.
        slow_start_updated_us: When `slow_start_work_us` was last updated.
    """

    __slots__ = (
        "_weight",
        "_weight_total",
        "breakers",
        "endpoint",
        "errors_per_s",
        "in_flight",
        "last_answer_us",
        "queue_length",
        "rank",
        "reported_us",
        "service_ms",
        "slow_start_updated_us",
        "slow_start_work_us",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        rank: float,
        weight: float,
        weight_total: WeightTotal,
        registry: BreakerRegistry,
        now_us: int,
    ) -> None:
        self.endpoint = endpoint
        self.rank = rank
        self.breakers = EndpointBreakers(registry)
        self._weight_total = weight_total
        self._weight = 0.0
        self.weight = weight
        self.in_flight: dict[Attempt, int] = {}
        self.last_answer_us = 0
        self.queue_length = 0.0
        self.errors_per_s = 0.0
        self.reported_us = 0
        self.service_ms = 0.0
        self.slow_start_work_us = 0.0
        self.slow_start_updated_us = now_us

    @property
    def weight(self) -> float:
        """The controller's weight, from `MIN_WEIGHT` to `MAX_WEIGHT`."""
        return self._weight

    @weight.setter
    def weight(self, weight: float) -> None:
        self._weight_total.replace(self._weight, weight)
        self._weight = weight

    @property
    def is_breaker_closed(self) -> bool:
        """Whether the breaker for all requests is closed."""
        breaker = self.breakers.get(ALL_REQUESTS)
        return breaker is None or breaker.state is BreakerState.CLOSED

    def detach(self) -> None:
        """Remove this endpoint from the totals over all endpoints, as it is no longer listed."""
        self._weight_total.replace(self._weight, 0.0)
        self._weight_total = WeightTotal()
        self.breakers.detach()


def breakers_for(endpoint: EndpointState, key: int) -> tuple[CircuitBreaker | None, CircuitBreaker | None]:
    """Return the two breakers that must allow a request; None stands for a closed one without outcomes.

    With a single breaker, an endpoint that fails the requests of just one class or tenant would either stay
    in use for them, as their failures are few among all outcomes, or be ejected for all requests.
    """
    breakers = endpoint.breakers
    return breakers.get(ALL_REQUESTS), breakers.get(key)
