"""Tests of the rate limit on log events."""

from __future__ import annotations

from load_balancer.decisions.actions import LogEvent
from load_balancer.decisions.rate_limited_log import MIN_LOG_INTERVAL_US
from load_balancer.simulator.codec import format_action
from tests.decisions.driver import Driver


def test_log_lines_are_rate_limited(driver: Driver) -> None:
    first, second = driver.start_request(request_class=7)[1], driver.start_request(request_class=7)[1]
    driver.now_us += MIN_LOG_INTERVAL_US
    third = driver.start_request(request_class=7)[1]
    assert [sum(isinstance(a, LogEvent) for a in actions) for actions in (first, second, third)] == [1, 0, 1]
    (event,) = (a for a in third if isinstance(a, LogEvent))
    assert dict(event.fields)["suppressed"] == 1
    assert format_action(event).endswith(" suppressed=1")
