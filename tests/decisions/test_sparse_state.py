"""BreakerState kept only for what is met decides like state kept for everything: both play equal events."""

from __future__ import annotations

import random
import sys
from dataclasses import replace
from types import FrameType

import pytest

from load_balancer.decisions import balancer as balancer_module
from load_balancer.decisions.actions import Action, Cancel, Send, SetTimer
from load_balancer.decisions.admission import MAX_SHED_SHARE, AdmissionControl
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.circuit_breaker import (
    BREAKER_EXPIRY_US,
    RING_SIZE,
    BreakerRegistry,
    BreakerState,
    CircuitBreaker,
    breaker_key,
)
from load_balancer.decisions.demand import DEMAND_MEMORY_REQUESTS, FORGOTTEN_REQUESTS, Demand
from load_balancer.decisions.dispatcher import Dispatcher
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.endpoint_list import EndpointList
from load_balancer.decisions.endpoint_state import EndpointState, breakers_for
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.decisions.priority_order import MAX_EXACT_PARTS, PriorityOrder
from load_balancer.decisions.quotas import QUOTA_BURST_S, Quotas
from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import (
    DeduplicationScope,
    Idempotency,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)
from load_balancer.decisions.settings_version import SettingsVersion
from load_balancer.decisions.weight_controller import MIN_WEIGHT
from tests.decisions.driver import SETTINGS, START_US, Driver, sends, trip


class DenseRegistry(BreakerRegistry):
    """Walks all endpoints for the failure share of a key."""

    endpoints: EndpointList

    def failure_share(self, key: int, excluded: CircuitBreaker | None) -> float:
        others = [s.breakers[key] for s in self.endpoints.by_id.values() if s.breakers[key] is not excluded]
        closed = [b for b in others if b.state is BreakerState.CLOSED]
        entries = sum(len(b.ring) for b in closed)
        return sum(b.failures for b in closed) / entries if entries else 0.0


class DenseEndpointList(EndpointList):
    """Walks all endpoints for what the sparse one keeps in totals, and sorts them after each list."""

    @property
    def any_closed(self) -> bool:
        return any(s.breakers[0].state is BreakerState.CLOSED for s in self.by_id.values())

    def cooldown_left_us(self, key: int, now_us: int) -> int:
        cooldowns = []
        for endpoint in self.by_id.values():
            opened = [
                b.open_until_us for b in breakers_for(endpoint, key) if b and b.state is BreakerState.OPEN
            ]
            cooldowns.append(max(opened, default=now_us) - now_us)
        return min(cooldowns, default=0)

    def add(
        self, endpoint: Endpoint, now_us: int, max_initial_work_us: float, settings: Settings
    ) -> EndpointState:
        others = [s.weight for s in self.by_id.values() if s.endpoint.id != endpoint.id]
        state = super().add(endpoint, now_us, max_initial_work_us, settings)
        if others:
            assert state.weight == pytest.approx(sum(others) / len(others), rel=1e-12)
        return state

    def update_ranks(self, removed: list[EndpointState], added: list[EndpointState]) -> None:
        del removed, added
        self.by_rank = sorted(self.by_id.values(), key=lambda endpoint: endpoint.rank)


class DenseDispatcher(Dispatcher):
    """Walks all classes for the slowest."""

    def pick(self, request: Request) -> EndpointState | None:
        classes = self._context.classes
        classes.slowest = max(classes, key=lambda request_class: request_class.smoothed_us)
        return super().pick(request)


class DenseQuotas(Quotas):
    """A bucket for every tenant."""

    def __init__(self) -> None:
        super().__init__()
        self.buckets: dict[int, tuple[float, int]] = {}

    def is_over(self, tenant_index: int, first_try: bool, now_us: int, version: SettingsVersion) -> bool:
        settings = version.settings
        if not settings.tenants:
            return False
        quota = settings.tenants[tenant_index].quota_per_s / settings.gateways
        left, at_us = self.buckets.get(tenant_index, (quota * QUOTA_BURST_S, 0))
        left = min(quota * QUOTA_BURST_S, left + quota * (now_us - at_us) / 1e6)
        over = quota > 0.0 and left < 1.0
        self.buckets[tenant_index] = (left - (first_try and not over), now_us)
        return over


