"""What an outcome says of its endpoint."""

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
    """In one ring, a class's silence drowned in the answers to the others."""
    driver = Driver(endpoints=2)
    for n in range(120):
        name, actions = driver.arrive(request_class=n % 3)
        endpoint = sends(actions)[0].endpoint_id
        failed = endpoint == 0 and n % 3 == 2
        driver.end(name, endpoint, Outcome.ERROR if failed else Outcome.OK)
    places = (0, *(breaker_key(request_class, 0) for request_class in range(3)))
    states = [driver.endpoints[0].breakers[place].state for place in places]
    assert states == [BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.CLOSED, BreakerState.OPEN]
    sent_to_0 = dict.fromkeys(range(3), 0)
    for n in range(60):
        name, actions = driver.arrive(request_class=n % 3)
        sent_to_0[n % 3] += sends(actions)[0].endpoint_id == 0
        driver.end(name, sends(actions)[0].endpoint_id)
    assert sent_to_0[0]
    assert sent_to_0[1]
    assert not sent_to_0[2]


def test_an_endpoint_that_limits_one_tenant_is_kept_for_the_others() -> None:
    """Half the fleet turned one tenant away; that opened the breakers and sank the weights for all."""
    tenants = (Tenant(), Tenant())
    driver = Driver(replace(SETTINGS, tenants=tenants), endpoints=2)
    endpoint = driver.endpoints[0]
    sent_to_0 = [0, 0]
    for n in range(200):
        tenant = 1 if n % 3 == 2 else 0
        name, actions = driver.arrive(tenant=tenant)
        to = sends(actions)[0].endpoint_id
        limited = to == 0 and tenant == 0 and n >= 30
        for send in sends(driver.end(name, to, Outcome.REJECTED if limited else Outcome.OK)):
            driver.end(name, send.endpoint_id, attempt=1)
        sent_to_0[tenant] += to == 0 and n >= 100
        assert endpoint.breakers[0].state is BreakerState.CLOSED
    assert endpoint.weight > MAX_WEIGHT / 2
    assert sent_to_0[0] == 0
    assert sent_to_0[1] > 5
    assert endpoint.breakers[1].state is BreakerState.OPEN
    assert endpoint.breakers[2].state is BreakerState.CLOSED


def test_an_endpoint_that_fails_all_tenants_is_ejected_as_soon_as_with_one() -> None:
    driver = Driver(replace(SETTINGS, tenants=(Tenant(), Tenant())), endpoints=1)
    for n in range(2 * RING_SIZE):
        name, _ = driver.arrive(tenant=n % 2)
        driver.end(name, 0)
    for n in range(MINIMUM_OUTCOMES):
        assert driver.endpoints[0].breakers[0].state is BreakerState.CLOSED
        name, _ = driver.arrive(tenant=n % 2)
        driver.end(name, 0, Outcome.REJECTED)
    assert driver.endpoints[0].breakers[0].state is BreakerState.OPEN


@pytest.mark.parametrize(("given_us", "sheds"), [(30_000, False), (50_000, True)])
def test_a_short_timeout_lowers_the_limit_but_opens_no_breaker(given_us: int, sheds: bool) -> None:
    """Clients in a hurry timed out and came again, until the patient ones were late too."""
    driver = Driver(endpoints=1)
    driver.classes[0].unloaded_us, driver.classes[0].smoothed_us = (
        20_000.0,
        60_000.0,
    )
    name, _ = driver.arrive(timeout_us=given_us)
    driver.now_us += given_us
    driver.end(name, 0, Outcome.TIMEOUT, latency_us=given_us)
    assert (driver.limit.limit < INITIAL_LIMIT) == sheds
    assert not driver.endpoints[0].breakers[0].failures


def test_short_client_timeouts_open_no_breaker_and_shed_no_load() -> None:
    """Time-outs after 30 ms where answers take 50 ms opened breakers and shed what could be served."""
    driver = Driver(endpoints=1)
    for _ in range(100):
        name, _ = driver.arrive(request_class=2, timeout_us=1_000_000)
        driver.end(name, 0, latency_us=50_000)
    endpoint, limit = driver.endpoints[0], driver.limit.limit
    weight = endpoint.weight
    for _ in range(20):
        name, _ = driver.arrive(request_class=2, timeout_us=30_000)
        driver.now_us += 30_000
        driver.end(name, 0, Outcome.TIMEOUT, latency_us=30_000)
    assert driver.limit.limit >= limit
    assert (endpoint.weight, endpoint.breakers[0].state, endpoint.breakers[0].failures) == (
        weight,
        BreakerState.CLOSED,
        0,
    )
    names = [driver.arrive(request_class=2, timeout_us=1_000_000)[0] for _ in range(RING_SIZE)]
    driver.now_us += 1_000_000
    for name in names:  # given time enough, they do
        driver.end(name, 0, Outcome.TIMEOUT, latency_us=1_000_000)
    assert driver.limit.limit < limit
    assert endpoint.breakers[0].state is BreakerState.OPEN
