"""Load reports that endpoints send."""

from __future__ import annotations

import pytest

from tests.decisions.driver import Driver, sends


@pytest.mark.parametrize("crowded", [("queue", 4.0), ("latency_ms", 80.0), ("eps", 20.0)])
def test_an_endpoint_that_reports_a_queue_slow_service_or_errors_gets_less(
    crowded: tuple[str, float], driver: Driver
) -> None:
    """Forty gateways had less than one request out at each endpoint and saw nothing of the rest."""
    counts = [0, 0, 0]
    for _ in range(600):
        name, actions = driver.arrive()
        endpoint = sends(actions)[0].endpoint_id
        counts[endpoint] += 1
        load = {"queue": 0.0, "latency_ms": 20.0} | (dict([crowded]) if endpoint == 0 else {})
        driver.end(name, endpoint, load=tuple(load.items()))
        driver.now_us += 10_000
    assert counts[0] < 0.4 * min(counts[1:])


def test_a_few_reported_errors_lower_the_weight_little(driver: Driver) -> None:
    counts = [0, 0, 0]
    for _ in range(600):
        name, actions = driver.arrive()
        endpoint = sends(actions)[0].endpoint_id
        counts[endpoint] += 1
        driver.end(name, endpoint, load=(("eps", 0.3 if endpoint == 0 else 0.0),))  # of 33 a second
        driver.now_us += 10_000
    assert counts[0] > 0.6 * min(counts[1:])


def test_a_reported_queue_counts_less_as_it_ages(driver: Driver) -> None:
    """An endpoint that is sent nothing has no way to report that its queue is gone."""
    driver.balancer.load_reports.apply(driver.endpoints[0], (("queue", 50.0),), driver.now_us)
    driver.now_us += 20_000_000
    drawn = set()
    for _ in range(60):
        name, actions = driver.arrive()
        drawn.add(sends(actions)[0].endpoint_id)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert drawn == {0, 1, 2}