class DenseDemand(Demand):
    """Counts for every class besides the sparse ones, which must be equal."""

    def __init__(self) -> None:
        super().__init__()
        self.asked, self.beyond = list[float](), list[float]()

    def note_first_try(self, class_id: int, over_quota: bool) -> None:
        (self.beyond if over_quota else self.asked)[class_id] += 1
        if sum(self.asked) + sum(self.beyond) > DEMAND_MEMORY_REQUESTS:
            self.asked = [n / 2 for n in self.asked]
            self.beyond = [n / 2 for n in self.beyond]
            for index in range(len(self.asked)):
                if self.asked[index] + self.beyond[index] < FORGOTTEN_REQUESTS:
                    self.asked[index] = self.beyond[index] = 0.0
        super().note_first_try(class_id, over_quota)


class DenseAdmission(AdmissionControl):
    """Puts the work of every class in order, asked for or not."""

    def sort_demand(self) -> None:
        demand, settings, classes = self._demand, self._context.settings, self._context.classes
        assert isinstance(demand, DenseDemand)
        served = [demand.served.get(i, 0.0) for i in range(len(demand.asked))]
        for counts, dense in ((demand.within_quota, demand.asked), (demand.over_quota, demand.beyond)):
            assert [counts.get(i, 0.0) for i in range(len(dense))] == dense
        total = sum(demand.asked) or 1.0
        weighted = (c.priority_weight * a for c, a in zip(settings.classes, demand.asked, strict=True))
        self.mean_priority_weight = sum(weighted) / total or 1.0
        shares = (s / a if a else 1.0 for s, a in zip(served, demand.asked, strict=True))
        self.worst_served_share = min(shares)
        graded = [
            (self.priority(classes[index], over), counts[index] * classes[index].unloaded_us)
            for over, counts in ((False, demand.asked), (True, demand.beyond))
            for index in range(len(classes))
        ]
        self.order = PriorityOrder(demand.changes, graded)
        self.order.parts = len(demand.within_quota) + len(demand.over_quota)


DENSE_PARTS = {
    "BreakerRegistry": DenseRegistry,
    "EndpointList": DenseEndpointList,
    "Dispatcher": DenseDispatcher,
    "Quotas": DenseQuotas,
    "Demand": DenseDemand,
    "AdmissionControl": DenseAdmission,
}


class DenseBalancer(Balancer):
    """The same decisions over state for every endpoint, class and tenant, walked whole at each of them."""

    def __init__(self, settings: Settings, seed: int) -> None:
        with pytest.MonkeyPatch.context() as patch:
            for name, part in DENSE_PARTS.items():
                patch.setattr(balancer_module, name, part)
            super().__init__(settings, seed)
        assert isinstance(self.breakers, DenseRegistry)
        assert isinstance(self.demand, DenseDemand)
        self.breakers.endpoints = self.endpoints
        count = len(settings.classes)
        self.demand.asked, self.demand.beyond = [0.0] * count, [0.0] * count
        tenants = range(max(1, len(settings.tenants)))
        self.keys = (
            0,
            *(breaker_key(request_class, tenant) for request_class in range(count) for tenant in tenants),
        )

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.breakers.closed.clear()  # nothing is dropped: what has lapsed is emptied where it stands
        now_us = max(now_us, self.context.now_us)
        for endpoint in self.endpoints.by_id.values():
            for key in self.keys:
                breaker = endpoint.breakers[key]
                lapsed = now_us - breaker.last_outcome_us > BREAKER_EXPIRY_US
                if breaker.state is BreakerState.CLOSED and lapsed:
                    self.breakers.remove(breaker)
                    breaker.ring, breaker.failures = b"", 0
                    if key == 0:
                        endpoint.breakers.recent.clear()
        if self.admission.order.parts <= MAX_EXACT_PARTS:
            self.admission.invalidate_order()
        return super().handle(now_us, event)


