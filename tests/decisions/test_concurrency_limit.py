"""The limit on what is in flight."""

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
    """At one request out it took five answers to let a second go, at three answers a second."""
    driver = Driver(endpoints=8)
    driver.limit.has_seen_slow_answer, driver.limit.limit = True, 1.0
    for _ in range(3):
        request_id, actions = driver.start_request()
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=5_000)
    assert driver.limit.limit >= 2.0


def test_the_limit_falls_where_a_third_of_the_answers_are_slow() -> None:
    """Where it held at a third the slower endpoints had choked before the rest of the answers were long."""
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
    """What was sent before shedding began still took long, and drove it from a tenth to nearly all."""
    driver = Driver(endpoints=8)
    driver.limit.limit = 30.0
    started = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(30)]
    for request_id, actions in started[:15]:
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=290_000)
    assert 15.0 < driver.limit.limit < 30.0


def test_rejections_do_not_lower_the_limit() -> None:
    """Where endpoints throttled one class, their refusals made a gateway shed every class."""
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
    """Full endpoints answer at once: what was out stayed low, and each request was sent on to four of them.

    The others' answers are prompt for a second more, and when they were not the endpoints had choked.
    """
    driver = Driver(endpoints=8)
    request_id, actions = driver.start_request()
    driver.end_attempt(
        request_id, sends(actions)[0].endpoint_id, outcome, latency_us=5_000, load=(("queue", queue),)
    )
    assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


def test_a_reported_queue_caps_the_limit_at_what_is_in_flight() -> None:
    """Proxies with twice the room they used went on sending more while every endpoint's queue grew."""
    driver = Driver(endpoints=8)
    driver.limit.limit = 30.0
    started = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(10)]
    request_id, actions = started[0]
    driver.end_attempt(request_id, sends(actions)[0].endpoint_id, load=(("queue", 2.0),))
    assert driver.limit.limit <= 10.0


def test_an_overloaded_gateway_has_one_request_in_flight_and_not_two() -> None:
    """Hundreds of gateways that had two out each kept every endpoint's queue full."""
    second_requests_sent = 0
    for seed in range(20):
        driver = Driver(endpoints=8, seed=seed)
        for _ in range(6):
            request_id, actions = driver.start_request()
            driver.end_attempt(request_id, sends(actions)[0].endpoint_id, load=(("queue", 2.0),))
        assert sends(driver.start_request()[1])
        second_requests_sent += bool(sends(driver.start_request()[1]))
    assert second_requests_sent < 10


def test_prompt_answers_raise_the_limit_to_at_most_half_above_what_is_in_flight() -> None:
    """The limit rose to twice what was out, so that a burst jammed the endpoints before it was met."""
    driver = Driver(endpoints=8)
    in_flight = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(5)]
    for _ in range(30):
        request_id, actions = driver.start_request()
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=5_000)
    assert len(in_flight) == 5
    assert INITIAL_LIMIT < driver.limit.limit <= 1.5 * (5 + 1)


def test_latency_a_little_over_unloaded_is_no_overload_under_a_tight_objective() -> None:
    """A quarter of a small slack lay within the work's own scatter, and a quiet day shed half."""
    driver = Driver(endpoints=1)
    driver.classes[0].unloaded_us = 150_000.0  # of an aim of 200 ms
    for latency_us, lowers_limit in ((250_000, False), (310_000, True)):
        request_id, _ = driver.start_request()
        driver.end_attempt(request_id, 0, latency_us=latency_us)
        assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


@pytest.mark.parametrize(("late_weight_share", "lowers_limit"), [(0.0, True), (0.5, False)])
def test_a_longer_wait_is_tolerated_where_late_answers_have_weight(
    late_weight_share: float, lowers_limit: bool
) -> None:
    """At half the worth after the aim a refusal costs more than the wait."""
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
    """Impatient clients hid the jam that they made: what they left taught nothing."""
    driver = Driver(endpoints=1)
    driver.classes[0].unloaded_us = 40_000.0
    request_id, _ = driver.start_request()
    driver.now_us += disconnect_after_us
    driver.handle(ClientDisconnected(request_id))
    assert (driver.limit.limit < INITIAL_LIMIT) == lowers_limit


def test_the_latency_variance_of_a_single_class_does_not_prolong_shedding() -> None:
    """Of what was shed at 0.95 only the dearest class came through; four in ten took a little longer."""
    driver = Driver(Settings(classes=(replace(IDEMPOTENT, late_weight_share=0.0),)), endpoints=2)
    driver.classes[0].unloaded_us = 40_000.0
    for _ in range(60):  # all of them long: with nothing else out the next one goes all the same
        request_id, actions = driver.start_request()
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=150_000)
    assert driver.limit.limit == MIN_LIMIT
    assert driver.admission.shed_share == 0.0
