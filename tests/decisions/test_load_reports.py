"""Tests of the load reports that endpoints send with their answers."""

from __future__ import annotations

import pytest

from tests.decisions.driver import Driver, sends


@pytest.mark.parametrize("reported", [("queue", 4.0), ("latency_ms", 80.0), ("eps", 20.0)])
def test_an_endpoint_that_reports_a_queue_slow_service_or_errors_gets_fewer_requests(
    reported: tuple[str, float], driver: Driver
) -> None:
    """Each of forty gateways had less than one request in flight per endpoint.

    From its own requests, a gateway could not notice the load that the others caused.
    """
    requests_by_endpoint = [0, 0, 0]
    for _ in range(600):
        request_id, actions = driver.start_request()
        endpoint_id = sends(actions)[0].endpoint_id
        requests_by_endpoint[endpoint_id] += 1
        load = {"queue": 0.0, "latency_ms": 20.0} | (dict([reported]) if endpoint_id == 0 else {})
        driver.end_attempt(request_id, endpoint_id, load=tuple(load.items()))
        driver.now_us += 10_000
    assert requests_by_endpoint[0] < 0.4 * min(requests_by_endpoint[1:])


def test_a_few_reported_errors_lower_the_weight_little(driver: Driver) -> None:
    requests_by_endpoint = [0, 0, 0]
    for _ in range(600):
        request_id, actions = driver.start_request()
        endpoint_id = sends(actions)[0].endpoint_id
        requests_by_endpoint[endpoint_id] += 1
        # The endpoint reports 0.3 errors/s; this gateway sends it about 33 requests/s.
        driver.end_attempt(request_id, endpoint_id, load=(("eps", 0.3 if endpoint_id == 0 else 0.0),))
        driver.now_us += 10_000
    assert requests_by_endpoint[0] > 0.6 * min(requests_by_endpoint[1:])


def test_a_reported_queue_counts_less_as_it_ages(driver: Driver) -> None:
    """An endpoint that gets no requests cannot report that its queue is empty again."""
    driver.balancer.load_reports.apply(driver.endpoints[0], (("queue", 50.0),), driver.now_us)
    driver.now_us += 20_000_000
    used_endpoint_ids = set()
    for _ in range(60):
        request_id, actions = driver.start_request()
        used_endpoint_ids.add(sends(actions)[0].endpoint_id)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id)
    assert used_endpoint_ids == {0, 1, 2}