class Play:
    """Random events to both, and what comes of their actions; every action of the one must be the other's."""

    def __init__(self, seed: int, classes: int = 3, tenants: int = 3) -> None:
        self.random = random.Random(seed)
        self.settings = self.draw_settings(classes, tenants)
        self.sparse, self.dense = Balancer(self.settings, seed), DenseBalancer(self.settings, seed)
        self.now_us, self.count = START_US, 0
        self.sent: dict[str, int] = {}  # attempts by request
        self.out: dict[tuple[str, int], tuple[int, int]] = {}
        self.timers: list[tuple[int, int]] = []
        self.actions: list[object] = []
        self.endpoints, self.tenants = self.random.choice((2, 6, 12)), max(1, tenants)
        self.give(EndpointListReceived(ListKind.CACHED, tuple(self.entry(n) for n in range(self.endpoints))))

    def draw_settings(self, classes: int, tenants: int) -> Settings:
        draw = self.random
        return Settings(
            tuple(
                RequestClass(
                    latency_objective_us=draw.choice((100_000, 300_000)),
                    client_timeout_us=400_000,
                    priority_weight=draw.choice((1.0, 3.0, 8.0)),
                    late_weight_share=draw.choice((0.0, 0.2)),
                    idempotency=draw.choice(list(Idempotency)),
                    deduplication_scope=draw.choice(list(DeduplicationScope)),
                    deduplication_window_us=150_000,
                )
                for _ in range(classes)
            ),
            objective=ObjectiveWeights(0.7, 0.1, 0.1, 0.1),
            prices=Prices(cross_zone=0.01),
            zones=2,
            clients_mark_retries=draw.random() < 0.5,
            may_hedge=draw.random() < 0.3,
            weight_by_work=draw.random() < 0.5,
            slow_start_capacity=0.2,
            slow_start_us=10_000_000,
            overload_multiple=2.5,
            overload_window_us=3_000_000,
            tenants=tuple(Tenant(draw.choice((0.0, 5.0, 50.0))) for _ in range(tenants)),
            over_quota_weight_share=0.1,
        )

    def entry(self, number: int, status: EndpointStatus = EndpointStatus.READY) -> Endpoint:
        started_us = self.random.choice((0, 0, self.now_us - 1_000_000, self.now_us))
        return Endpoint(number, status, zone=number % 2, group=number % 3, started_us=started_us)

    def give(self, event: Event) -> None:
        actions = self.sparse.handle(self.now_us, event)
        assert actions == self.dense.handle(self.now_us, event), f"they part at {event}"
        for action in actions:
            self.actions.append(action)
            if isinstance(action, Send):
                number = self.sent.get(action.request_id, 0)
                self.sent[action.request_id] = number + 1
                self.out[action.request_id, number] = (action.endpoint_id, self.now_us)
            elif isinstance(action, SetTimer):
                self.timers.append((action.due_us, action.token))

    def end(self, key: tuple[str, int], outcome: Outcome) -> None:
        endpoint, sent_us = self.out.pop(key)
        load = self.random.choice(((), (("queue", 2.0), ("eps", 0.1), ("latency_ms", 8.0))))
        finished = outcome is Outcome.OK
        self.give(AttemptEnded(*key, endpoint, outcome, self.now_us - sent_us, finished, load))

    def step(self, gap_us: float) -> None:
        draw = self.random
        self.now_us += int(draw.expovariate(1 / gap_us))
        if draw.random() < 0.002:
            self.now_us += BREAKER_EXPIRY_US * 2 // 3  # some rings lapse, others do not
        for due in sorted(self.timers):
            if due[0] <= self.now_us:
                self.timers.remove(due)
                self.give(TimerFired(due[1]))
        what = draw.random()
        if what < 0.5:
            self.count += 1
            request_class, tenant = (
                draw.randrange(len(self.settings.classes)),
                draw.randrange(max(1, len(self.settings.tenants))),
            )
            timeout_us, about = draw.choice((50_000, 400_000)), draw.choice((None, 1, 2))
            name, again = f"r{self.count}", draw.random() < 0.1
            self.give(RequestArrived(name, request_class, timeout_us, about, 9_000, again, tenant))
        elif what < 0.96 and self.out:
            key = draw.choice(list(self.out))
            bad = draw.random() < (0.8 if self.out[key][0] % 3 == 0 else 0.05)
            self.end(key, draw.choice(list(Outcome)) if bad else Outcome.OK)
        elif what < 0.98:
            self.give(ClientDisconnected(f"r{draw.randrange(self.count + 1)}"))
        elif what < 0.995:
            statuses = [EndpointStatus.READY] * 3 + list(EndpointStatus)
            names = [draw.randrange(self.endpoints + 2) for _ in range(draw.choice((1, 2, 5)))]
            self.give(
                EndpointListReceived(
                    ListKind.DELTA, tuple(self.entry(n, draw.choice(statuses)) for n in names)
                )
            )
        else:
            left = [n for n in range(self.endpoints) if draw.random() < 0.9]
            self.give(EndpointListReceived(ListKind.COMPLETE, tuple(map(self.entry, left))))


