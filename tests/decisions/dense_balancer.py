"""A reference balancer with state for every endpoint, class and tenant, which it scans at each decision."""

from __future__ import annotations

import pytest

from load_balancer.decisions import balancer as balancer_module
from load_balancer.decisions.actions import Action
from load_balancer.decisions.admission import AdmissionControl
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.circuit_breaker import (
    BREAKER_EXPIRY_US,
    BreakerRegistry,
    BreakerState,
    CircuitBreaker,
    breaker_key,
)
from load_balancer.decisions.demand import DEMAND_MEMORY_REQUESTS, FORGOTTEN_REQUESTS, Demand
from load_balancer.decisions.dispatcher import Dispatcher
from load_balancer.decisions.endpoint import Endpoint
from load_balancer.decisions.endpoint_list import EndpointList
from load_balancer.decisions.endpoint_state import EndpointState, breakers_for
from load_balancer.decisions.events import (
    Event,
)
from load_balancer.decisions.priority_order import MAX_EXACT_PARTS, PriorityOrder
from load_balancer.decisions.quotas import QUOTA_BURST_S, Quotas
from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import (
    Settings,
)
from load_balancer.decisions.settings_version import SettingsVersion


class DenseRegistry(BreakerRegistry):
    """A breaker registry that scans all endpoints for the failure share of a key."""

    endpoints: EndpointList

    def failure_share(self, key: int, excluded: CircuitBreaker | None) -> float:
        others = [s.breakers[key] for s in self.endpoints.by_id.values() if s.breakers[key] is not excluded]
        closed = [b for b in others if b.state is BreakerState.CLOSED]
        outcome_count = sum(len(b.window) for b in closed)
        return sum(b.failures for b in closed) / outcome_count if outcome_count else 0.0


class DenseEndpointList(EndpointList):
    """An endpoint list that scans all endpoints instead of keeping totals, and sorts them after each list."""

    @property
    def any_breaker_closed(self) -> bool:
        return any(s.breakers[0].state is BreakerState.CLOSED for s in self.by_id.values())

    def remaining_cooldown_us(self, key: int, now_us: int) -> int:
        cooldowns = []
        for endpoint in self.by_id.values():
            ends_us = [
                b.open_until_us for b in breakers_for(endpoint, key) if b and b.state is BreakerState.OPEN
            ]
            cooldowns.append(max(ends_us, default=now_us) - now_us)
        return min(cooldowns, default=0)

    def add(
        self, endpoint: Endpoint, now_us: int, max_initial_work_us: float, settings: Settings
    ) -> EndpointState:
        other_weights = [s.weight for s in self.by_id.values() if s.endpoint.id != endpoint.id]
        state = super().add(endpoint, now_us, max_initial_work_us, settings)
        if other_weights:
            assert state.weight == pytest.approx(sum(other_weights) / len(other_weights), rel=1e-12)
        return state

    def update_ranks(self, removed: list[EndpointState], added: list[EndpointState]) -> None:
        del removed, added
        self.by_rank = sorted(self.by_id.values(), key=lambda endpoint: endpoint.rank)


class DenseDispatcher(Dispatcher):
    """A dispatcher that scans all classes for the slowest."""

    def pick(self, request: Request) -> EndpointState | None:
        classes = self._context.classes
        classes.slowest = max(classes, key=lambda request_class: request_class.smoothed_us)
        return super().pick(request)


class DenseQuotas(Quotas):
    """Quotas with a token bucket for every tenant."""

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[int, tuple[float, int]] = {}

    def is_over_quota(
        self, tenant_index: int, is_first_try: bool, now_us: int, version: SettingsVersion
    ) -> bool:
        settings = version.settings
        if not settings.tenants:
            return False
        quota = settings.tenants[tenant_index].quota_per_s / settings.gateways
        tokens, updated_us = self.buckets.get(tenant_index, (quota * QUOTA_BURST_S, 0))
        tokens = min(quota * QUOTA_BURST_S, tokens + quota * (now_us - updated_us) / 1e6)
        is_over_quota = quota > 0.0 and tokens < 1.0
        self.buckets[tenant_index] = (tokens - (is_first_try and not is_over_quota), now_us)
        return is_over_quota


