"""Tests of the subset of endpoints that a gateway uses."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.latency import OVERDUE_LATENCY_FACTOR
from load_balancer.decisions.subset import MIN_SUBSET_SIZE
from tests.decisions.driver import SETTINGS, SLOW_START_SETTINGS, Driver, sends, trip


def test_an_endpoint_with_an_overdue_attempt_gets_no_new_requests() -> None:
    driver = Driver(endpoints=1)
    driver.start_request(request_class=2)
    driver.now_us += int(OVERDUE_LATENCY_FACTOR * driver.classes.slowest.smoothed_us) + 1
    assert not sends(driver.start_request(request_class=2)[1])


def test_an_endpoint_that_answers_later_attempts_gets_new_requests_again() -> None:
    driver = Driver(endpoints=1)
    driver.start_request(request_class=2)
    driver.now_us += int(OVERDUE_LATENCY_FACTOR * driver.classes.slowest.smoothed_us) - 10_000
    later, _ = driver.start_request(request_class=2)
    driver.now_us += 10_001
    assert not sends(driver.start_request(request_class=2)[1])
    driver.end_attempt(later, 0, latency_us=10_001)
    assert sends(driver.start_request(request_class=2)[1])


def test_a_gateway_keeps_to_its_subset() -> None:
    """Hundreds of gateways that each used every endpoint filled all of the endpoints' connection tables.

    90% of the attempts got no connection.
    """
    used_endpoint_ids: set[int] = set()
    driver = Driver(replace(SETTINGS, gateways=300, gateway_index=5), endpoints=60)
    for _ in range(300):
        request_id, actions = driver.start_request()
        used_endpoint_ids.add(sends(actions)[0].endpoint_id)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id)
    assert len(used_endpoint_ids) <= MIN_SUBSET_SIZE + 1


def test_a_gateway_with_more_in_flight_uses_more_endpoints() -> None:
    """A gateway with a fifth of all traffic would overload the few endpoints of a fixed subset."""
    driver = Driver(replace(SETTINGS, gateways=300), endpoints=60)
    driver.limit.limit = 100.0
    used_endpoint_ids = {sends(driver.start_request(request_class=2)[1])[0].endpoint_id for _ in range(40)}
    assert len(used_endpoint_ids) > 3 * MIN_SUBSET_SIZE


def test_an_endpoint_with_an_open_breaker_is_replaced_by_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, gateways=300), endpoints=60)
    subset = driver.subset()
    trip(subset[0].breakers[0], driver.now_us)
    subset_after = driver.subset()
    assert subset[0] not in subset_after
    assert subset_after[: len(subset) - 1] == subset[1:]
    assert len(subset_after) == len(subset)


def test_an_endpoint_in_slow_start_beyond_the_subset_is_not_used() -> None:
    """When many gateways avoid failing endpoints, they would all choose the same endpoint in slow start."""
    driver = Driver(replace(SLOW_START_SETTINGS, gateways=300), endpoints=60)
    last = driver.balancer.endpoints.by_rank[-1].endpoint.id
    for endpoint in driver.balancer.endpoints.by_rank[:-1]:
        trip(endpoint.breakers[0], driver.now_us)
    driver.list_endpoints(Endpoint(last, started_us=driver.now_us - 1), kind=ListKind.DELTA)
    assert driver.subset() == []