@pytest.mark.parametrize("seed", range(16))
def test_sparse_state_decides_like_dense_state(seed: int) -> None:
    play = Play(seed, classes=(1, 3, 8)[seed % 3], tenants=(0, 1, 4)[seed % 3])
    for _ in range(1_000):
        play.step(gap_us=3_000 if seed % 2 else 20_000)
    kinds = {type(action) for action in play.actions}
    assert Send in kinds
    assert SetTimer in kinds
    assert Cancel in kinds or len(kinds) > 3


def test_a_list_brings_no_state_for_what_is_not_met() -> None:
    """Every endpoint once held a breaker for each pair of class and tenant."""
    driver = Driver(replace(SETTINGS, tenants=(Tenant(quota_per_s=9.0),) * 50), endpoints=40)
    assert sum(len(s.breakers) for s in driver.endpoints.values()) == 0
    for tenant in (3, 7):
        name, actions = driver.arrive(tenant=tenant)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert sum(len(s.breakers) for s in driver.endpoints.values()) <= 4
    assert list(driver.balancer.quotas.left_by_tenant) == [3, 7]
    assert len(driver.balancer.demand.within_quota) == 1


def test_what_is_met_is_dropped_once_it_reads_as_new() -> None:
    driver = Driver(replace(SETTINGS, tenants=(Tenant(quota_per_s=9.0),) * 50), endpoints=4)
    for n in range(400):
        name, actions = driver.arrive(tenant=n % 50, request_class=n % 3)
        driver.end(name, sends(actions)[0].endpoint_id, Outcome.OK)
    trip(driver.endpoints[2].breakers[5], driver.now_us)
    assert len(driver.balancer.breakers.closed) > 100
    driver.now_us += BREAKER_EXPIRY_US + 1
    driver.arrive()
    assert not driver.balancer.breakers.closed
    assert not driver.balancer.breakers.totals
    assert [len(s.breakers) for s in driver.endpoints.values()] == [0, 0, 1, 0]
    assert driver.endpoints[2].breakers[5].state is BreakerState.OPEN  # an open one never is
    assert list(driver.balancer.quotas.left_by_tenant) == [0]


