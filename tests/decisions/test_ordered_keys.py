"""Requests of one key in order."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.actions import Cancel, Reject
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus
from load_balancer.decisions.events import (
    ClientDisconnected,
    Outcome,
    TimerFired,
)
from tests.decisions.driver import IDEMPOTENT, NON_IDEMPOTENT, SETTINGS, Driver, finals, sends, timers

ORDERED = replace(
    SETTINGS, classes=(IDEMPOTENT, replace(NON_IDEMPOTENT, ordered=True)), ordered_key_delay_us=50_000
)


def test_ordered_requests_of_one_key_take_turns() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(request_class=1, key=7)
    endpoint = sends(actions)[0].endpoint_id
    second, actions = driver.arrive(request_class=1, key=7)
    assert not sends(actions)
    assert not finals(actions)
    assert sends(driver.arrive(request_class=1, key=8)[1])
    assert sends(driver.arrive(request_class=1)[1])
    assert [s.request_id for s in sends(driver.end(first, endpoint))] == [second]


def test_a_request_is_not_forwarded_if_its_client_disconnects_before_its_turn() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(request_class=1, key=7)
    endpoint = sends(actions)[0].endpoint_id
    second, _ = driver.arrive(request_class=1, key=7)
    third, _ = driver.arrive(request_class=1, key=7)
    assert not driver.handle(ClientDisconnected(second))
    assert [s.request_id for s in sends(driver.end(first, endpoint))] == [third]
    driver.end(third, endpoint)
    assert not driver.lifecycle.requests
    assert not driver.lifecycle.ordered_keys.queues


def test_a_key_is_delayed_after_an_attempt_that_may_still_run() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(request_class=1, key=7)
    endpoint = sends(actions)[0].endpoint_id
    second, _ = driver.arrive(request_class=1, key=7)
    assert driver.handle(ClientDisconnected(first)) == [Cancel(first, 0)]
    (rest,) = timers(driver.end(first, endpoint, Outcome.CANCELLED))
    assert rest.due_us == driver.now_us + 50_000
    driver.now_us = rest.due_us - 1
    third, actions = driver.arrive(request_class=1, key=7)
    assert not sends(actions)
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request_id == second
    driver.end(second, send.endpoint_id)
    driver.end(third, 0)
    for timer in driver.timers:
        driver.now_us = max(driver.now_us, timer.due_us)
        driver.handle(TimerFired(timer.token))
    assert third
    assert not driver.balancer.timers.callbacks


def test_a_request_whose_turn_would_come_too_late_is_rejected() -> None:
    driver = Driver(ORDERED)
    driver.arrive(request_class=1, key=7)
    least_us = int(driver.classes[1].unloaded_us)
    late, actions = driver.arrive(request_class=1, key=7, timeout_us=2 * least_us - 1)
    assert finals(actions) == [Reject(late)]
    waiting, actions = driver.arrive(request_class=1, key=7, timeout_us=2 * least_us + 1_000)
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert finals(driver.handle(TimerFired(timer.token))) == [Reject(waiting)]


def test_many_rejected_at_once_are_answered_without_recursion() -> None:
    driver = Driver(ORDERED, endpoints=1)
    first, _ = driver.arrive(request_class=1, key=7, timeout_us=10**9)
    driver.classes[1].unloaded_us = 0.0
    waiting = [driver.arrive(request_class=1, key=7, timeout_us=10**9)[0] for _ in range(2_000)]
    driver.list_endpoints(Endpoint(0, EndpointStatus.DRAINING))
    answers = finals(driver.end(first, 0))
    assert answers == [Reject(name) for name in waiting]
    assert not driver.lifecycle.ordered_keys.queues
