"""Tests of which outcomes count against an endpoint, and for which classes and tenants."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.circuit_breaker import (
    MINIMUM_OUTCOMES,
    RING_SIZE,
    BreakerState,
    breaker_key,
)
from load_balancer.decisions.concurrency_limit import (
    INITIAL_LIMIT,
)
from load_balancer.decisions.events import (
    Outcome,
)
from load_balancer.decisions.settings import Tenant
from load_balancer.decisions.weight_controller import (
    MAX_WEIGHT,
)
from tests.decisions.driver import SETTINGS, Driver, sends


def test_an_endpoint_that_fails_one_class_loses_that_class_only() -> None:
    """With one breaker for all classes, one class's failures were lost among the answers to the others."""
    driver = Driver(endpoints=2)
    for n in range(120):
        request_id, actions = driver.start_request(request_class=n % 3)
        endpoint_id = sends(actions)[0].endpoint_id
        fails = endpoint_id == 0 and n % 3 == 2
        driver.end_attempt(request_id, endpoint_id, Outcome.ERROR if fails else Outcome.OK)
    keys = (0, *(breaker_key(request_class, 0) for request_class in range(3)))
    states = [driver.endpoints[0].breakers[key].state for key in keys]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.OPEN]
    sent_to_0 = dict.fromkeys(range(3), 0)
    for n in range(60):
        request_id, actions = driver.start_request(request_class=n % 3)
        sent_to_0[n % 3] += sends(actions)[0].endpoint_id == 0
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id)
    assert sent_to_0[0]
    assert sent_to_0[1]
    assert not sent_to_0[2]


def test_an_endpoint_that_rejects_one_tenant_still_serves_the_others() -> None:
    """Half of the endpoints rejected one tenant; that opened breakers and lowered weights for all tenants."""
    tenants = (Tenant(), Tenant())
    driver = Driver(replace(SETTINGS, tenants=tenants), endpoints=2)
    endpoint = driver.endpoints[0]
    sent_to_0 = [0, 0]
    for n in range(200):
        tenant = 1 if n % 3 == 2 else 0
        request_id, actions = driver.start_request(tenant=tenant)
        endpoint_id = sends(actions)[0].endpoint_id
        is_rejected = endpoint_id == 0 and tenant == 0 and n >= 30
        for send in sends(
            driver.end_attempt(request_id, endpoint_id, Outcome.REJECTED if is_rejected else Outcome.OK)
        ):
            driver.end_attempt(request_id, send.endpoint_id, attempt=1)
        sent_to_0[tenant] += endpoint_id == 0 and n >= 100
        assert endpoint.breakers[0].state is BreakerState.CLOSED
    assert endpoint.weight > MAX_WEIGHT / 2
    assert sent_to_0[0] == 0
    assert sent_to_0[1] > 5
    assert endpoint.breakers[1].state is BreakerState.OPEN
    assert endpoint.breakers[2].state is BreakerState.CLOSED


def test_an_endpoint_that_fails_all_tenants_is_ejected_as_soon_as_with_one_tenant() -> None:
    driver = Driver(replace(SETTINGS, tenants=(Tenant(), Tenant())), endpoints=1)
    for n in range(2 * RING_SIZE):
        request_id, _ = driver.start_request(tenant=n % 2)
        driver.end_attempt(request_id, 0)
    for n in range(MINIMUM_OUTCOMES):
        assert driver.endpoints[0].breakers[0].state is BreakerState.CLOSED
        request_id, _ = driver.start_request(tenant=n % 2)
        driver.end_attempt(request_id, 0, Outcome.REJECTED)
    assert driver.endpoints[0].breakers[0].state is BreakerState.OPEN


@pytest.mark.parametrize(("timeout_us", "lowers_limit"), [(30_000, False), (50_000, True)])
def test_a_short_timeout_lowers_the_limit_but_opens_no_breaker(timeout_us: int, lowers_limit: bool) -> None:
    """Clients with short timeouts timed out and retried until clients with long timeouts were late too."""
    driver = Driver(endpoints=1)
    driver.classes[0].unloaded_us, driver.classes[0].smoothed_us = (
        20_000.0,
        60_000.0,
    )
    request_id, _ = driver.start_request(timeout_us=timeout_us)
    driver.now_us += timeout_us
    driver.end_attempt(request_id, 0, Outcome.TIMEOUT, latency_us=timeout_us)
    assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit
    assert not driver.endpoints[0].breakers[0].failures


def test_short_client_timeouts_open_no_breaker_and_shed_no_load() -> None:
    """Timeouts of 30 ms, where answers take 50 ms, opened breakers and shed requests that could be served."""
    driver = Driver(endpoints=1)
    for _ in range(100):
        request_id, _ = driver.start_request(request_class=2, timeout_us=1_000_000)
        driver.end_attempt(request_id, 0, latency_us=50_000)
    endpoint, limit = driver.endpoints[0], driver.limit.limit
    weight = endpoint.weight
    for _ in range(20):
        request_id, _ = driver.start_request(request_class=2, timeout_us=30_000)
        driver.now_us += 30_000
        driver.end_attempt(request_id, 0, Outcome.TIMEOUT, latency_us=30_000)
    assert driver.limit.limit >= limit
    assert (endpoint.weight, endpoint.breakers[0].state, endpoint.breakers[0].failures) == (
        weight,
        BreakerState.CLOSED,
        0,
    )
    request_ids = [driver.start_request(request_class=2, timeout_us=1_000_000)[0] for _ in range(RING_SIZE)]
    driver.now_us += 1_000_000
    for request_id in request_ids:  # timeouts that leave enough time for an answer do count
        driver.end_attempt(request_id, 0, Outcome.TIMEOUT, latency_us=1_000_000)
    assert driver.limit.limit < limit
    assert endpoint.breakers[0].state is BreakerState.OPEN
