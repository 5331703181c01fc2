"""The workload: draws by concern, quotas."""

from __future__ import annotations

import numpy as np

from lab.model.policies import ReferencePolicy
from lab.model.workload import find_over_quota
from tests.lab.model.support import parse_tiny, play


def test_more_draws_of_one_concern_change_no_other() -> None:
    calm, loud = (
        play(parse_tiny(text), ReferencePolicy).workload for text in ("", "[clients]\nretries = 5\n")
    )
    assert calm.times_us == loud.times_us
    assert calm.work_us == loud.work_us


def test_requests_beyond_a_quota_are_those_that_find_its_bucket_empty() -> None:
    times = np.array([0.0, 0.1, 0.2, 0.3, 1.3, 1.4])
    assert find_over_quota(times, 2.0) == [False, False, True, True, False, False]
    assert find_over_quota(times, 0.0) == [False] * 6
