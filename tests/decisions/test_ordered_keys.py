"""Tests of the order of requests with the same key."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.actions import Cancel, Reject
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus
from load_balancer.decisions.events import (
    ClientDisconnected,
    Outcome,
    TimerFired,
)
from tests.decisions.driver import IDEMPOTENT, NON_IDEMPOTENT, SETTINGS, Driver, final_answers, sends, timers

ORDERED = replace(
    SETTINGS, classes=(IDEMPOTENT, replace(NON_IDEMPOTENT, ordered=True)), ordered_key_delay_us=50_000
)


def test_ordered_requests_of_one_key_run_one_after_another() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.start_request(request_class=1, key=7)
    endpoint_id = sends(actions)[0].endpoint_id
    second, actions = driver.start_request(request_class=1, key=7)
    assert not sends(actions)
    assert not final_answers(actions)
    assert sends(driver.start_request(request_class=1, key=8)[1])
    assert sends(driver.start_request(request_class=1)[1])
    assert [s.request_id for s in sends(driver.end_attempt(first, endpoint_id))] == [second]


def test_a_request_is_not_forwarded_if_its_client_disconnects_before_its_turn() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.start_request(request_class=1, key=7)
    endpoint_id = sends(actions)[0].endpoint_id
    second, _ = driver.start_request(request_class=1, key=7)
    third, _ = driver.start_request(request_class=1, key=7)
    assert not driver.handle(ClientDisconnected(second))
    assert [s.request_id for s in sends(driver.end_attempt(first, endpoint_id))] == [third]
    driver.end_attempt(third, endpoint_id)
    assert not driver.lifecycle.requests
    assert not driver.lifecycle.ordered_keys.queues


def test_a_key_is_delayed_after_an_attempt_that_may_still_run() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.start_request(request_class=1, key=7)
    endpoint_id = sends(actions)[0].endpoint_id
    second, _ = driver.start_request(request_class=1, key=7)
    assert driver.handle(ClientDisconnected(first)) == [Cancel(first, 0)]
    (delay_timer,) = timers(driver.end_attempt(first, endpoint_id, Outcome.CANCELLED))
    assert delay_timer.due_us == driver.now_us + 50_000
    driver.now_us = delay_timer.due_us - 1
    third, actions = driver.start_request(request_class=1, key=7)
    assert not sends(actions)
    driver.now_us = delay_timer.due_us
    (send,) = sends(driver.handle(TimerFired(delay_timer.token)))
    assert send.request_id == second
    driver.end_attempt(second, send.endpoint_id)
    driver.end_attempt(third, 0)
    for timer in driver.timers:
        driver.now_us = max(driver.now_us, timer.due_us)
        driver.handle(TimerFired(timer.token))
    assert third
    assert not driver.balancer.timers.callbacks


def test_a_request_whose_turn_would_come_too_late_is_rejected() -> None:
    driver = Driver(ORDERED)
    driver.start_request(request_class=1, key=7)
    unloaded_us = int(driver.classes[1].unloaded_us)
    hopeless, actions = driver.start_request(request_class=1, key=7, timeout_us=2 * unloaded_us - 1)
    assert final_answers(actions) == [Reject(hopeless)]
    waiting, actions = driver.start_request(request_class=1, key=7, timeout_us=2 * unloaded_us + 1_000)
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert final_answers(driver.handle(TimerFired(timer.token))) == [Reject(waiting)]


def test_many_waiting_requests_are_rejected_at_once_without_recursion() -> None:
    driver = Driver(ORDERED, endpoints=1)
    first, _ = driver.start_request(request_class=1, key=7, timeout_us=10**9)
    driver.classes[1].unloaded_us = 0.0
    waiting = [driver.start_request(request_class=1, key=7, timeout_us=10**9)[0] for _ in range(2_000)]
    driver.list_endpoints(Endpoint(0, EndpointStatus.DRAINING))
    rejections = final_answers(driver.end_attempt(first, 0))
    assert rejections == [Reject(request_id) for request_id in waiting]
    assert not driver.lifecycle.ordered_keys.queues
