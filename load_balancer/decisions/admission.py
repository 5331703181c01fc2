"""Admission control: decides which requests are rejected on arrival, before any endpoint works on them.

Under overload, queues would grow until no answer met its latency objective. Instead a share of the work is
shed, the lowest priority first.
"""

from __future__ import annotations

from random import Random

from load_balancer.decisions.concurrency_limit import ConcurrencyLimit
from load_balancer.decisions.context import Context
from load_balancer.decisions.demand import Demand
from load_balancer.decisions.latency import MIN_ANSWERS, ClassState
from load_balancer.decisions.priority_order import PriorityOrder
from load_balancer.decisions.request import Request

# Largest share of the demand that is shed; the outcomes of the rest show when less may be shed.
MAX_SHED_SHARE = 0.95
# Change of the shed share at each endpoint list, for each request in flight per core beyond the limit below.
SHED_SHARE_STEP = 0.1
# Requests in flight per core, as estimated from load-dependent weights, beyond which more is shed.
HELD_REQUESTS_PER_CORE = 1.0
# Share of the requests with too short a timeout that are admitted as trials.
SHORT_TIMEOUT_TRIAL_SHARE = 0.02


class AdmissionControl:
    """Decides which requests are shed.

    Attributes:
        load_shed_share: Share of the work to shed because of load-dependent weights, from 0 to
            `MAX_SHED_SHARE`.
        priority_order: The demand by priority, as last sorted.
        mean_priority_weight: Mean priority weight of the demand when it was last sorted.
        worst_served_share: Share of requests served in time, of the class where it was smallest when the
            demand was last sorted.
    """

    __slots__ = (
        "_context",
        "_demand",
        "_limit",
        "_random",
        "load_shed_share",
        "mean_priority_weight",
        "priority_order",
        "worst_served_share",
    )

    def __init__(self, random: Random, context: Context, demand: Demand, limit: ConcurrencyLimit) -> None:
        self._random = random
        self._context = context
        self._demand = demand
        self._limit = limit
        self.load_shed_share = 0.0
        self.priority_order = PriorityOrder(-1, [])
        self.mean_priority_weight = 1.0
        self.worst_served_share = 1.0

    @property
    def shed_share(self) -> float:
        """Share of the demand to shed, which rises with the attempts in flight beyond the limit.

        It depends on the current number in flight, so shedding ends as soon as the endpoints have answered.
        """
        limit = self._limit
        return min(MAX_SHED_SHARE, max(0.0, self.load_shed_share, limit.in_flight / limit.limit - 1.0))

    def invalidate_order(self) -> None:
        """Discard the order by priority, so that it is sorted again before its next use."""
        self.priority_order = PriorityOrder(-1, [])

    def apply_load_dependent_weights(self, estimated_in_flight: float, endpoint_count: int) -> None:
        """Adjust the share to shed to the requests in flight at all endpoints.

        Their number is estimated from load-dependent weights. From its own answers alone, a gateway that
        receives few of them would notice an overload only seconds later.

        Args:
            estimated_in_flight: Requests in flight at all endpoints.
            endpoint_count: Number of endpoints, at least 1.
        """
        excess = estimated_in_flight / endpoint_count / HELD_REQUESTS_PER_CORE - 1.0
        share = self.load_shed_share + SHED_SHARE_STEP * min(2.0, excess)
        self.load_shed_share = min(MAX_SHED_SHARE, max(0.0, share))

    def should_shed(self, request: Request, any_breaker_closed: bool) -> bool:
        """Return whether to reject a request that has just arrived.

        Args:
            request: The request.
            any_breaker_closed: Whether the breaker of any endpoint is closed. While none is, only requests
                with too short a timeout are rejected: half-open breakers need trials, and without an answer
                to them no breaker would ever close.
        """
        if self._has_too_short_timeout(request):
            return True
        shed_share = self.shed_share
        if shed_share <= 0.0 or not any_breaker_closed:
            return False
        if self.priority_order.is_stale(self._demand.change_count):
            self.sort_demand()
        request_class = request.request_class
        counts = self._demand.over_quota if request.over_quota else self._demand.within_quota
        class_work = counts.get(request_class.class_id, 0.0) * request_class.unloaded_us
        lower_priority_share = self.priority_order.share_below(
            self.priority(request_class, request.over_quota)
        )
        return (
            lower_priority_share + class_work / self.priority_order.total_work * self._random.random()
            < shed_share
        )

    def sort_demand(self) -> None:
        """Sort the recent demand by priority."""
        demand = self._demand
        by_id = self._context.classes.by_id
        demand_by_class = demand.within_quota
        total = sum(demand_by_class.values()) or 1.0
        weight_sum = sum(
            by_id[class_id].definition.priority_weight * count
            for class_id, count in sorted(demand_by_class.items())
        )
        self.mean_priority_weight = weight_sum / total or 1.0
        served = [demand.served.get(class_id, 0.0) / count for class_id, count in demand_by_class.items()]
        if len(served) < len(by_id):
            served.append(1.0)  # A class without demand counts as fully served.
        self.worst_served_share = min(served)
        parts = [
            (self.priority(by_id[class_id], over_quota), count * by_id[class_id].unloaded_us)
            for over_quota, counts in ((False, demand_by_class), (True, demand.over_quota))
            for class_id, count in counts.items()
        ]
        self.priority_order = PriorityOrder(demand.change_count, parts)

    def priority(self, request_class: ClassState, over_quota: bool) -> float:
        """Return by how much a unit of endpoint time spent on a class improves the service objective.

        Requests over quota have a lower priority. The class with the smallest share of requests served in
        time has a higher one, if the objective weighs the worst class.
        """
        settings = self._context.settings
        demand = self._demand
        objective = settings.objective
        unit_us = 1.0 if settings.weight_by_work else request_class.unloaded_us
        weight = objective.overall + objective.worst_window
        gain = weight * request_class.definition.priority_weight / self.mean_priority_weight / unit_us
        if over_quota:
            return gain * settings.over_quota_weight_share
        class_id = request_class.class_id
        class_demand = demand.within_quota.get(class_id, 0.0)
        if class_demand and demand.served.get(class_id, 0.0) / class_demand <= self.worst_served_share:
            gain += objective.worst_class * (demand.total_within_quota or 1.0) / class_demand / unit_us
        return gain

    def remaining_shedding_us(self) -> int:
        """Return the estimated time until shedding ends, when the excess in flight has been answered."""
        limit = self._limit
        excess_answers = max(limit.in_flight - limit.limit, self.load_shed_share / SHED_SHARE_STEP)
        return int(excess_answers * self._context.classes.slowest.smoothed_us / max(1, limit.in_flight))

    def _has_too_short_timeout(self, request: Request) -> bool:
        """Return whether the time in which an answer is of use is over or shorter than the unloaded latency.

        Retries with short remaining timeouts would keep the endpoints busy with work for clients that have
        disconnected. A few such requests are admitted as trials, as the latency may have fallen.
        """
        now_us = self._context.now_us
        remaining_us = request.wait_until_us(now_us) - now_us
        if remaining_us <= 0:
            return True
        latency_is_known = request.request_class.answer_count >= MIN_ANSWERS
        too_short = latency_is_known and remaining_us < request.unloaded_us
        return too_short and self._random.random() >= SHORT_TIMEOUT_TRIAL_SHARE
