"""What is sent once more, hedged or moved."""

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
from tests.decisions.driver import SETTINGS, WITH_IDEMPOTENCY_KEY, Driver, finals, sends, timers


def test_a_non_idempotent_request_that_may_have_run_fails_at_once(driver: Driver) -> None:
    name, actions = driver.arrive(request_class=2)
    answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET)
    assert finals(answer) == [Fail(name)]
    assert not sends(answer)


def test_a_non_idempotent_request_that_never_ran_is_retried_elsewhere(driver: Driver) -> None:
    name, actions = driver.arrive(request_class=2)
    first = sends(actions)[0].endpoint_id
    again = sends(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(again) == 1
    assert again[0].endpoint_id != first


def test_a_retry_with_an_idempotency_key_stays_in_its_group_and_window() -> None:
    driver = Driver(endpoints=6)
    name, actions = driver.arrive(request_class=1)
    first = sends(actions)[0].endpoint_id
    again = sends(driver.end(name, first, Outcome.RESET))
    assert again[0].endpoint_id % 2 == first % 2
    name, actions = driver.arrive(request_class=1)
    driver.now_us += WITH_IDEMPOTENCY_KEY.deduplication_window_us
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET)) == [Fail(name)]


def test_a_request_whose_key_is_deduplicated_everywhere_may_be_rejected() -> None:
    anywhere = replace(WITH_IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR)) == [Reject(name)]


def test_attempts_are_limited() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), endpoints=5)
    name, actions = driver.arrive()
    again = sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR))
    assert finals(driver.end(name, again[0].endpoint_id, Outcome.ERROR, attempt=1)) == [Reject(name)]


def test_an_overdue_attempt_is_hedged_and_the_slower_one_is_cancelled(
    driver: Driver,
) -> None:
    driver.classes[0].smoothed_us = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_LATENCY_FACTOR * 20_000)
    driver.now_us = timer.due_us
    copy = sends(driver.handle(TimerFired(timer.token)))[0]
    assert copy.endpoint_id != first
    assert driver.end(name, copy.endpoint_id, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    assert driver.endpoints[first].breakers[0].failures == 1  # overdue, so the silence counts
    assert not driver.lifecycle.requests


def test_no_hedged_request_where_none_is_allowed() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.classes[0].smoothed_us = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_overdue_attempt_is_cancelled_for_another_where_hedging_is_not_allowed() -> None:
    """A safe request whose answer had stalled waited for its deadline, with endpoints idle beside it."""
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.classes[0].smoothed_us = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [Cancel(name, 0)]
    (again,) = sends(driver.end(name, first, Outcome.CANCELLED))
    assert again.endpoint_id != first
    driver.end(name, again.endpoint_id, attempt=1)
    assert not driver.lifecycle.requests


def test_an_overdue_attempt_continues_where_no_other_endpoint_may_take_it() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False), endpoints=1)
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == []


def test_no_hedging_and_no_retry_of_what_may_have_run_while_anything_is_shed(driver: Driver) -> None:
    """Three hundred gateways doubled their work at the first jam, and the fleet never left it."""
    driver.admission.load_shed_share = SHED_SHARE_STEP
    driver.balancer.random.seed(1)
    name, actions = driver.arrive(request_class=0)
    while not sends(actions):
        name, actions = driver.arrive(request_class=0)
    driver.admission.load_shed_share = SHED_SHARE_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.TIMEOUT))


@pytest.mark.parametrize("unproven", [False, True])
def test_a_rejection_is_no_proof_where_the_settings_say_so(unproven: bool) -> None:
    driver = Driver(replace(SETTINGS, rejected_may_have_run=unproven))
    name, actions = driver.arrive(request_class=2)
    answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
    assert (finals(answer) == [Fail(name)]) == unproven
    assert bool(sends(answer)) != unproven
