"""Weights of the draw."""

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
        assert sends(driver.arrive(request_class=2)[1])[0].endpoint_id == 1


def test_endpoints_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), endpoints=0)
    driver.list_endpoints(Endpoint(1, zone=0), Endpoint(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].endpoint_id == 1
        driver.end(name, sends(actions)[0].endpoint_id)
    assert 130 < to_home < 190


def test_requests_of_a_key_go_to_its_home_while_that_has_room() -> None:
    driver = Driver(replace(SETTINGS, key_affinity=True), endpoints=8)
    met: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        endpoint = sends(actions)[0].endpoint_id
        met[endpoint] = met.get(endpoint, 0) + 1
        driver.end(name, endpoint)
    assert max(met.values()) > 50
    assert len(met) > 1


def test_non_idempotent_requests_are_trials_where_no_endpoint_is_closed(all_half_open: Driver) -> None:
    assert sends(all_half_open.arrive(request_class=2)[1])
