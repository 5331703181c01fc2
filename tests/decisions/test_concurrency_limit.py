"""Tests of the limit on requests in flight."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.concurrency_limit import (
    INITIAL_LIMIT,
    MIN_LIMIT,
)
from load_balancer.decisions.events import (
    ClientDisconnected,
    Outcome,
)
from load_balancer.decisions.settings import Settings
from tests.decisions.driver import IDEMPOTENT, SETTINGS, Driver, sends


def test_a_few_prompt_answers_raise_a_low_limit() -> None:
    """With one request in flight, a second was allowed only after five answers, at three answers a second."""
    driver = Driver(endpoints=8)
    driver.limit.has_seen_slow_answer, driver.limit.limit = True, 1.0
    for _ in range(3):
        request_id, actions = driver.start_request()
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=5_000)
    assert driver.limit.limit >= 2.0


def test_the_limit_falls_where_a_third_of_the_answers_are_slow() -> None:
    """The limit did not fall while a third of the answers were slow; the slower endpoints collapsed first."""
    driver = Driver(endpoints=8)
    driver.limit.has_seen_slow_answer, driver.limit.limit = True, 12.0
    in_flight = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(9)]
    for n in range(21):
        request_id, actions = driver.start_request(request_class=2, timeout_us=1_000_000)
        driver.end_attempt(
            request_id, sends(actions)[0].endpoint_id, latency_us=290_000 if n % 3 == 2 else 5_000
        )
    assert in_flight
    assert driver.limit.limit < 11.0


def test_slow_answers_in_flight_together_lower_the_limit_by_a_fraction() -> None:
    """Slow answers to requests sent before shedding began raised the shed share from a tenth to nearly 1."""
    driver = Driver(endpoints=8)
    driver.limit.limit = 30.0
    started = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(30)]
    for request_id, actions in started[:15]:
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=290_000)
    assert 15.0 < driver.limit.limit < 30.0


def test_rejections_do_not_lower_the_limit() -> None:
    """Where endpoints throttled one class, their rejections made a gateway shed requests of every class."""
    driver = Driver(endpoints=3)
    for _ in range(6):
        request_id, actions = driver.start_request()
        if sends(actions):
            driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.REJECTED)
    assert driver.limit.limit == INITIAL_LIMIT


@pytest.mark.parametrize(("queue", "lowers_limit"), [(3.0, True), (0.0, False)])
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.REJECTED])
def test_answers_of_endpoints_with_queued_work_lower_the_limit(
    outcome: Outcome, queue: float, lowers_limit: bool
) -> None:
    """Full endpoints reject at once, so few requests were in flight and each was sent to four endpoints.

    Slow answers would lower the limit only a second later, when the full endpoints have collapsed.
    """
    driver = Driver(endpoints=8)
    request_id, actions = driver.start_request()
    driver.end_attempt(
        request_id, sends(actions)[0].endpoint_id, outcome, latency_us=5_000, load=(("queue", queue),)
    )
    assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


def test_a_reported_queue_caps_the_limit_at_the_attempts_in_flight() -> None:
    """Gateways that used half of their limit kept sending more while every endpoint's queue grew."""
    driver = Driver(endpoints=8)
    driver.limit.limit = 30.0
    started = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(10)]
    request_id, actions = started[0]
    driver.end_attempt(request_id, sends(actions)[0].endpoint_id, load=(("queue", 2.0),))
    assert driver.limit.limit <= 10.0


def test_an_overloaded_gateway_has_one_request_in_flight_and_not_two() -> None:
    """Hundreds of gateways with two requests in flight each kept every endpoint's queue full."""
    second_requests_sent = 0
    for seed in range(20):
        driver = Driver(endpoints=8, seed=seed)
        for _ in range(6):
            request_id, actions = driver.start_request()
            driver.end_attempt(request_id, sends(actions)[0].endpoint_id, load=(("queue", 2.0),))
        assert sends(driver.start_request()[1])
        second_requests_sent += bool(sends(driver.start_request()[1]))
    assert second_requests_sent < 10


def test_prompt_answers_raise_the_limit_to_at_most_half_above_the_attempts_in_flight() -> None:
    """With a limit of twice what was in flight, a burst overloaded the endpoints before any was shed."""
    driver = Driver(endpoints=8)
    in_flight = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(5)]
    for _ in range(30):
        request_id, actions = driver.start_request()
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=5_000)
    assert len(in_flight) == 5
    assert INITIAL_LIMIT < driver.limit.limit <= 1.5 * (5 + 1)


def test_latency_a_little_over_unloaded_is_no_overload_under_a_tight_objective() -> None:
    """A quarter of the slack under a tight objective is within the usual variance of the work.

    With that as the tolerated wait, half of the requests were shed without any overload.
    """
    driver = Driver(endpoints=1)
    driver.classes[0].unloaded_us = 150_000.0  # the objective is 200 ms
    for latency_us, lowers_limit in ((250_000, False), (310_000, True)):
        request_id, _ = driver.start_request()
        driver.end_attempt(request_id, 0, latency_us=latency_us)
        assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


@pytest.mark.parametrize(("late_weight_share", "lowers_limit"), [(0.0, True), (0.5, False)])
def test_a_longer_wait_is_tolerated_where_late_answers_have_weight(
    late_weight_share: float, lowers_limit: bool
) -> None:
    """Where a late answer keeps half its weight, a rejection costs more than the wait."""
    request_class = replace(IDEMPOTENT, late_weight_share=late_weight_share)
    driver = Driver(replace(SETTINGS, classes=(request_class,)), endpoints=1)
    driver.classes[0].unloaded_us = 20_000.0
    request_id, _ = driver.start_request()
    driver.end_attempt(request_id, 0, latency_us=100_000)
    assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


@pytest.mark.parametrize(("disconnect_after_us", "lowers_limit"), [(10_000, False), (90_000, True)])
def test_a_client_that_disconnects_under_overload_lowers_the_limit(
    disconnect_after_us: int, lowers_limit: bool
) -> None:
    """Clients that disconnected early hid the overload that they caused, as their requests did not count."""
    driver = Driver(endpoints=1)
    driver.classes[0].unloaded_us = 40_000.0
    request_id, _ = driver.start_request()
    driver.now_us += disconnect_after_us
    driver.handle(ClientDisconnected(request_id))
    assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


def test_the_latency_variance_of_a_single_class_does_not_prolong_shedding() -> None:
    """At a shed share of 0.95 only the class of highest priority was admitted, and shedding did not end.

    Four in ten of its answers took a little longer, which is its usual variance.
    """
    driver = Driver(Settings(classes=(replace(IDEMPOTENT, late_weight_share=0.0),)), endpoints=2)
    driver.classes[0].unloaded_us = 40_000.0
    for _ in range(60):  # all answers are slow; with nothing in flight the next request is sent all the same
        request_id, actions = driver.start_request()
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=150_000)
    assert driver.limit.limit == MIN_LIMIT
    assert driver.admission.shed_share == 0.0
