"""Tests of a request's course from admission to its final answer."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.actions import Cancel, Fail, Reject
from load_balancer.decisions.circuit_breaker import (
    INITIAL_COOLDOWN_US,
)
from load_balancer.decisions.events import (
    ClientDisconnected,
    Outcome,
    StreamStarted,
    TimerFired,
)
from tests.decisions.driver import IDEMPOTENT, SETTINGS, Driver, final_answers, sends, timers, trip


def test_a_rejection_names_the_shortest_cooldown_when_all_breakers_are_open() -> None:
    driver = Driver(endpoints=2)
    for number, endpoint in driver.endpoints.items():
        trip(endpoint.breakers[0], driver.now_us + number * 100_000)
    driver.now_us += 400_000
    request_id, actions = driver.start_request()
    assert final_answers(actions) == [Reject(request_id, 600_000)]


def test_without_endpoints_requests_are_rejected() -> None:
    driver = Driver(endpoints=0)
    request_id, actions = driver.start_request(request_class=2)
    assert final_answers(actions) == [Reject(request_id)]


def test_a_disconnect_ends_the_request(driver: Driver) -> None:
    request_id, actions = driver.start_request()
    assert driver.handle(ClientDisconnected(request_id)) == [Cancel(request_id, 0)]
    assert not final_answers(driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.CANCELLED))
    assert not driver.lifecycle.requests


def test_a_started_stream_is_neither_cancelled_nor_hedged(driver: Driver) -> None:
    request_id, actions = driver.start_request()
    driver.handle(StreamStarted(request_id, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end_attempt(request_id, sends(actions)[0].endpoint_id)
    assert not driver.lifecycle.requests


def test_an_attempt_without_late_weight_times_out_at_the_objective() -> None:
    """Attempts that ran until the client's timeout filled every queue with work that had no weight."""
    driver = Driver(replace(SETTINGS, classes=(replace(IDEMPOTENT, late_weight_share=0.0), IDEMPOTENT)))
    assert sends(driver.start_request(request_class=0)[1])[0].timeout_us < IDEMPOTENT.latency_objective_us
    assert sends(driver.start_request(request_class=1)[1])[0].timeout_us > IDEMPOTENT.latency_objective_us


def test_after_an_empty_list_requests_are_rejected_and_late_outcomes_are_handled(driver: Driver) -> None:
    first, actions = driver.start_request(request_class=2)
    driver.list_endpoints()
    second, answer = driver.start_request()
    assert final_answers(answer) == [Reject(second)]
    assert final_answers(driver.end_attempt(first, sends(actions)[0].endpoint_id, Outcome.RESET)) == [
        Fail(first)
    ]
    assert not driver.lifecycle.requests
    assert driver.limit.in_flight == 0


def test_a_shed_request_gets_a_retry_after() -> None:
    """Without a retry-after, clients retried at once, while the endpoints were still overloaded."""
    driver = Driver(endpoints=1)
    driver.admission.load_shed_share = 0.95
    for limit_us, has_retry_after in ((1_000_000, True), (0, False)):
        driver.change_settings(replace(SETTINGS, max_retry_after_us=limit_us))
        rejections = [
            f for _ in range(20) for f in final_answers(driver.start_request()[1]) if isinstance(f, Reject)
        ]
        assert rejections
        assert all((0 < r.retry_after_us <= limit_us) == has_retry_after for r in rejections)


def test_a_rejection_names_the_cooldown_of_the_requests_own_class_and_tenant() -> None:
    driver = Driver(endpoints=2)
    for number, endpoint in driver.endpoints.items():
        trip(endpoint.breakers[1], driver.now_us + number * 100_000)
    (rejection,) = final_answers(driver.start_request()[1])
    assert isinstance(rejection, Reject)
    assert rejection.retry_after_us == INITIAL_COOLDOWN_US
    assert sends(driver.start_request(request_class=2)[1])