class DenseDemand(Demand):
    """Demand with dense counts for every class beside the sparse ones, which must be equal to them."""

    def __init__(self) -> None:
        super().__init__()
        self.dense_within_quota, self.dense_over_quota = list[float](), list[float]()

    def note_first_try(self, class_id: int, over_quota: bool) -> None:
        (self.dense_over_quota if over_quota else self.dense_within_quota)[class_id] += 1
        if sum(self.dense_within_quota) + sum(self.dense_over_quota) > DEMAND_MEMORY_REQUESTS:
            self.dense_within_quota = [n / 2 for n in self.dense_within_quota]
            self.dense_over_quota = [n / 2 for n in self.dense_over_quota]
            for index in range(len(self.dense_within_quota)):
                if self.dense_within_quota[index] + self.dense_over_quota[index] < FORGOTTEN_REQUESTS:
                    self.dense_within_quota[index] = self.dense_over_quota[index] = 0.0
        super().note_first_try(class_id, over_quota)


class DenseAdmission(AdmissionControl):
    """Admission control that sorts the work of every class, whether it has requests or not."""

    def sort_demand(self) -> None:
        demand, settings, classes = self._demand, self._context.settings, self._context.classes
        assert isinstance(demand, DenseDemand)
        served = [demand.served.get(i, 0.0) for i in range(len(demand.dense_within_quota))]
        for counts, dense_counts in (
            (demand.within_quota, demand.dense_within_quota),
            (demand.over_quota, demand.dense_over_quota),
        ):
            assert [counts.get(i, 0.0) for i in range(len(dense_counts))] == dense_counts
        total = sum(demand.dense_within_quota) or 1.0
        weighted = (
            c.priority_weight * a for c, a in zip(settings.classes, demand.dense_within_quota, strict=True)
        )
        self.mean_priority_weight = sum(weighted) / total or 1.0
        shares = (s / a if a else 1.0 for s, a in zip(served, demand.dense_within_quota, strict=True))
        self.worst_served_share = min(shares)
        work_by_priority = [
            (self.priority(classes[index], over), counts[index] * classes[index].unloaded_us)
            for over, counts in ((False, demand.dense_within_quota), (True, demand.dense_over_quota))
            for index in range(len(classes))
        ]
        self.priority_order = PriorityOrder(demand.change_count, work_by_priority)
        self.priority_order.part_count = len(demand.within_quota) + len(demand.over_quota)


DENSE_CLASSES = {
    "BreakerRegistry": DenseRegistry,
    "EndpointList": DenseEndpointList,
    "Dispatcher": DenseDispatcher,
    "Quotas": DenseQuotas,
    "Demand": DenseDemand,
    "AdmissionControl": DenseAdmission,
}


class DenseBalancer(Balancer):
    """A balancer that keeps state for every endpoint, class and tenant, and scans all of it at each event."""

    def __init__(self, settings: Settings, seed: int) -> None:
        with pytest.MonkeyPatch.context() as patch:
            for name, dense_class in DENSE_CLASSES.items():
                patch.setattr(balancer_module, name, dense_class)
            super().__init__(settings, seed)
        assert isinstance(self.breakers, DenseRegistry)
        assert isinstance(self.demand, DenseDemand)
        self.breakers.endpoints = self.endpoints
        count = len(settings.classes)
        self.demand.dense_within_quota, self.demand.dense_over_quota = [0.0] * count, [0.0] * count
        tenants = range(max(1, len(settings.tenants)))
        self.keys = (
            0,
            *(breaker_key(request_class, tenant) for request_class in range(count) for tenant in tenants),
        )

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.breakers.closed.clear()  # no breaker is removed: those that have expired are emptied in place
        now_us = max(now_us, self.context.now_us)
        for endpoint in self.endpoints.by_id.values():
            for key in self.keys:
                breaker = endpoint.breakers[key]
                has_expired = now_us - breaker.last_outcome_us > BREAKER_EXPIRY_US
                if breaker.state is BreakerState.CLOSED and has_expired:
                    self.breakers.remove(breaker)
                    breaker.window, breaker.failures = b"", 0
                    if key == 0:
                        endpoint.breakers.recent_outcomes.clear()
        if self.admission.priority_order.part_count <= MAX_EXACT_PARTS:
            self.admission.invalidate_order()
        return super().handle(now_us, event)
