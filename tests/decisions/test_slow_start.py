"""Tests of endpoints in slow start."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

from load_balancer.decisions.circuit_breaker import (
    EndpointBreakers,
)
from load_balancer.decisions.endpoint import Endpoint
from load_balancer.decisions.events import (
    Outcome,
)
from tests.decisions.driver import SLOW_START_SETTINGS, Driver, sends


def test_all_gateways_together_keep_endpoints_within_the_slow_start_budget() -> None:
    """Each of forty gateways sent its one allowed request when an endpoint was listed, all forty at once."""
    work_us = [0.0] * 20  # Work sent to the endpoint in each half second, by all gateways.
    for gateway in range(40):
        driver = Driver(replace(SLOW_START_SETTINGS, gateway_index=gateway), endpoints=0, seed=gateway)
        driver.list_endpoints(Endpoint(1, started_us=driver.now_us))
        for step in range(1_000):
            request_id, actions = driver.start_request()
            if sends(actions):
                work_us[step // 50] += driver.classes[0].unloaded_us
                driver.end_attempt(request_id, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def test_overload_does_not_inflate_the_work_charged_in_slow_start() -> None:
    """Requests to overloaded endpoints seemed to cost more work, so that endpoints in slow start got none."""
    sent_counts = []
    for work_hint_us in (None, 10_000):
        for overloaded in (False, True):
            driver = Driver(replace(SLOW_START_SETTINGS, gateways=2), endpoints=0)
            driver.list_endpoints(Endpoint(1, started_us=driver.now_us))
            for request_class in driver.classes:
                request_class.unloaded_us, request_class.smoothed_us = (
                    10_000.0,
                    500_000.0 if overloaded else 20_000.0,
                )
            sent_count = 0
            for _ in range(200):
                request_id, actions = driver.start_request(
                    **({"work_us": work_hint_us} if work_hint_us else {})
                )
                if sends(actions):
                    sent_count += 1
                    driver.end_attempt(request_id, 1, Outcome.ERROR if overloaded else Outcome.OK)
                    endpoint = driver.endpoints[1]
                    endpoint.breakers.detach()
                    endpoint.breakers = EndpointBreakers(driver.balancer.breakers)
                driver.now_us += 10_000
            sent_counts.append(sent_count)
    assert sent_counts[1] >= sent_counts[0] * 0.9
    assert sent_counts[3] >= sent_counts[2] * 0.9
