"""Circuit breakers: one for all requests to an endpoint, and one for each class and tenant that it serves.

A breaker has a sliding window of the last `RING_SIZE` outcomes. Enough failures among them open it, and no
attempt is sent while it is open. After a cooldown it is half-open and allows `HALF_OPEN_TRIALS` attempts as
trials, whose outcomes close it or open it again.

A breaker is created at the first outcome for its key, as there are too many combinations of endpoint, class
and tenant to store one for each. A missing breaker is equivalent to a new one: closed and without outcomes.
The registry maintains totals, so that no decision iterates over all endpoints, classes or tenants.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum

from load_balancer.decisions.settings_version import SettingsVersion

RING_SIZE = 10  # Outcomes in the window: a second or less of one gateway's traffic to one endpoint.
MINIMUM_OUTCOMES = 5  # Outcomes that the window must contain before failures may open the breaker.
FAILURE_THRESHOLD = 0.5  # Share of failures that opens the breaker, beyond the share of the whole fleet.
HALF_OPEN_TRIALS = 3  # Trials of a half-open breaker, whose outcomes close it or open it again.
INITIAL_COOLDOWN_US = 1_000_000  # The cooldown doubles each time that trials open the breaker again.
MAX_COOLDOWN_US = 8_000_000
BREAKER_EXPIRY_US = 60_000_000  # Time since its last outcome after which a closed breaker is dropped.
ALL_REQUESTS = 0  # Key of the breaker for all requests to an endpoint.
KEYS_PER_CLASS = 2**32  # Breaker keys reserved for the tenants of one class.


def breaker_key(class_id: int, tenant_id: int) -> int:
    """Return the key of the breaker for one class and tenant, which is at least 1."""
    return class_id * KEYS_PER_CLASS + tenant_id + 1


def split_breaker_key(key: int) -> tuple[int, int]:
    """Return the class id and the tenant id of a key from `breaker_key`."""
    return divmod(key - 1, KEYS_PER_CLASS)


class BreakerState(Enum):
    """The state of a circuit breaker, which decides whether it allows attempts."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """A circuit breaker for one endpoint, for all requests or for those of one class and tenant.

    Attributes:
        endpoint_breakers: The endpoint's breakers, of which this is one; None for a breaker on its own.
        key: `ALL_REQUESTS`, or a key from `breaker_key`.
        registry: The registry that counts this breaker.
        window: The last outcomes, a byte each, the oldest first; 1 is a failure.
        failures: Number of failures in the window.
        state: Whether the breaker is closed, open or half-open.
        last_outcome_us: When the last outcome was recorded.
        open_until_us: When the current cooldown ends.
        cooldown_us: Length of the current or the next cooldown, in microseconds.
        half_open_period: Number of the current half-open period; attempts sent within it are its trials.
        trials_in_flight: Number of trials without an outcome.
        trial_results: For each trial with an outcome, whether it failed.
    """

    __slots__ = (
        "cooldown_us",
        "endpoint_breakers",
        "failures",
        "half_open_period",
        "key",
        "last_outcome_us",
        "open_until_us",
        "registry",
        "state",
        "trial_results",
        "trials_in_flight",
        "window",
    )

    def __init__(self, endpoint_breakers: EndpointBreakers | None = None, key: int = ALL_REQUESTS) -> None:
        self.endpoint_breakers = endpoint_breakers
        self.key = key
        self.registry = endpoint_breakers.registry if endpoint_breakers is not None else BreakerRegistry()
        self.window = b""
        self.failures = 0
        self.state = BreakerState.CLOSED
        self.last_outcome_us = 0
        self.open_until_us = 0
        self.cooldown_us = INITIAL_COOLDOWN_US
        self.half_open_period = 0
        self.trials_in_flight = 0
        self.trial_results: tuple[bool, ...] = ()

    def allows_attempt(self, now_us: int) -> bool:
        """Return whether an attempt may be sent; an open breaker whose cooldown is over becomes half-open."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            if now_us < self.open_until_us:
                return False
            self._enter_half_open()
        return self.trials_in_flight + len(self.trial_results) < HALF_OPEN_TRIALS

    def acquire_trial(self) -> int:
        """Count an attempt as a trial if half-open; return the half-open period, or 0 if it is no trial."""
        if self.state is not BreakerState.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.half_open_period

    def release_trial(self, trial_period: int) -> None:
        """Release a trial whose outcome says nothing about the endpoint, so that another may be sent."""
        if self.state is BreakerState.HALF_OPEN and trial_period == self.half_open_period:
            self.trials_in_flight -= 1

    def record(
        self, now_us: int, failed: bool, trial_period: int, fleet_failure_share: float
    ) -> BreakerState | None:
        """Record an outcome.

        Args:
            now_us: The time in microseconds.
            failed: Whether the attempt failed.
            trial_period: What `acquire_trial` returned when the attempt was sent.
            fleet_failure_share: Expected share of failures from causes other than this endpoint, from 0 to 1.

        Returns:
            The new state if the outcome opened or closed the breaker, else None.
        """
        self.registry.remove(self)
        self.last_outcome_us = now_us
        if self.state is BreakerState.HALF_OPEN:
            new_state = self._record_trial(now_us, failed, trial_period)
        else:
            new_state = self._record_in_window(now_us, failed, fleet_failure_share)
        self.registry.insert(self)
        return new_state

    def _enter_half_open(self) -> None:
        registry = self.registry
        registry.remove(self)
        self.state = BreakerState.HALF_OPEN
        registry.insert(self)
        registry.half_open_period_count += 1  # Unique, so that trials of a dropped breaker never match.
        self.half_open_period = registry.half_open_period_count
        self.trials_in_flight = 0
        self.trial_results = ()

    def _record_trial(self, now_us: int, failed: bool, trial_period: int) -> BreakerState | None:
        if trial_period != self.half_open_period:
            return None  # While half-open, only the outcomes of trials count.
        self.trials_in_flight -= 1
        self.trial_results += (failed,)
        failed_share = sum(self.trial_results) / HALF_OPEN_TRIALS
        if failed_share >= FAILURE_THRESHOLD:  # The outcomes of the other trials cannot change this.
            self.cooldown_us = min(2 * self.cooldown_us, MAX_COOLDOWN_US)
            return self._open(now_us)
        return self._close() if len(self.trial_results) == HALF_OPEN_TRIALS else None

    def _record_in_window(self, now_us: int, failed: bool, fleet_failure_share: float) -> BreakerState | None:
        if len(self.window) == RING_SIZE:
            self.failures -= self.window[0]
        self.window = self.window[1 - RING_SIZE :] + (b"\1" if failed else b"\0")
        self.failures += failed
        failure_limit = len(self.window) * (
            fleet_failure_share + (1.0 - fleet_failure_share) * FAILURE_THRESHOLD
        )
        if failed and len(self.window) >= MINIMUM_OUTCOMES and self.failures >= failure_limit:
            return self._open(now_us)
        return None

    def _open(self, now_us: int) -> BreakerState:
        self.state = BreakerState.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def _close(self) -> BreakerState:
        self.state = BreakerState.CLOSED
        self.window = b""
        self.failures = 0
        self.cooldown_us = INITIAL_COOLDOWN_US
        return self.state


