"""The weighted random choice among the endpoints that are eligible for a request.

An endpoint's weight is the product of its listed weight, the weight controller's weight, and factors for its
speed, its zone, slow start, its load and its errors. The load factor is the inverse square of 1 plus this
gateway's attempts in flight there plus the reported queue length.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from load_balancer.decisions.context import Context
from load_balancer.decisions.demand import ArrivalInterval
from load_balancer.decisions.endpoint_state import EndpointState
from load_balancer.decisions.load_reports import LoadReports, report_age_factor
from load_balancer.decisions.locality import zone_factor
from load_balancer.decisions.rendezvous import rendezvous_rank
from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import Idempotency
from load_balancer.decisions.slow_start import capacity_share, fits_budget

# Share of failed requests at an endpoint that lowers its weight as much as one attempt in flight.
ERROR_SHARE_UNIT = 0.1
# Factor on the weight of a key's preferred endpoint, which receives most of the key's requests, not all.
KEY_AFFINITY_BOOST = 20.0

WeightedEndpoints = list[tuple[float, EndpointState]]


def boost_preferred_endpoint(key: int, weighted: WeightedEndpoints) -> float:
    """Raise the weight of the candidate with the lowest rendezvous rank for a key, and return by how much."""
    ranks = [rendezvous_rank(key, endpoint.endpoint.id, 1.0) for _, endpoint in weighted]
    preferred = ranks.index(min(ranks))
    weight, endpoint = weighted[preferred]
    increase = weight * (KEY_AFFINITY_BOOST - 1.0)
    weighted[preferred] = (weight + increase, endpoint)
    return increase


class Picker:
    """Chooses the endpoint for an attempt at random, by weight."""

    __slots__ = ("_arrivals", "_context", "_random", "_reports")

    def __init__(
        self, random: Random, context: Context, arrivals: ArrivalInterval, reports: LoadReports
    ) -> None:
        self._random = random
        self._context = context
        self._arrivals = arrivals
        self._reports = reports

    def pick(
        self,
        request: Request,
        candidates: Sequence[EndpointState],
        endpoint_count: int,
        overload_budget_us: float,
    ) -> EndpointState | None:
        """Return the endpoint for an attempt, or None if no candidate may be sent the request.

        Args:
            request: The request.
            candidates: The endpoints that are eligible for it.
            endpoint_count: Number of listed endpoints.
            overload_budget_us: This gateway's budget of work for an endpoint in slow start.
        """
        weighted = self._weigh(request, candidates, endpoint_count, overload_budget_us)
        if request.request_class.definition.idempotency is Idempotency.NON_IDEMPOTENT:
            # Prefer closed breakers: if a half-open breaker's trial fails, the request cannot be retried.
            weighted = [pair for pair in weighted if pair[1].is_breaker_closed] or weighted
        if not weighted:
            return None
        total = sum(weight for weight, _ in weighted)
        if request.settings_version.settings.key_affinity and request.key is not None:
            total += boost_preferred_endpoint(request.key, weighted)
        point = self._random.random() * total
        for weight, endpoint in weighted:
            point -= weight
            if point <= 0.0:
                return endpoint
        return weighted[-1][1]

    def _weigh(
        self,
        request: Request,
        candidates: Sequence[EndpointState],
        endpoint_count: int,
        overload_budget_us: float,
    ) -> WeightedEndpoints:
        """Return the candidates with a weight above 0 whose slow-start budget, if any, allows the request."""
        now_us = self._context.now_us
        settings = self._context.settings
        request_interval_s = self._arrivals.interval_per_endpoint_s(endpoint_count, settings.gateways)
        speed_factor = self._reports.speed_factor
        weighted: WeightedEndpoints = []
        for endpoint in candidates:
            share = capacity_share(endpoint, now_us, settings)
            if share < 1.0 and not fits_budget(
                endpoint, request, share, overload_budget_us, now_us, settings
            ):
                continue
            age_factor = report_age_factor(endpoint, now_us)
            load_factor = 1.0 / (1.0 + len(endpoint.in_flight) + endpoint.queue_length * age_factor) ** 2
            errors = endpoint.errors_per_s * age_factor * request_interval_s
            load_factor /= (1.0 + errors / ERROR_SHARE_UNIT) ** 2
            listed_endpoint = endpoint.endpoint
            base_weight = (
                listed_endpoint.weight
                * speed_factor(endpoint)
                * zone_factor(listed_endpoint.zone, settings)
                * share
            )
            weight = base_weight * endpoint.weight * load_factor
            if weight > 0.0:
                weighted.append((weight, endpoint))
        return weighted
