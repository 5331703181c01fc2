"""Tests of the balancer's handling of events, with all its parts together."""

from __future__ import annotations

from load_balancer.decisions.actions import Fail
from load_balancer.decisions.endpoint import Endpoint
from load_balancer.decisions.events import (
    ClientDisconnected,
    Outcome,
    TimerFired,
)
from tests.decisions.driver import Driver, final_answers, sends


def test_a_duplicate_request_id_is_ignored(driver: Driver) -> None:
    driver.start_request()
    driver.request_count = 0
    _, actions = driver.start_request()
    assert not sends(actions)
    assert not final_answers(actions)


def test_a_request_of_an_unknown_class_fails(driver: Driver) -> None:
    request_id, actions = driver.start_request(request_class=7)
    assert final_answers(actions) == [Fail(request_id)]


def test_a_finished_request_leaves_no_state() -> None:
    driver = Driver(endpoints=4)
    for n in range(3_000):
        request_id, actions = driver.start_request(request_class=n % 3)
        for send in sends(actions):
            driver.end_attempt(request_id, send.endpoint_id, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_endpoints(*(Endpoint(n + i) for i in range(4)))
        for open_request_id in list(driver.lifecycle.requests):
            driver.handle(ClientDisconnected(open_request_id))
            for i in range(3):
                driver.end_attempt(open_request_id, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.lifecycle.requests
    assert len(balancer.endpoints.by_id) == 4
    assert not balancer.timers.callbacks
    assert len(balancer.endpoints.by_rank) == 4
    assert balancer.concurrency_limit.in_flight == 0


def test_the_clock_of_the_balancer_never_goes_back(driver: Driver) -> None:
    driver.balancer.handle(driver.now_us, ClientDisconnected("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, ClientDisconnected("none"))
    assert driver.balancer.context.now_us == driver.now_us
