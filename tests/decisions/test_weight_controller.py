"""Tests of the weight controller."""

from __future__ import annotations

from load_balancer.decisions.circuit_breaker import (
    HALF_OPEN_TRIALS,
    INITIAL_COOLDOWN_US,
    MINIMUM_OUTCOMES,
    BreakerState,
)
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import (
    Outcome,
)
from load_balancer.decisions.weight_controller import (
    MAX_WEIGHT,
    MIN_WEIGHT,
    WEIGHT_DECREASE_FACTOR,
    WEIGHT_INCREASE,
    next_weight,
)
from tests.decisions.driver import Driver, sends, trip


def test_the_weight_rises_in_steps_and_falls_by_a_factor() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.endpoints[0]
    endpoint.weight = 0.5
    request_id, _ = driver.start_request()
    driver.end_attempt(request_id, 0)
    assert endpoint.weight == 0.5 + WEIGHT_INCREASE
    request_id, _ = driver.start_request(request_class=2)
    driver.end_attempt(request_id, 0, Outcome.ERROR)
    assert endpoint.weight == (0.5 + WEIGHT_INCREASE) * WEIGHT_DECREASE_FACTOR


def test_an_answer_over_twice_the_smoothed_latency_lowers_the_weight() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.endpoints[0]
    request_id, _ = driver.start_request()
    driver.end_attempt(request_id, 0, latency_us=int(driver.classes[0].smoothed_us * 2.2))
    assert endpoint.weight == MAX_WEIGHT * WEIGHT_DECREASE_FACTOR


def test_the_weight_stays_within_its_bounds() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.endpoints[0]
    for _ in range(40):
        endpoint.weight = next_weight(endpoint.weight, True)
    assert endpoint.weight == MIN_WEIGHT
    for _ in range(400):
        endpoint.weight = next_weight(endpoint.weight, False)
    assert endpoint.weight == MAX_WEIGHT


def test_a_new_endpoint_starts_at_the_mean_weight() -> None:
    driver = Driver(endpoints=2)
    driver.endpoints[0].weight = 0.2
    driver.endpoints[1].weight = 0.6
    driver.list_endpoints(Endpoint(9), kind=ListKind.DELTA)
    assert driver.endpoints[9].weight == 0.4


def test_an_endpoint_has_its_former_weight_once_its_breaker_closes() -> None:
    driver = Driver(endpoints=1)
    endpoint = driver.endpoints[0]
    for _ in range(MINIMUM_OUTCOMES):
        request_id, actions = driver.start_request(request_class=2)
        assert sends(actions)
        driver.end_attempt(request_id, 0, Outcome.ERROR)
    assert endpoint.breakers[0].state is BreakerState.OPEN
    weight = endpoint.weight
    driver.now_us += INITIAL_COOLDOWN_US
    for _ in range(HALF_OPEN_TRIALS):
        request_id, actions = driver.start_request()
        assert sends(actions)
        driver.end_attempt(request_id, 0)
    assert endpoint.breakers[0].state.value == "closed"
    assert endpoint.weight == max(MIN_WEIGHT, weight)


def test_an_endpoint_keeps_the_weight_from_before_its_breaker_opened() -> None:
    """Late outcomes and failed trials lowered the weight that an endpoint has once its breaker closes."""
    driver = Driver(endpoints=1)
    endpoint = driver.endpoints[0]
    request_ids = [driver.start_request(request_class=2)[0] for _ in range(2)]
    trip(endpoint.breakers[0], driver.now_us)
    weight = endpoint.weight
    driver.end_attempt(request_ids[0], 0, Outcome.ERROR)  # sent before the breaker opened
    assert endpoint.weight == weight
    driver.now_us = endpoint.breakers[0].open_until_us
    driver.end_attempt(request_ids[1], 0, Outcome.ERROR)
    assert endpoint.weight == weight
