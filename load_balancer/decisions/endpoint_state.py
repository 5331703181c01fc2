"""The state that this gateway holds of one endpoint, and its attempts in flight there."""

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
    """One sending of a request to an endpoint.

    Attributes:
        endpoint: Where it was sent.
        sent_us: When it was sent.
        trial_periods: Half-open spells that it is a trial of, for each of the breakers from `breakers_for`.
        ended: Whether its outcome is known.
        may_have_run: Whether the endpoint may have executed it.
        overdue: Whether it should have been answered by now.
    """

    endpoint: EndpointState
    sent_us: int
    trial_periods: tuple[int, int]
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False


class EndpointState:
    """The state that this gateway holds of one endpoint since its last start.

    Attributes:
        endpoint: The endpoint as last listed.
        rank: Rendezvous hash of this gateway and the endpoint; the subset takes the lowest ranks first.
        breakers: Its circuit breakers by key.
        in_flight: Attempts and when they were sent, the oldest first.
        last_answer_us: When it last answered.
        queue_length: Requests of all gateways that wait there, as last reported.
        errors_per_s: Errors a second to all gateways, as last reported.
        reported_us: When these two were reported.
        service_ms: Smoothed service time by its reports; 0 where unknown.
        slow_start_work_us: Work sent there in slow start and not yet drained from its budget.
        slow_start_updated_us: When that was brought up to date.
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
        """Whether the breaker of all requests is closed."""
        breaker = self.breakers.get(ALL_REQUESTS)
        return breaker is None or breaker.state is BreakerState.CLOSED

    def detach(self) -> None:
        """Leave the totals over all endpoints, as this one is listed no more."""
        self._weight_total.replace(self._weight, 0.0)
        self._weight_total = WeightTotal()
        self.breakers.detach()


def breakers_for(endpoint: EndpointState, key: int) -> tuple[CircuitBreaker | None, CircuitBreaker | None]:
    """Return the breakers that must let a request through; None means a closed one without outcomes.

    An endpoint that fails one class or tenant only would, with a single breaker, be used for all requests
    or ejected for all, as its few failures are hidden among the answers to the others.
    """
    breakers = endpoint.breakers
    return breakers.get(ALL_REQUESTS), breakers.get(key)
