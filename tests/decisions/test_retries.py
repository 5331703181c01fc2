"""Tests of retries, hedged requests and attempts that are moved to another endpoint."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.actions import Cancel, Fail, Reject
from load_balancer.decisions.admission import SHED_SHARE_STEP
from load_balancer.decisions.events import (
    Outcome,
    TimerFired,
)
from load_balancer.decisions.latency import OVERDUE_LATENCY_FACTOR
from load_balancer.decisions.settings import DeduplicationScope
from tests.decisions.driver import SETTINGS, WITH_IDEMPOTENCY_KEY, Driver, final_answers, sends, timers


def test_a_non_idempotent_request_that_may_have_run_fails_at_once(driver: Driver) -> None:
    request_id, actions = driver.start_request(request_class=2)
    answer = driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.RESET)
    assert final_answers(answer) == [Fail(request_id)]
    assert not sends(answer)


def test_a_non_idempotent_request_that_never_ran_is_retried_elsewhere(driver: Driver) -> None:
    request_id, actions = driver.start_request(request_class=2)
    first_endpoint_id = sends(actions)[0].endpoint_id
    retries = sends(driver.end_attempt(request_id, first_endpoint_id, Outcome.CONNECT_FAILED))
    assert len(retries) == 1
    assert retries[0].endpoint_id != first_endpoint_id


def test_a_retry_with_an_idempotency_key_stays_in_its_group_and_window() -> None:
    driver = Driver(endpoints=6)
    request_id, actions = driver.start_request(request_class=1)
    first_endpoint_id = sends(actions)[0].endpoint_id
    retries = sends(driver.end_attempt(request_id, first_endpoint_id, Outcome.RESET))
    assert retries[0].endpoint_id % 2 == first_endpoint_id % 2
    request_id, actions = driver.start_request(request_class=1)
    driver.now_us += WITH_IDEMPOTENCY_KEY.deduplication_window_us
    assert final_answers(driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.RESET)) == [
        Fail(request_id)
    ]


def test_a_retry_with_an_idempotency_key_has_to_be_written_within_its_window() -> None:
    """Only the decision was made within the window; written later, the request took effect twice."""
    driver = Driver(replace(SETTINGS, may_hedge=False), endpoints=6)
    window_ends_us = driver.now_us + WITH_IDEMPOTENCY_KEY.deduplication_window_us
    request_id, actions = driver.start_request(request_class=1)
    (first,) = sends(actions)
    driver.now_us += 1_000
    (second,) = sends(driver.end_attempt(request_id, first.endpoint_id, Outcome.CONNECT_FAILED))
    (third,) = sends(driver.end_attempt(request_id, second.endpoint_id, Outcome.RESET, attempt=1))
    assert first.write_by_us is None  # nothing can have run before
    assert second.write_by_us is None
    assert third.write_by_us == window_ends_us + 1_000


@pytest.mark.parametrize(("request_class", "is_limited"), [(0, False), (1, True), (2, False)])
def test_a_first_attempt_that_may_be_hedged_has_to_be_written_within_the_window(
    driver: Driver, request_class: int, is_limited: bool
) -> None:
    """While it waits for its connection, the hedged request may run and fail, and it would run again."""
    (first,) = sends(driver.start_request(request_class=request_class)[1])
    window_ends_us = driver.now_us + WITH_IDEMPOTENCY_KEY.deduplication_window_us
    assert first.write_by_us == (window_ends_us if is_limited else None)


def test_a_request_whose_key_is_deduplicated_everywhere_may_be_rejected() -> None:
    deduplicated_everywhere = replace(WITH_IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(deduplicated_everywhere,), max_attempts=1))
    request_id, actions = driver.start_request()
    assert final_answers(driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.ERROR)) == [
        Reject(request_id)
    ]


def test_attempts_are_limited() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), endpoints=5)
    request_id, actions = driver.start_request()
    retries = sends(driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.ERROR))
    assert final_answers(
        driver.end_attempt(request_id, retries[0].endpoint_id, Outcome.ERROR, attempt=1)
    ) == [Reject(request_id)]


def test_an_overdue_attempt_is_hedged_and_the_slower_one_is_cancelled(
    driver: Driver,
) -> None:
    driver.classes[0].smoothed_us = 20_000.0
    request_id, actions = driver.start_request()
    first_endpoint_id = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_LATENCY_FACTOR * 20_000)
    driver.now_us = timer.due_us
    hedge = sends(driver.handle(TimerFired(timer.token)))[0]
    assert hedge.endpoint_id != first_endpoint_id
    assert driver.end_attempt(request_id, hedge.endpoint_id, attempt=1) == [Cancel(request_id, 0)]
    driver.end_attempt(request_id, first_endpoint_id, Outcome.CANCELLED)
    assert driver.endpoints[first_endpoint_id].breakers[0].failures == 1  # as it was overdue
    assert not driver.lifecycle.requests


def test_no_request_is_hedged_where_hedging_is_not_allowed() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.classes[0].smoothed_us = 20_000.0
    _, actions = driver.start_request()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_overdue_attempt_is_moved_to_another_endpoint_where_hedging_is_not_allowed() -> None:
    """An idempotent request with a stalled answer waited for its deadline while other endpoints were idle."""
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.classes[0].smoothed_us = 20_000.0
    request_id, actions = driver.start_request()
    first_endpoint_id = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [Cancel(request_id, 0)]
    (retry,) = sends(driver.end_attempt(request_id, first_endpoint_id, Outcome.CANCELLED))
    assert retry.endpoint_id != first_endpoint_id
    driver.end_attempt(request_id, retry.endpoint_id, attempt=1)
    assert not driver.lifecycle.requests


def test_an_overdue_attempt_continues_where_no_other_endpoint_is_available() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False), endpoints=1)
    _, actions = driver.start_request()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == []


def test_no_hedging_and_no_retry_of_requests_that_may_have_run_while_load_is_shed(driver: Driver) -> None:
    """By retrying and hedging, 300 gateways doubled the load at the first overload and never recovered."""
    driver.admission.load_shed_share = SHED_SHARE_STEP
    driver.balancer.random.seed(1)
    request_id, actions = driver.start_request(request_class=0)
    while not sends(actions):
        request_id, actions = driver.start_request(request_class=0)
    driver.admission.load_shed_share = SHED_SHARE_STEP * 3
    assert not sends(driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.TIMEOUT))


@pytest.mark.parametrize("may_have_run", [False, True])
def test_a_rejected_request_is_not_sent_again_where_it_may_have_run(may_have_run: bool) -> None:
    driver = Driver(replace(SETTINGS, rejected_may_have_run=may_have_run))
    request_id, actions = driver.start_request(request_class=2)
    answer = driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.REJECTED)
    assert (final_answers(answer) == [Fail(request_id)]) == may_have_run
    assert bool(sends(answer)) != may_have_run
