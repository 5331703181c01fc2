"""Tests of the weighted random choice of an endpoint."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.endpoint import Endpoint
from load_balancer.decisions.settings import Prices
from tests.decisions.driver import SETTINGS, Driver, sends, trip


def test_a_non_idempotent_request_is_not_used_as_a_trial() -> None:
    driver = Driver(endpoints=2)
    breaker = driver.endpoints[0].breakers[0]
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.start_request(request_class=2)[1])[0].endpoint_id == 1


def test_endpoints_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), endpoints=0)
    driver.list_endpoints(Endpoint(1, zone=0), Endpoint(2, zone=1))
    sent_to_own_zone = 0
    for _ in range(200):
        request_id, actions = driver.start_request()
        sent_to_own_zone += sends(actions)[0].endpoint_id == 1
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id)
    assert 130 < sent_to_own_zone < 190


def test_most_requests_of_a_key_go_to_one_endpoint() -> None:
    driver = Driver(replace(SETTINGS, key_affinity=True), endpoints=8)
    requests_by_endpoint: dict[int, int] = {}
    for _ in range(100):
        request_id, actions = driver.start_request(key=77)
        endpoint_id = sends(actions)[0].endpoint_id
        requests_by_endpoint[endpoint_id] = requests_by_endpoint.get(endpoint_id, 0) + 1
        driver.end_attempt(request_id, endpoint_id)
    assert max(requests_by_endpoint.values()) > 50
    assert len(requests_by_endpoint) > 1


def test_non_idempotent_requests_are_trials_where_no_endpoint_is_closed(
    driver_after_cooldown: Driver,
) -> None:
    assert sends(driver_after_cooldown.start_request(request_class=2)[1])
