"""Seeded schedules of changes and requests."""

from __future__ import annotations

import pytest

from lab import schedule


@pytest.mark.parametrize("scenario", schedule.SCENARIOS)
def test_equal_seeds_give_equal_churn_that_leaves_all_servers_active(scenario: str) -> None:
    changes = schedule.churn(7, scenario, 420, 10.0)
    assert changes
    assert changes == schedule.churn(7, scenario, 420, 10.0)
    distinct = {repr(schedule.churn(seed, scenario, 420, 10.0)) for seed in range(20)}
    # The 20 seeds choose 13 of the 14 racks.
    assert len(distinct) == {"rack": 13, "zone": 7, "region": 2}.get(scenario, 20)
    last_statuses = {number: status for _, status, numbers in changes for number in numbers}
    assert set(last_statuses.values()) <= {"active"}
    assert changes == sorted(changes, key=lambda change: change[0])


def test_equal_seeds_give_equal_requests_and_each_purpose_its_own() -> None:
    first, repeated, other_seed, other_purpose = (
        schedule.requests(seed, purpose, 500.0, 4.0, 30, 50, 3)
        for seed, purpose in ((1, "clients"), (1, "clients"), (2, "clients"), (1, "hollow 0"))
    )
    assert first == repeated
    assert first != other_seed
    assert first != other_purpose
    assert 1_600 < len(first.times_s) < 2_400
    assert max(first.times_s) < 4.0
    assert first.tenants.count(0) > first.tenants.count(1) > first.tenants.count(20)
