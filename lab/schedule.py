"""Seeded schedules of changes and requests: equal arguments give equal schedules."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from operator import itemgetter

import numpy as np
from numpy.typing import NDArray

from lab import fleet

Ints = NDArray[np.int64]
Floats = NDArray[np.float64]

# Skew of the choice of routes and tenants: with 1, the first is chosen twice as often as the second.
ZIPF_EXPONENT = 1.0


def stream(seed: int, purpose: str) -> np.random.Generator:
    """Return a random generator of its own for each purpose: drawing more from one changes no other."""
    return np.random.default_rng([seed, zlib.crc32(purpose.encode())])


def arrivals(rng: np.random.Generator, rate_per_s: float, seconds: float) -> Floats:
    """Return the times of a Poisson process in ascending order, in seconds within [0, seconds)."""
    if rate_per_s <= 0.0 or seconds <= 0.0:
        return np.empty(0)
    gaps = rng.exponential(1.0 / rate_per_s, int(rate_per_s * seconds * 1.2) + 20)
    times = np.cumsum(gaps)
    while times[-1] < seconds:
        times = np.append(times, times[-1] + rng.exponential(1.0 / rate_per_s))
    return times[times < seconds]


def zipf(rng: np.random.Generator, kinds: int, count: int) -> Ints:
    """Return `count` random numbers below `kinds`; n has a weight of (n + 1) ** -ZIPF_EXPONENT."""
    cumulative_weights = np.cumsum(np.arange(1, kinds + 1, dtype=np.float64) ** -ZIPF_EXPONENT)
    chosen: Ints = np.searchsorted(
        cumulative_weights, rng.random(count) * cumulative_weights[-1], side="right"
    )
    return chosen.clip(0, kinds - 1)


# Churn: changes at discovery

# Seconds after the start; the servers' new status, or "down" or "up" for discovery; the servers' numbers.
Change = tuple[float, str, list[int]]
DRAIN_S = 0.5  # from "leaving" to "left"
DOWN_S = 1.0  # from "left" to "active" again
RESTART_INTERVAL_S = 2_100  # mean time between two restarts of a server in ordinary operation
MIN_RESTARTS_PER_S = 4.0  # restarts of a small fleet, so that there are enough to measure
WAVE_SHARE = 0.02  # share of a zone's servers that a release restarts at once
OUTAGE_SHARE = 0.3  # share of the scenario during which discovery is down


def restart_changes(at_s: float, servers: list[int]) -> list[Change]:
    """Return the changes of servers that drain, leave and start again."""
    return [
        (at_s, "leaving", servers),
        (at_s + DRAIN_S, "left", servers),
        (at_s + DRAIN_S + DOWN_S, "active", servers),
    ]


def ordinary(rng: np.random.Generator, servers: int, seconds: float) -> list[Change]:
    """Restart single servers at random; a server that has just restarted is not chosen for some time."""
    free_at_s = np.zeros(servers)
    changes: list[Change] = []
    for at_s in arrivals(rng, max(MIN_RESTARTS_PER_S, servers / RESTART_INTERVAL_S), seconds).tolist():
        number = int(rng.integers(servers))
        if free_at_s[number] <= at_s:
            free_at_s[number] = at_s + 2 * (DRAIN_S + DOWN_S)
            changes += restart_changes(at_s, [number])
    return changes


def release(rng: np.random.Generator, servers: int, seconds: float) -> list[Change]:
    """Restart every server once: zone by zone, in waves that are evenly spread over the scenario."""
    waves: list[list[int]] = []
    for zone in range(len(fleet.ZONES)):
        numbers = rng.permutation(np.arange(zone, servers, len(fleet.ZONES))).tolist()
        size = max(1, round(len(numbers) * WAVE_SHARE))
        waves += [numbers[first : first + size] for first in range(0, len(numbers), size)]
    return [
        change for n, wave in enumerate(waves) for change in restart_changes(n * seconds / len(waves), wave)
    ]


def _fail_together(servers: list[int], seconds: float) -> list[Change]:
    """Return the changes of servers that leave together without draining, and later return together."""
    return [(seconds * 0.2, "left", servers), (seconds * 0.6, "active", servers)] if servers else []


def rack(rng: np.random.Generator, servers: int, seconds: float) -> list[Change]:
    """Fail the servers of one rack."""
    chosen = fleet.rack_of(int(rng.integers(servers)))
    return _fail_together([n for n in range(servers) if fleet.rack_of(n) == chosen], seconds)


def zone(rng: np.random.Generator, servers: int, seconds: float) -> list[Change]:
    """Fail the servers of one zone."""
    chosen = str(rng.choice(fleet.ZONES))
    return _fail_together([n for n in range(servers) if fleet.zone_of(n) == chosen], seconds)


def region(rng: np.random.Generator, servers: int, seconds: float) -> list[Change]:
    """Fail the servers of one region."""
    chosen = fleet.REGIONS[str(rng.choice(list(fleet.REGIONS)))]
    return _fail_together([n for n in range(servers) if fleet.zone_of(n) in chosen], seconds)


def outage(rng: np.random.Generator, servers: int, seconds: float) -> list[Change]:
    """Take discovery down for a while amid ordinary changes; all gateways then reconnect together."""
    outage_changes: list[Change] = [(seconds * 0.2, "down", []), (seconds * (0.2 + OUTAGE_SHARE), "up", [])]
    return ordinary(rng, servers, seconds) + outage_changes


SCENARIOS: dict[str, Callable[[np.random.Generator, int, float], list[Change]]] = {
    "ordinary": ordinary,
    "release": release,
    "rack": rack,
    "zone": zone,
    "region": region,
    "outage": outage,
}


def churn(seed: int, scenario: str, servers: int, seconds: float) -> list[Change]:
    """Return a scenario's changes in order of time; after the last one all servers are active again."""
    rng = stream(seed, f"churn {scenario}")
    return sorted(SCENARIOS[scenario](rng, servers, seconds), key=itemgetter(0))


@dataclass(frozen=True, slots=True)
class RequestSchedule:
    """Requests in order of time, as lists of equal length.

    Attributes:
        times_s: Seconds after the start.
        routes: The number of each request's route.
        tenants: The number of each request's tenant.
        targets: The index of the gateway to which each request goes; uniformly distributed.
    """

    times_s: list[float]
    routes: list[int]
    tenants: list[int]
    targets: list[int]


def requests(
    seed: int, purpose: str, rate_per_s: float, seconds: float, routes: int, tenants: int, targets: int
) -> RequestSchedule:
    """Return requests with random times, routes, tenants and targets from the generator of a purpose."""
    rng = stream(seed, purpose)
    times = arrivals(rng, rate_per_s, seconds)
    return RequestSchedule(
        times.tolist(),
        zipf(rng, routes, len(times)).tolist(),
        zipf(rng, tenants, len(times)).tolist(),
        rng.integers(targets, size=len(times)).tolist(),
    )
