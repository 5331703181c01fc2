"""Weighted rendezvous hashing: all gateways compute the same ranks without exchanging messages."""

from __future__ import annotations

import math

HASH_FACTOR = 0x9E3779B97F4A7C15  # 2**64 divided by the golden ratio; maps close numbers far apart.
HASH_MASK = 2**64 - 1


def rendezvous_rank(key: int, endpoint_id: int, weight: float) -> float:
    """Return the rank of an endpoint for a key; a key prefers the endpoint with the lowest rank.

    An endpoint that is added or removed affects only the keys that prefer it.

    Args:
        key: The key.
        endpoint_id: The endpoint's id.
        weight: Relative share of the keys that prefer the endpoint.
    """
    mixed = (key ^ (endpoint_id * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight
