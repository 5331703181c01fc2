"""Tests of rendezvous hashing."""

from __future__ import annotations

from load_balancer.decisions.rendezvous import rendezvous_rank


def test_endpoints_are_spread_evenly_over_subsets_and_a_removal_keeps_the_others() -> None:
    subset_counts = [0] * 40
    for gateway in range(400):
        ranks = sorted(range(40), key=lambda endpoint: rendezvous_rank(gateway, endpoint, 1.0))
        others = [endpoint for endpoint in ranks if endpoint != 3]
        assert [r for r in ranks[:4] if r != 3] == others[: 4 - (3 in ranks[:4])]
        for endpoint in ranks[:4]:
            subset_counts[endpoint] += 1
    assert min(subset_counts) > 20
    assert max(subset_counts) < 65
