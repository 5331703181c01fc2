"""Weighted rendezvous hashing: all gateways rank endpoints alike without exchanging a message."""

from __future__ import annotations

import math

HASH_FACTOR = 0x9E3779B97F4A7C15  # golden ratio in 64 bits: spreads close numbers apart
HASH_MASK = 2**64 - 1


def rendezvous_rank(key: int, endpoint_id: int, weight: float) -> float:
    """Return the rank of an endpoint for a key, the lowest first.

    An endpoint that comes or goes moves only the keys that rank it first.
    """
    mixed = (key ^ (endpoint_id * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight
