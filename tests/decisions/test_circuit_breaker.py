"""The breaker's cycle."""

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


def tripped() -> CircuitBreaker:
    breaker = CircuitBreaker()
    trip(breaker, 0)
    return breaker


def half_open() -> CircuitBreaker:
    breaker = tripped()
    assert breaker.allows_attempt(INITIAL_COOLDOWN_US)
    return breaker


def test_a_breaker_stays_closed_below_the_minimum_of_outcomes() -> None:
    breaker = CircuitBreaker()
    for _ in range(MINIMUM_OUTCOMES - 1):
        assert breaker.record(0, True, 0, 0.0) is None
    assert breaker.state is BreakerState.CLOSED
    assert breaker.record(0, True, 0, 0.0) is BreakerState.OPEN


def test_the_ring_forgets_its_oldest_outcome() -> None:
    breaker = CircuitBreaker()
    breaker.record(0, True, 0, 0.0)
    for _ in range(RING_SIZE):
        breaker.record(0, False, 0, 0.0)
    assert breaker.failures == 0
    assert len(breaker.window) == RING_SIZE


def test_an_open_breaker_lets_nothing_through_until_the_cooldown_ends() -> None:
    breaker = tripped()
    assert not breaker.allows_attempt(INITIAL_COOLDOWN_US - 1)
    assert breaker.allows_attempt(INITIAL_COOLDOWN_US)
    assert breaker.state is BreakerState.HALF_OPEN


def test_a_half_open_breaker_lets_only_its_trials_through() -> None:
    breaker = half_open()
    for _ in range(HALF_OPEN_TRIALS):
        assert breaker.allows_attempt(INITIAL_COOLDOWN_US)
        assert breaker.acquire_trial() == 1
    assert not breaker.allows_attempt(INITIAL_COOLDOWN_US)


def test_good_trials_close_and_empty_the_ring() -> None:
    breaker = half_open()
    for _ in range(HALF_OPEN_TRIALS):
        breaker.acquire_trial()
    results = [breaker.record(INITIAL_COOLDOWN_US, False, 1, 0.0) for _ in range(HALF_OPEN_TRIALS)]
    assert results[-1] is BreakerState.CLOSED
    assert not breaker.window
    assert breaker.failures == 0


def test_bad_trials_reopen_for_longer() -> None:
    breaker = half_open()
    for _ in range(HALF_OPEN_TRIALS):
        breaker.acquire_trial()
    breaker.record(INITIAL_COOLDOWN_US, True, 1, 0.0)
    assert breaker.record(INITIAL_COOLDOWN_US, True, 1, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == 3 * INITIAL_COOLDOWN_US


def test_in_half_open_only_trials_count() -> None:
    breaker = half_open()
    breaker.acquire_trial()
    for _ in range(RING_SIZE):
        assert breaker.record(INITIAL_COOLDOWN_US, True, 0, 0.0) is None
    assert breaker.state is BreakerState.HALF_OPEN
    assert breaker.trials_in_flight == 1


def test_late_outcomes_enter_the_ring_and_restart_the_cooldown() -> None:
    breaker = tripped()
    assert breaker.record(INITIAL_COOLDOWN_US // 2, True, 0, 0.0) is BreakerState.OPEN
    assert breaker.open_until_us == INITIAL_COOLDOWN_US // 2 + INITIAL_COOLDOWN_US


def test_failures_that_all_endpoints_share_open_no_breaker() -> None:
    breaker = CircuitBreaker()
    for n in range(RING_SIZE):
        breaker.record(0, n % 2 == 0, 0, 0.5)
    assert breaker.state is BreakerState.CLOSED


def test_an_endpoint_that_fails_is_ejected() -> None:
    driver = Driver(endpoints=3)
    for _ in range(200):
        name, actions = driver.arrive()
        endpoint = sends(actions)[0].endpoint_id
        actions = driver.end(name, endpoint, Outcome.ERROR if endpoint == 0 else Outcome.OK)
        for again in sends(actions):
            driver.end(name, again.endpoint_id, attempt=1)
    assert driver.endpoints[0].breakers[0].state is BreakerState.OPEN
    for _ in range(50):
        name, actions = driver.arrive()
        assert sends(actions)[0].endpoint_id != 0
        driver.end(name, sends(actions)[0].endpoint_id)


def test_a_failed_connect_is_one_failure_among_others() -> None:
    """Where handshakes were slow, one failed connect shut out endpoints whose open connections worked."""
    driver = Driver(endpoints=1)
    for n in range(MINIMUM_OUTCOMES):
        assert driver.endpoints[0].breakers[0].state is BreakerState.CLOSED
        name, actions = driver.arrive(request_class=n % 3)
        driver.end(name, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert driver.endpoints[0].breakers[0].state is BreakerState.OPEN
