"""Seeded schedules: pure functions of their arguments, so equal seeds give equal schedules."""

from __future__ import annotations

import zlib

import numpy as np
from numpy.typing import NDArray

Ints = NDArray[np.int64]
Floats = NDArray[np.float64]

SKEW = 1.0  # exponent of the choice of routes and tenants: the first is chosen twice as often as the second


def stream(seed: int, concern: str) -> np.random.Generator:
    """A generator of its own for each concern: drawing more for one changes no other."""
    return np.random.default_rng([seed, zlib.crc32(concern.encode())])


def arrivals(rng: np.random.Generator, rate_per_s: float, seconds: float) -> Floats:
    """Times in seconds of a Poisson process, ascending, within [0, seconds)."""
    if rate_per_s <= 0.0 or seconds <= 0.0:
        return np.empty(0)
    gaps = rng.exponential(1.0 / rate_per_s, int(rate_per_s * seconds * 1.2) + 20)
    times = np.cumsum(gaps)
    while times[-1] < seconds:
        times = np.append(times, times[-1] + rng.exponential(1.0 / rate_per_s))
    return times[times < seconds]


def zipf(rng: np.random.Generator, kinds: int, count: int) -> Ints:
    """`count` numbers below `kinds`; number n is chosen with a weight of (n + 1) ** -SKEW."""
    total = np.cumsum(np.arange(1, kinds + 1, dtype=np.float64) ** -SKEW)
    chosen: Ints = np.searchsorted(total, rng.random(count) * total[-1], side="right")
    return chosen.clip(0, kinds - 1)
