"""Seeded schedules."""

from __future__ import annotations

import pytest

from lab import schedule


@pytest.mark.parametrize("scenario", schedule.SCENARIOS)
def test_equal_seeds_give_equal_churn_after_which_all_are_active(scenario: str) -> None:
    changes = schedule.churn(7, scenario, 420, 10.0)
    assert changes
    assert changes == schedule.churn(7, scenario, 420, 10.0)
    others = {repr(schedule.churn(seed, scenario, 420, 10.0)) for seed in range(20)}
    assert len(others) == {"rack": 13, "zone": 7, "region": 2}.get(scenario, 20)  # of 14 racks
    last = {number: what for _, what, numbers in changes for number in numbers}
    assert set(last.values()) <= {"active"}
    assert changes == sorted(changes, key=lambda change: change[0])


def test_equal_seeds_give_equal_requests_and_each_concern_its_own() -> None:
    one, same, other, apart = (
        schedule.requests(seed, concern, 500.0, 4.0, 30, 50, 3)
        for seed, concern in ((1, "clients"), (1, "clients"), (2, "clients"), (1, "hollow 0"))
    )
    assert one == same
    assert one != other
    assert one != apart
    assert 1_600 < len(one.times_s) < 2_400
    assert max(one.times_s) < 4.0
    assert one.tenants.count(0) > one.tenants.count(1) > one.tenants.count(20)
