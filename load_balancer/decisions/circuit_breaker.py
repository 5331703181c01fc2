"""Circuit breakers: one for all outcomes of an endpoint, and one for each class and tenant that it serves.

A breaker holds the last `RING_SIZE` outcomes. Enough failures among them open it, and nothing is sent while
it is open. After a cooldown it is half-open and lets `HALF_OPEN_TRIALS` attempts through, whose outcomes
close it or open it again.

A breaker is created at the first outcome for its key: in a large fleet the pairs of class and tenant at every
endpoint are too many to hold. A missing breaker is equivalent to a new one, which is closed and empty. The
registry updates totals over all breakers as they change, so that no decision visits every endpoint, class or
tenant.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from enum import Enum

from load_balancer.decisions.settings_version import SettingsVersion

RING_SIZE = 10  # outcomes: a second or less of one gateway's traffic to one endpoint
MINIMUM_OUTCOMES = 5  # outcomes in the ring before it may open the breaker
FAILURE_THRESHOLD = 0.5  # failure share that opens, beyond the share that the whole fleet fails
HALF_OPEN_TRIALS = 3  # outcomes that decide in half-open
INITIAL_COOLDOWN_US = 1_000_000  # doubles each time trials open the breaker again
MAX_COOLDOWN_US = 8_000_000
BREAKER_EXPIRY_US = 60_000_000  # after its last outcome a closed breaker is dropped
ALL_REQUESTS = 0  # key of the breaker for all outcomes of an endpoint
KEYS_PER_CLASS = 2**32  # breaker keys reserved for the tenants of one class


def breaker_key(class_id: int, tenant_id: int) -> int:
    """Return the key of the breaker for one class and tenant, from 1."""
    return class_id * KEYS_PER_CLASS + tenant_id + 1


def split_breaker_key(key: int) -> tuple[int, int]:
    """Return the class id and the tenant id of a key from `breaker_key`."""
    return divmod(key - 1, KEYS_PER_CLASS)


class BreakerState(Enum):
    """Whether a breaker lets attempts through."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """The last outcomes of one endpoint, of all requests or of one class and tenant, and its state.

    Attributes:
        key: `ALL_REQUESTS`, or a key from `breaker_key`.
        window: The last outcomes, a byte each, the oldest first; 1 is a failure.
        failures: Failures in the ring.
        state: Closed, open or half-open.
        last_outcome_us: When the last outcome was recorded.
        open_until_us: When the current cooldown ends.
        cooldown_us: Length of the current or the next cooldown, in microseconds.
        half_open_period: Number of the current half-open period; attempts sent within it are its trials.
        trials_in_flight: Trials without an outcome so far.
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
        """Return True if closed, or half-open with trials left; an open breaker turns half-open when due."""
        if self.state is BreakerState.CLOSED:
            return True
        if self.state is BreakerState.OPEN:
            if now_us < self.open_until_us:
                return False
            self._enter_half_open()
        return self.trials_in_flight + len(self.trial_results) < HALF_OPEN_TRIALS

    def acquire_trial(self) -> int:
        """Return the half-open spell that a new attempt is a trial of, or 0 for an ordinary attempt."""
        if self.state is not BreakerState.HALF_OPEN:
            return 0
        self.trials_in_flight += 1
        return self.half_open_period

    def release_trial(self, trial_period: int) -> None:
        """Release a trial whose outcome is no evidence about the endpoint, so that another may follow."""
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
            The new state if the outcome opened or closed the breaker.
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
        registry.half_open_period_count += 1  # counted over all breakers: trials of a dropped one never match
        self.half_open_period = registry.half_open_period_count
        self.trials_in_flight = 0
        self.trial_results = ()

    def _record_trial(self, now_us: int, failed: bool, trial_period: int) -> BreakerState | None:
        if trial_period != self.half_open_period:
            return None  # while half-open, only the outcomes of trials count
        self.trials_in_flight -= 1
        self.trial_results += (failed,)
        failed_share = sum(self.trial_results) / HALF_OPEN_TRIALS
        if failed_share >= FAILURE_THRESHOLD:  # whatever the outcomes of the rest
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

    Indexing makes a breaker that is missing, closed and empty; `get` makes none.

    Attributes:
        registry: The registry that counts these breakers.
        recent_outcomes: Breaker key and failure of the endpoint's last outcomes, the oldest first; dropped
            together with the breaker of all requests.
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
        """Leave the registry, as the endpoint was removed; later outcomes no longer count in its totals."""
        detached_registry = BreakerRegistry(self.registry.half_open_period_count)
        for breaker in self.values():
            self.registry.remove(breaker)
            breaker.registry = detached_registry
            detached_registry.insert(breaker)
        self.registry = detached_registry


class BreakerRegistry:
    """Totals over the breakers of all listed endpoints, and the order in which closed breakers expire.

    Attributes:
        half_open_period_count: Half-open spells so far, of any breaker.
        totals: By breaker key, outcomes and failures in the rings of closed breakers.
        not_closed_endpoint_count: Endpoints whose breaker of all requests is not closed.
        open_count: Breakers that are open.
        closed: Closed breakers by their last outcome, the oldest first.
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
        """Take a breaker out of the totals, before it changes."""
        self.closed.pop(breaker, None)
        self.not_closed.pop(breaker, None)
        self._count(breaker, -1)

    def expire(self, now_us: int) -> None:
        """Drop the closed breakers whose last outcome is too old; those not closed are never dropped."""
        while self.closed:
            breaker = next(iter(self.closed))
            if now_us - breaker.last_outcome_us <= BREAKER_EXPIRY_US:
                return
            self._drop(breaker)

    def purge(self, versions: Sequence[SettingsVersion]) -> None:
        """Drop open and half-open breakers of classes and tenants that none of the versions has."""
        classes = {class_id for version in versions for class_id in version.class_ids}
        tenants = {tenant_id for version in versions for tenant_id in version.tenant_ids}
        for breaker in list(self.not_closed):
            class_id, tenant_id = split_breaker_key(breaker.key)
            if breaker.key != ALL_REQUESTS and not (class_id in classes and tenant_id in tenants):
                self._drop(breaker)

    def failure_share(self, key: int, excluded: CircuitBreaker | None) -> float:
        """Return the share of failures in the closed rings of a key but one; 0 where there are none."""
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
