"""Tests of the latency estimates."""

from __future__ import annotations

from tests.decisions.driver import Driver


def test_a_new_gateway_learns_the_unloaded_latency_from_a_few_answers() -> None:
    """Restarted gateways noticed no overload, as their unloaded latency started high and fell slowly."""
    driver = Driver(endpoints=1)
    balancer = driver.balancer
    start_us = balancer.context.classes[0].unloaded_us
    for _ in range(6):
        request_id, _ = driver.start_request()
        driver.end_attempt(request_id, 0, latency_us=10_000)
    assert balancer.context.classes[0].unloaded_us - 10_000 < 0.5 * (start_us - 10_000)
    request_id, _ = driver.start_request()
    before_us = balancer.context.classes[0].unloaded_us
    driver.end_attempt(request_id, 0, latency_us=1)  # a single fast answer lowers it little
    assert balancer.context.classes[0].unloaded_us > 0.8 * before_us


def test_a_tiny_work_hint_does_not_inflate_the_smoothed_latency() -> None:
    """Latency was divided by the hinted work, so one answer to a hint near zero counted like hundreds."""
    driver = Driver(endpoints=1)
    for n in range(400):
        request_id, _ = driver.start_request(work_us=100 if n % 4 else 20_000)
        driver.end_attempt(request_id, 0, latency_us=15_000 if n % 4 else 40_000)
        driver.now_us += 50_000
    assert 15_000 < driver.classes[0].smoothed_us < 40_000
