"""Tests of when the endpoint list is requested."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.actions import SubscribeEndpoints
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import (
    EndpointListReceived,
    TimerFired,
)
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
