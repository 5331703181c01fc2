"""State kept only for what is met decides like state kept for everything: both play equal events."""

from __future__ import annotations

import random
import sys
from dataclasses import replace
from types import FrameType

import pytest

from load_balancer.decisions.actions import Cancel, Send, SetTimer
from load_balancer.decisions.balancer import FLOOR, SHED_MOST, Balancer, Server, judges
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.decisions.evidence import (
    EXACT,
    FORGOTTEN,
    KINDS,
    LAPSE_US,
    MEMORY,
    QUOTA_SPAN_S,
    RING,
    Ranking,
    State,
)
from load_balancer.decisions.settings import (
    DeduplicationScope,
    Idempotency,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)
from tests.helpers import SETTINGS, START_US, Driver, sends, trip


class DenseBalancer(Balancer):
    """The same decisions over state for every server, class and tenant, walked whole at each of them."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.buckets = [(t.quota_per_s / settings.gateways * QUOTA_SPAN_S, 0) for t in settings.tenants]
        count = len(settings.classes)
        kinds = [k * KINDS + t for k in range(count) for t in range(max(1, len(settings.tenants)))]
        self.places = (0, *(kind + 1 for kind in kinds))
        self.asked, self.beyond, self.served = [0.0] * count, [0.0] * count, [0.0] * count

    def handle(self, now_us: int, event: Event) -> list[object]:  # type: ignore[override]
        self.evidence.closed.clear()  # nothing is dropped: what has lapsed is emptied where it stands
        for server in self.servers.values():
            for place in self.places:
                breaker = server.breakers[place]
                if breaker.state is State.CLOSED and max(now_us, self.now_us) - breaker.heard_us > LAPSE_US:
                    self.evidence.remove(breaker)
                    breaker.ring, breaker.failures = b"", 0
                    if place == 0:
                        server.breakers.recent.clear()
        if self.ranking.parts <= EXACT:
            self.ranking = Ranking(-1, [])
        return list(super().handle(now_us, event))

    def any_closed(self) -> bool:
        return any(s.breakers[0].state is State.CLOSED for s in self.servers.values())

    def common_share(self, server: Server, place: int) -> float:
        others = [s.breakers[place] for s in self.servers.values() if s is not server]
        closed = [b for b in others if b.state is State.CLOSED]
        entries = sum(len(b.ring) for b in closed)
        return sum(b.failures for b in closed) / entries if entries else 0.0

    def cooldown_left_us(self, kind: int) -> int:
        cooldowns = []
        for server in self.servers.values():
            opened = [b.open_until_us for b in judges(server, kind) if b and b.state is State.OPEN]
            cooldowns.append(max(opened, default=self.now_us) - self.now_us)
        return min(cooldowns, default=0)

    def list_server(self, entry: Endpoint, gone: list[Server], new: list[Server]) -> None:
        others = [s.weight for s in self.servers.values() if s.entry.id != entry.id]
        super().list_server(entry, gone, new)
        if new and new[-1].entry is entry and others:
            assert new[-1].weight == pytest.approx(sum(others) / len(others), rel=1e-12)

    def rank_servers(self, gone: list[Server], new: list[Server]) -> None:
        self.ranked = sorted(self.servers.values(), key=lambda server: server.rank)

    def is_silent(self, server: Server) -> bool:
        self.classes.longest = max(self.classes, key=lambda klass: klass.smoothed)
        return super().is_silent(server)

    def is_over(self, event: RequestArrived, first_try: bool) -> bool:
        over = False
        if self.buckets:
            tenant = self.tenant(event)
            quota = self.settings.tenants[tenant].quota_per_s / self.settings.gateways
            left, at_us = self.buckets[tenant]
            left = min(quota * QUOTA_SPAN_S, left + quota * (self.now_us - at_us) / 1e6)
            over = quota > 0.0 and left < 1.0
            self.buckets[tenant] = (left - (first_try and not over), self.now_us)
        if first_try:
            (self.beyond if over else self.asked)[event.request_class] += 1
            if sum(self.asked) + sum(self.beyond) > MEMORY:
                self.asked = [n / 2 for n in self.asked]
                self.beyond = [n / 2 for n in self.beyond]
                self.served = [n / 2 for n in self.served]
                for index in range(len(self.asked)):
                    if self.asked[index] + self.beyond[index] < FORGOTTEN:
                        self.asked[index] = self.beyond[index] = self.served[index] = 0.0
        return over

    def rank_work(self) -> None:
        self.served = [self.demand.served.get(i, 0.0) for i in range(len(self.asked))]
        for counts, dense in ((self.demand.asked, self.asked), (self.demand.beyond, self.beyond)):
            assert [counts.get(i, 0.0) for i in range(len(dense))] == dense
        classes, total = self.settings.classes, sum(self.asked) or 1.0
        self.mean_worth = (
            sum(c.priority_weight * a for c, a in zip(classes, self.asked, strict=True)) / total or 1.0
        )
        self.worst_served = min(s / a if a else 1.0 for s, a in zip(self.served, self.asked, strict=True))
        graded = [
            (self.worth(self.classes[index], over), counts[index] * self.classes[index].unhindered)
            for over, counts in ((False, self.asked), (True, self.beyond))
            for index in range(len(classes))
        ]
        self.ranking = Ranking(self.demand.changes, graded)
        self.ranking.parts = len(self.demand.asked) + len(self.demand.beyond)


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
        self.servers, self.tenants = self.random.choice((2, 6, 12)), max(1, tenants)
        self.give(EndpointListReceived(ListKind.CACHED, tuple(self.entry(n) for n in range(self.servers))))

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
        server, sent_us = self.out.pop(key)
        load = self.random.choice(((), (("queue", 2.0), ("eps", 0.1), ("latency_ms", 8.0))))
        finished = outcome is Outcome.OK
        self.give(AttemptEnded(*key, server, outcome, self.now_us - sent_us, finished, load))

    def step(self, gap_us: float) -> None:
        draw = self.random
        self.now_us += int(draw.expovariate(1 / gap_us))
        if draw.random() < 0.002:
            self.now_us += LAPSE_US * 2 // 3  # some rings lapse, others do not
        for due in sorted(self.timers):
            if due[0] <= self.now_us:
                self.timers.remove(due)
                self.give(TimerFired(due[1]))
        what = draw.random()
        if what < 0.5:
            self.count += 1
            klass, tenant = (
                draw.randrange(len(self.settings.classes)),
                draw.randrange(max(1, len(self.settings.tenants))),
            )
            patience_us, about = draw.choice((50_000, 400_000)), draw.choice((None, 1, 2))
            name, again = f"r{self.count}", draw.random() < 0.1
            self.give(RequestArrived(name, klass, patience_us, about, 9_000, again, tenant))
        elif what < 0.96 and self.out:
            key = draw.choice(list(self.out))
            bad = draw.random() < (0.8 if self.out[key][0] % 3 == 0 else 0.05)
            self.end(key, draw.choice(list(Outcome)) if bad else Outcome.OK)
        elif what < 0.98:
            self.give(ClientDisconnected(f"r{draw.randrange(self.count + 1)}"))
        elif what < 0.995:
            statuses = [EndpointStatus.READY] * 3 + list(EndpointStatus)
            names = [draw.randrange(self.servers + 2) for _ in range(draw.choice((1, 2, 5)))]
            self.give(
                EndpointListReceived(
                    ListKind.DELTA, tuple(self.entry(n, draw.choice(statuses)) for n in names)
                )
            )
        else:
            left = [n for n in range(self.servers) if draw.random() < 0.9]
            self.give(EndpointListReceived(ListKind.COMPLETE, tuple(map(self.entry, left))))


@pytest.mark.parametrize("seed", range(16))
def test_sparse_state_decides_like_dense_state(seed: int) -> None:
    play = Play(seed, classes=(1, 3, 8)[seed % 3], tenants=(0, 1, 4)[seed % 3])
    for _ in range(1_000):
        play.step(gap_us=3_000 if seed % 2 else 20_000)
    kinds = {type(action) for action in play.actions}
    assert Send in kinds and SetTimer in kinds and (Cancel in kinds or len(kinds) > 3)


def test_a_list_brings_no_state_for_what_is_not_met() -> None:
    """Every server once held a breaker for each pair of class and tenant."""
    driver = Driver(replace(SETTINGS, tenants=(Tenant(quota_per_s=9.0),) * 50), servers=40)
    assert sum(len(s.breakers) for s in driver.balancer.servers.values()) == 0
    for tenant in (3, 7):
        name, actions = driver.arrive(tenant=tenant)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert sum(len(s.breakers) for s in driver.balancer.servers.values()) <= 4
    assert list(driver.balancer.quotas.used) == [3, 7] and len(driver.balancer.demand.asked) == 1


def test_what_is_met_is_dropped_once_it_reads_as_new() -> None:
    driver = Driver(replace(SETTINGS, tenants=(Tenant(quota_per_s=9.0),) * 50), servers=4)
    for n in range(400):
        name, actions = driver.arrive(tenant=n % 50, klass=n % 3)
        driver.end(name, sends(actions)[0].endpoint_id, Outcome.OK)
    trip(driver.balancer.servers[2].breakers[5], driver.now_us)
    assert len(driver.balancer.evidence.closed) > 100
    driver.now_us += LAPSE_US + 1
    driver.arrive()
    assert not driver.balancer.evidence.closed and not driver.balancer.evidence.totals
    assert [len(s.breakers) for s in driver.balancer.servers.values()] == [0, 0, 1, 0]
    assert driver.balancer.servers[2].breakers[5].state is State.OPEN  # an open one never is
    assert list(driver.balancer.quotas.used) == [0]


def test_a_ring_counts_until_it_lapses() -> None:
    for later_us, state in ((LAPSE_US, State.OPEN), (LAPSE_US + 1, State.CLOSED)):
        driver = Driver(servers=1)
        for n in range(5):
            name, _ = driver.arrive(klass=2)
            if n == 4:
                driver.now_us += later_us
            driver.end(name, 0, Outcome.ERROR)
        assert driver.balancer.servers[0].breakers[0].state is state


def test_a_server_s_last_outcomes_lapse_with_its_ring() -> None:
    """What tells a failure of one tenant alone from one of all must be of late too."""
    for later_us, own in ((LAPSE_US, True), (LAPSE_US + 1, False)):
        driver = Driver(replace(SETTINGS, tenants=(Tenant(), Tenant())), servers=1)
        for _ in range(RING):
            name, _ = driver.arrive(tenant=1)
            driver.end(name, 0)
        driver.now_us += later_us
        weights = []
        for _ in range(4):
            name, _ = driver.arrive(klass=2, tenant=0)
            driver.end(name, 0, Outcome.ERROR)
            weights.append(driver.balancer.servers[0].weight)
        assert (weights[3] == weights[1]) is own


def test_demand_of_a_class_that_is_asked_no_more_is_forgotten() -> None:
    driver = Driver(servers=2)
    driver.arrive(klass=1)
    for n in range(8 * MEMORY):
        assert driver.balancer.demand.total <= MEMORY
        driver.arrive(klass=0)
        driver.handle(ClientDisconnected(f"r{n + 1}"))
    assert list(driver.balancer.demand.asked) == [0]


def calls(balancer: Balancer, now_us: int, *events: Event) -> int:
    """How many Python functions and generators run while events are handled: work without a clock."""
    count = 0

    def seen(frame: FrameType, what: str, arg: object) -> None:
        nonlocal count
        count += what in ("call", "c_call")

    sys.setprofile(seen)
    try:
        for event in events:
            balancer.handle(now_us, event)
    finally:
        sys.setprofile(None)
    return count


def work(servers: int, classes: int, tenants: int, shed: bool) -> tuple[float, float]:
    """Calls a request with its outcome, and a restart told, at a size."""
    sizes = Settings((replace(SETTINGS.classes[0]),) * classes, tenants=(Tenant(99.0),) * tenants)
    balancer = Balancer(sizes, 1)
    listed = tuple(Endpoint(n) for n in range(servers))
    balancer.handle(START_US, EndpointListReceived(ListKind.COMPLETE, listed))
    total = 0
    for n in range(300):
        if shed:
            balancer.told = SHED_MOST if n % 2 else FLOOR
        now_us, name = START_US + n * 5_000, f"r{n}"
        klass, tenant = n * 7 % classes, n * 5 % tenants
        total += calls(balancer, now_us, RequestArrived(name, klass, 400_000, tenant=tenant))
        if name in balancer.requests:
            outcome = Outcome.OK if n % 9 else Outcome.ERROR
            server = next(iter(balancer.requests[name].attempts)).server.entry.id
            total += calls(balancer, now_us, AttemptEnded(name, 0, server, outcome, 9_000, True))
    restart = EndpointListReceived(ListKind.DELTA, (Endpoint(0, started_us=START_US),))
    return total / 300, float(calls(balancer, START_US + 2_000_000, restart))


@pytest.mark.parametrize("shed", [False, True])
def test_a_request_costs_the_same_at_any_size(shed: bool) -> None:
    small, large = work(10, 3, 2, shed), work(600, 400, 500, shed)
    assert large[0] <= 1.5 * small[0] and large[1] <= 1.5 * small[1]
    assert small[0] > RING
