"""Fixtures of the decision tests."""

from __future__ import annotations

import pytest

from load_balancer.decisions.circuit_breaker import INITIAL_COOLDOWN_US
from tests.decisions.driver import Driver, trip


@pytest.fixture
def driver() -> Driver:
    """Return a driver of a balancer with three endpoints."""
    return Driver()


@pytest.fixture
def driver_after_cooldown() -> Driver:
    """Return a driver of a balancer with three endpoints, whose breakers' cooldowns have just ended."""
    driver = Driver(endpoints=3)
    for endpoint in driver.endpoints.values():
        trip(endpoint.breakers[0], driver.now_us)
    driver.now_us += INITIAL_COOLDOWN_US
    return driver