class EndpointBreakers(dict[int, CircuitBreaker]):
    """One endpoint's breakers by key.

    Indexing with the key of a missing breaker creates it, closed and without outcomes; `get` does not.

    Attributes:
        registry: The registry that counts these breakers.
        recent_outcomes: For each of the endpoint's last outcomes, the oldest first, the breaker key of its
            request and whether it failed; cleared when the breaker for all requests is dropped.
    """

    __slots__ = ("recent_outcomes", "registry")

    def __init__(self, registry: BreakerRegistry) -> None:
        super().__init__()
        self.registry = registry
        self.recent_outcomes: list[tuple[int, bool]] = []

    def __missing__(self, key: int) -> CircuitBreaker:
        breaker = self[key] = CircuitBreaker(self, key)
        return breaker

    def detach(self) -> None:
        """Move the breakers to a registry of their own, so that the shared totals no longer count them."""
        detached_registry = BreakerRegistry(self.registry.half_open_period_count)
        for breaker in self.values():
            self.registry.remove(breaker)
            breaker.registry = detached_registry
            detached_registry.insert(breaker)
        self.registry = detached_registry


class BreakerRegistry:
    """Totals over the breakers of all listed endpoints, and the order in which closed breakers expire.

    Attributes:
        half_open_period_count: Number of half-open periods so far, of any breaker.
        totals: Number of outcomes and of failures in the windows of closed breakers, by breaker key.
        not_closed_endpoint_count: Number of endpoints whose breaker for all requests is not closed.
        open_count: Number of open breakers.
        closed: Closed breakers in the order of their last outcomes, the oldest first.
        not_closed: Open and half-open breakers.
    """

    __slots__ = (
        "closed",
        "half_open_period_count",
        "not_closed",
        "not_closed_endpoint_count",
        "open_count",
        "totals",
    )

    def __init__(self, half_open_period_count: int = 0) -> None:
        self.half_open_period_count = half_open_period_count
        self.totals: dict[int, list[int]] = {}
        self.not_closed_endpoint_count = 0
        self.open_count = 0
        self.closed: OrderedDict[CircuitBreaker, None] = OrderedDict()
        self.not_closed: dict[CircuitBreaker, None] = {}

    def insert(self, breaker: CircuitBreaker) -> None:
        """Add a breaker to the totals, as the one with the latest outcome."""
        (self.closed if breaker.state is BreakerState.CLOSED else self.not_closed)[breaker] = None
        self._count(breaker, 1)

    def remove(self, breaker: CircuitBreaker) -> None:
        """Remove a breaker from the totals, before it changes."""
        self.closed.pop(breaker, None)
        self.not_closed.pop(breaker, None)
        self._count(breaker, -1)

    def expire(self, now_us: int) -> None:
        """Drop closed breakers whose last outcome is too old; open and half-open ones do not expire."""
        while self.closed:
            breaker = next(iter(self.closed))
            if now_us - breaker.last_outcome_us <= BREAKER_EXPIRY_US:
                return
            self._drop(breaker)

    def purge(self, versions: Sequence[SettingsVersion]) -> None:
        """Drop the open and half-open breakers whose class or tenant is in none of the versions."""
        classes = {class_id for version in versions for class_id in version.class_ids}
        tenants = {tenant_id for version in versions for tenant_id in version.tenant_ids}
        for breaker in list(self.not_closed):
            class_id, tenant_id = split_breaker_key(breaker.key)
            if breaker.key != ALL_REQUESTS and not (class_id in classes and tenant_id in tenants):
                self._drop(breaker)

    def failure_share(self, key: int, excluded: CircuitBreaker | None) -> float:
        """Return the share of failures of a key's closed breakers without `excluded`; 0 without outcomes."""
        outcomes, failures = self.totals.get(key, (0, 0))
        if excluded is not None and excluded.state is BreakerState.CLOSED and excluded.registry is self:
            outcomes -= len(excluded.window)
            failures -= excluded.failures
        return failures / outcomes if outcomes else 0.0

    def _count(self, breaker: CircuitBreaker, sign: int) -> None:
        if breaker.state is not BreakerState.CLOSED:
            self.open_count += sign * (breaker.state is BreakerState.OPEN)
            self.not_closed_endpoint_count += sign * (breaker.key == ALL_REQUESTS)
        elif breaker.window:
            total = self.totals.setdefault(breaker.key, [0, 0])
            total[0] += sign * len(breaker.window)
            total[1] += sign * breaker.failures
            if not total[0]:
                del self.totals[breaker.key]

    def _drop(self, breaker: CircuitBreaker) -> None:
        self.remove(breaker)
        if breaker.endpoint_breakers is not None:
            del breaker.endpoint_breakers[breaker.key]
            if breaker.key == ALL_REQUESTS:
                breaker.endpoint_breakers.recent_outcomes.clear()
