"""Tests of when the endpoint list is requested."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.actions import PollEndpoints, SubscribeEndpoints
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import (
    EndpointListReceived,
    EndpointListSkipped,
    Event,
    TimerFired,
)
from load_balancer.decisions.list_polling import MAX_POLL_BACKOFF_US, MAX_RESYNC_WAIT_US
from tests.decisions.driver import SETTINGS, Driver, timers


def test_the_endpoint_list_is_subscribed_to_again_after_each_error() -> None:
    driver = Driver(replace(SETTINGS, endpoints_are_pushed=False), endpoints=0)
    (timer,) = timers(driver.list_endpoints(Endpoint(1), kind=ListKind.CACHED))
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5  # spread over time
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [SubscribeEndpoints()]
    for _ in range(8):
        (timer,) = timers(driver.handle(EndpointListReceived(ListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [SubscribeEndpoints()]
    assert list(driver.endpoints) == [1]


def wait_for_poll_us(driver: Driver, event: Event) -> int:
    """Handle an event after which the complete list is fetched; returns the wait, and lets it pass."""
    began_us = driver.now_us
    waits = timers(driver.handle(event))
    for timer in sorted(waits, key=lambda each: each.due_us):
        driver.now_us = timer.due_us
        if PollEndpoints() in driver.handle(TimerFired(timer.token)):
            return timer.due_us - began_us
    pytest.fail("the complete list is not fetched")


@pytest.mark.parametrize("are_pushed", [False, True])
@pytest.mark.parametrize(
    "missed", [EndpointListSkipped(), EndpointListReceived(ListKind.DELTA, is_partial=True)]
)
def test_the_complete_list_is_fetched_until_one_is_applied_whole(missed: Event, are_pushed: bool) -> None:
    driver = Driver(replace(SETTINGS, endpoints_are_pushed=are_pushed), endpoints=1)
    partial_list = EndpointListReceived(ListKind.COMPLETE, (Endpoint(1),), is_partial=True)
    events = [missed, partial_list] * 8
    waits_us = [wait_for_poll_us(driver, event) for event in events]
    assert waits_us[0] <= 100_000
    assert waits_us[1] < waits_us[3] < waits_us[5]
    assert max(waits_us) <= MAX_RESYNC_WAIT_US < 3 * max(waits_us)
    assert len(set(waits_us)) == len(waits_us)
    driver.handle(EndpointListReceived(ListKind.COMPLETE, (Endpoint(1),)))
    assert not driver.balancer.polling.needs_complete_list
    assert wait_for_poll_us(driver, missed) <= 100_000


def test_the_complete_list_is_fetched_once_for_several_skipped_messages() -> None:
    driver = Driver(replace(SETTINGS, endpoints_are_pushed=True), endpoints=1)
    (timer,) = timers(driver.handle(EndpointListSkipped()))
    assert driver.handle(EndpointListSkipped()) == []
    driver.handle(EndpointListReceived(ListKind.COMPLETE, (Endpoint(1),)))
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == []  # the list has come meanwhile


def test_a_failed_fetch_of_the_complete_list_is_repeated_as_soon_as_any_call() -> None:
    """With the wait after answers that cannot be used, a change would be known after its deadline of 6 s."""
    driver = Driver(replace(SETTINGS, endpoints_are_pushed=False), endpoints=1)
    wait_for_poll_us(driver, EndpointListSkipped())
    waits_us = [wait_for_poll_us(driver, EndpointListReceived(ListKind.ERROR)) for _ in range(12)]
    assert max(waits_us) <= MAX_POLL_BACKOFF_US
