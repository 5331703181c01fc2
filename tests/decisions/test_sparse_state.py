"""Tests that state created on first use gives the same decisions as complete state.

Complete state has an entry for every endpoint, class and tenant. A request costs the same at any number.
"""

from __future__ import annotations

import sys
from dataclasses import replace
from types import FrameType

import pytest

from load_balancer.decisions.actions import Cancel, Send, SetTimer
from load_balancer.decisions.admission import MAX_SHED_SHARE
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.circuit_breaker import (
    BREAKER_EXPIRY_US,
    RING_SIZE,
    BreakerState,
)
from load_balancer.decisions.demand import DEMAND_MEMORY_REQUESTS
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
)
from load_balancer.decisions.settings import (
    Settings,
    Tenant,
)
from load_balancer.decisions.weight_controller import MIN_WEIGHT
from tests.decisions.driver import SETTINGS, START_US, Driver, sends, trip
from tests.decisions.sparse_dense_comparison import BalancerComparison


@pytest.mark.parametrize("seed", range(16))
def test_sparse_state_decides_like_dense_state(seed: int) -> None:
    comparison = BalancerComparison(seed, classes=(1, 3, 8)[seed % 3], tenants=(0, 1, 4)[seed % 3])
    for _ in range(1_000):
        comparison.step(gap_us=3_000 if seed % 2 else 20_000)
    kinds = {type(action) for action in comparison.actions}
    assert Send in kinds
    assert SetTimer in kinds
    assert Cancel in kinds or len(kinds) > 3


def test_state_is_created_on_first_use_only() -> None:
    """Memory would otherwise grow with endpoints times classes times tenants."""
    driver = Driver(replace(SETTINGS, tenants=(Tenant(quota_per_s=9.0),) * 50), endpoints=40)
    assert sum(len(s.breakers) for s in driver.endpoints.values()) == 0
    for tenant in (3, 7):
        request_id, actions = driver.start_request(tenant=tenant)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id)
    assert sum(len(s.breakers) for s in driver.endpoints.values()) <= 4
    assert list(driver.balancer.quotas.remaining_by_tenant) == [3, 7]
    assert len(driver.balancer.demand.within_quota) == 1


def test_expired_breakers_and_full_quotas_are_removed() -> None:
    driver = Driver(replace(SETTINGS, tenants=(Tenant(quota_per_s=9.0),) * 50), endpoints=4)
    for n in range(400):
        request_id, actions = driver.start_request(tenant=n % 50, request_class=n % 3)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.OK)
    trip(driver.endpoints[2].breakers[5], driver.now_us)
    assert len(driver.balancer.breakers.closed) > 100
    driver.now_us += BREAKER_EXPIRY_US + 1
    driver.start_request()
    assert not driver.balancer.breakers.closed
    assert not driver.balancer.breakers.totals
    assert [len(s.breakers) for s in driver.endpoints.values()] == [0, 0, 1, 0]
    assert driver.endpoints[2].breakers[5].state is BreakerState.OPEN  # an open breaker does not expire
    assert list(driver.balancer.quotas.remaining_by_tenant) == [0]


@pytest.mark.parametrize(
    ("later_us", "state"),
    [(BREAKER_EXPIRY_US, BreakerState.OPEN), (BREAKER_EXPIRY_US + 1, BreakerState.CLOSED)],
)
def test_outcomes_count_until_the_breaker_expires(later_us: int, state: BreakerState) -> None:
    driver = Driver(endpoints=1)
    for n in range(5):
        request_id, _ = driver.start_request(request_class=2)
        if n == 4:
            driver.now_us += later_us
        driver.end_attempt(request_id, 0, Outcome.ERROR)
    assert driver.endpoints[0].breakers[0].state is state


@pytest.mark.parametrize(
    ("later_us", "is_confined"), [(BREAKER_EXPIRY_US, True), (BREAKER_EXPIRY_US + 1, False)]
)
def test_an_endpoints_recent_outcomes_expire_with_its_breaker(later_us: int, is_confined: bool) -> None:
    """Expired outcomes must not decide whether failures are confined to one tenant."""
    driver = Driver(replace(SETTINGS, tenants=(Tenant(), Tenant())), endpoints=1)
    for _ in range(RING_SIZE):
        request_id, _ = driver.start_request(tenant=1)
        driver.end_attempt(request_id, 0)
    driver.now_us += later_us
    weights = []
    for _ in range(4):
        request_id, _ = driver.start_request(request_class=2, tenant=0)
        driver.end_attempt(request_id, 0, Outcome.ERROR)
        weights.append(driver.endpoints[0].weight)
    assert (weights[3] == weights[1]) is is_confined


def test_demand_of_a_class_without_requests_is_forgotten() -> None:
    driver = Driver(endpoints=2)
    driver.start_request(request_class=1)
    for n in range(8 * DEMAND_MEMORY_REQUESTS):
        assert driver.balancer.demand.total <= DEMAND_MEMORY_REQUESTS
        driver.start_request(request_class=0)
        driver.handle(ClientDisconnected(f"r{n + 1}"))
    assert list(driver.balancer.demand.within_quota) == [0]


def count_calls(balancer: Balancer, now_us: int, *events: Event) -> int:
    """Count the function calls while events are handled: a measure of work that needs no clock."""
    count = 0

    def count_call(_frame: FrameType, profile_event: str, _arg: object) -> None:
        nonlocal count
        count += profile_event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        for event in events:
            balancer.handle(now_us, event)
    finally:
        sys.setprofile(None)
    return count


def calls_per_event(endpoints: int, classes: int, tenants: int, shed: bool) -> tuple[float, float]:
    """Return the mean calls per request with its outcome, and the calls for a list with one restart."""
    settings = Settings((replace(SETTINGS.classes[0]),) * classes, tenants=(Tenant(99.0),) * tenants)
    balancer = Balancer(settings, 1)
    entries = tuple(Endpoint(n) for n in range(endpoints))
    balancer.handle(START_US, EndpointListReceived(ListKind.COMPLETE, entries))
    total = 0
    for n in range(300):
        if shed:
            balancer.admission.load_shed_share = MAX_SHED_SHARE if n % 2 else MIN_WEIGHT
        now_us, request_id = START_US + n * 5_000, f"r{n}"
        request_class, tenant = n * 7 % classes, n * 5 % tenants
        total += count_calls(
            balancer, now_us, RequestArrived(request_id, request_class, 400_000, tenant=tenant)
        )
        if request_id in balancer.lifecycle.requests:
            outcome = Outcome.OK if n % 9 else Outcome.ERROR
            endpoint = next(iter(balancer.lifecycle.requests[request_id].attempts)).endpoint.endpoint.id
            total += count_calls(
                balancer, now_us, AttemptEnded(request_id, 0, endpoint, outcome, 9_000, True)
            )
    restart = EndpointListReceived(ListKind.DELTA, (Endpoint(0, started_us=START_US),))
    return total / 300, float(count_calls(balancer, START_US + 2_000_000, restart))


@pytest.mark.parametrize("shed", [False, True])
def test_a_request_costs_the_same_at_any_size(shed: bool) -> None:
    small, large = calls_per_event(10, 3, 2, shed), calls_per_event(600, 400, 500, shed)
    assert large[0] <= 1.5 * small[0]
    assert large[1] <= 1.5 * small[1]
    assert small[0] > RING_SIZE