def test_a_ring_counts_until_it_lapses() -> None:
    for later_us, state in (
        (BREAKER_EXPIRY_US, BreakerState.OPEN),
        (BREAKER_EXPIRY_US + 1, BreakerState.CLOSED),
    ):
        driver = Driver(endpoints=1)
        for n in range(5):
            name, _ = driver.arrive(request_class=2)
            if n == 4:
                driver.now_us += later_us
            driver.end(name, 0, Outcome.ERROR)
        assert driver.endpoints[0].breakers[0].state is state


@pytest.mark.parametrize(("later_us", "own"), [(BREAKER_EXPIRY_US, True), (BREAKER_EXPIRY_US + 1, False)])
def test_an_endpoint_s_last_outcomes_lapse_with_its_ring(later_us: int, own: bool) -> None:
    """What tells a failure of one tenant alone from one of all must be of late too."""
    driver = Driver(replace(SETTINGS, tenants=(Tenant(), Tenant())), endpoints=1)
    for _ in range(RING_SIZE):
        name, _ = driver.arrive(tenant=1)
        driver.end(name, 0)
    driver.now_us += later_us
    weights = []
    for _ in range(4):
        name, _ = driver.arrive(request_class=2, tenant=0)
        driver.end(name, 0, Outcome.ERROR)
        weights.append(driver.endpoints[0].weight)
    assert (weights[3] == weights[1]) is own


def test_demand_of_a_class_that_is_asked_no_more_is_forgotten() -> None:
    driver = Driver(endpoints=2)
    driver.arrive(request_class=1)
    for n in range(8 * DEMAND_MEMORY_REQUESTS):
        assert driver.balancer.demand.total <= DEMAND_MEMORY_REQUESTS
        driver.arrive(request_class=0)
        driver.handle(ClientDisconnected(f"r{n + 1}"))
    assert list(driver.balancer.demand.within_quota) == [0]


def calls(balancer: Balancer, now_us: int, *events: Event) -> int:
    """How many Python functions and generators run while events are handled: work without a clock."""
    count = 0

    def seen(_frame: FrameType, what: str, _arg: object) -> None:
        nonlocal count
        count += what in ("call", "c_call")

    sys.setprofile(seen)
    try:
        for event in events:
            balancer.handle(now_us, event)
    finally:
        sys.setprofile(None)
    return count


def work(endpoints: int, classes: int, tenants: int, shed: bool) -> tuple[float, float]:
    """Calls a request with its outcome, and a restart told, at a size."""
    sizes = Settings((replace(SETTINGS.classes[0]),) * classes, tenants=(Tenant(99.0),) * tenants)
    balancer = Balancer(sizes, 1)
    listed = tuple(Endpoint(n) for n in range(endpoints))
    balancer.handle(START_US, EndpointListReceived(ListKind.COMPLETE, listed))
    total = 0
    for n in range(300):
        if shed:
            balancer.admission.load_shed_share = MAX_SHED_SHARE if n % 2 else MIN_WEIGHT
        now_us, name = START_US + n * 5_000, f"r{n}"
        request_class, tenant = n * 7 % classes, n * 5 % tenants
        total += calls(balancer, now_us, RequestArrived(name, request_class, 400_000, tenant=tenant))
        if name in balancer.lifecycle.requests:
            outcome = Outcome.OK if n % 9 else Outcome.ERROR
            endpoint = next(iter(balancer.lifecycle.requests[name].attempts)).endpoint.endpoint.id
            total += calls(balancer, now_us, AttemptEnded(name, 0, endpoint, outcome, 9_000, True))
    restart = EndpointListReceived(ListKind.DELTA, (Endpoint(0, started_us=START_US),))
    return total / 300, float(calls(balancer, START_US + 2_000_000, restart))


@pytest.mark.parametrize("shed", [False, True])
def test_a_request_costs_the_same_at_any_size(shed: bool) -> None:
    small, large = work(10, 3, 2, shed), work(600, 400, 500, shed)
    assert large[0] <= 1.5 * small[0]
    assert large[1] <= 1.5 * small[1]
    assert small[0] > RING_SIZE
