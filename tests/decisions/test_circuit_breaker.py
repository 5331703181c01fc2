"""Tests of the circuit breaker: its states, its outcomes and its cooldown."""

from __future__ import annotations

from load_balancer.decisions.circuit_breaker import (
    HALF_OPEN_TRIALS,
    INITIAL_COOLDOWN_US,
    MINIMUM_OUTCOMES,
    RING_SIZE,
    BreakerState,
    CircuitBreaker,
)
from load_balancer.decisions.events import (
    Outcome,
)
from tests.decisions.driver import Driver, sends, trip


def open_breaker() -> CircuitBreaker:
    breaker = CircuitBreaker()
    trip(breaker, 0)
    return breaker


def half_open_breaker() -> CircuitBreaker:
    breaker = open_breaker()
    assert breaker.allows_attempt(INITIAL_COOLDOWN_US)
    return breaker


def test_a_breaker_stays_closed_below_the_minimum_of_outcomes() -> None:
    breaker = CircuitBreaker()
    for _ in range(MINIMUM_OUTCOMES - 1):
        assert breaker.record(0, True, 0, 0.0) is None
    assert breaker.state is BreakerState.CLOSED
    assert breaker.record(0, True, 0, 0.0) is BreakerState.OPEN


def test_a_full_window_drops_its_oldest_outcome() -> None:
    breaker = CircuitBreaker()
    breaker.record(0, True, 0, 0.0)
    for _ in range(RING_SIZE):
        breaker.record(0, False, 0, 0.0)
    assert breaker.failures == 0
    assert len(breaker.window) == RING_SIZE


def test_an_open_breaker_allows_no_request_until_the_cooldown_ends() -> None:
    breaker = open_breaker()
    assert not breaker.allows_attempt(INITIAL_COOLDOWN_US - 1)
    assert breaker.allows_attempt(INITIAL_COOLDOWN_US)
    assert breaker.state is BreakerState.HALF_OPEN


def test_a_half_open_breaker_allows_only_its_trials() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_TRIALS):
        assert breaker.allows_attempt(INITIAL_COOLDOWN_US)
        assert breaker.acquire_trial() == 1
    assert not breaker.allows_attempt(INITIAL_COOLDOWN_US)


def test_successful_trials_close_the_breaker_and_clear_its_outcomes() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_TRIALS):
        breaker.acquire_trial()
    results = [breaker.record(INITIAL_COOLDOWN_US, False, 1, 0.0) for _ in range(HALF_OPEN_TRIALS)]
    assert results[-1] is BreakerState.CLOSED
    assert not breaker.window
    assert breaker.failures == 0


def test_failed_trials_reopen_the_breaker_with_a_longer_cooldown() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_TRIALS):
        breaker.acquire_trial()
    breaker.record(INITIAL_COOLDOWN_US, True, 1, 0.0)
    assert breaker.record(INITIAL_COOLDOWN_US, True, 1, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == 3 * INITIAL_COOLDOWN_US


def test_a_half_open_breaker_counts_only_the_outcomes_of_trials() -> None:
    breaker = half_open_breaker()
    breaker.acquire_trial()
    for _ in range(RING_SIZE):
        assert breaker.record(INITIAL_COOLDOWN_US, True, 0, 0.0) is None
    assert breaker.state is BreakerState.HALF_OPEN
    assert breaker.trials_in_flight == 1


def test_a_failure_while_the_breaker_is_open_restarts_the_cooldown() -> None:
    breaker = open_breaker()
    assert breaker.record(INITIAL_COOLDOWN_US // 2, True, 0, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == INITIAL_COOLDOWN_US // 2 + INITIAL_COOLDOWN_US


def test_a_failure_rate_that_all_endpoints_share_opens_no_breaker() -> None:
    breaker = CircuitBreaker()
    for n in range(RING_SIZE):
        breaker.record(0, n % 2 == 0, 0, 0.5)
    assert breaker.state is BreakerState.CLOSED


def test_an_endpoint_that_fails_is_ejected() -> None:
    driver = Driver(endpoints=3)
    for _ in range(200):
        request_id, actions = driver.start_request()
        endpoint_id = sends(actions)[0].endpoint_id
        actions = driver.end_attempt(
            request_id, endpoint_id, Outcome.ERROR if endpoint_id == 0 else Outcome.OK
        )
        for retry in sends(actions):
            driver.end_attempt(request_id, retry.endpoint_id, attempt=1)
    assert driver.endpoints[0].breakers[0].state is BreakerState.OPEN
    for _ in range(50):
        request_id, actions = driver.start_request()
        assert sends(actions)[0].endpoint_id != 0
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id)


def test_a_failed_connect_counts_as_one_failure() -> None:
    """With slow handshakes, one failed connect excluded endpoints whose open connections still worked."""
    driver = Driver(endpoints=1)
    for n in range(MINIMUM_OUTCOMES):
        assert driver.endpoints[0].breakers[0].state is BreakerState.CLOSED
        request_id, actions = driver.start_request(request_class=n % 3)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert driver.endpoints[0].breakers[0].state is BreakerState.OPEN
