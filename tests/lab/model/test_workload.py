"""The workload: independent random streams, and quotas."""

from __future__ import annotations

import numpy as np

from lab.model.policies import ReferencePolicy
from lab.model.workload import find_over_quota
from tests.lab.model.support import parse_tiny, simulate


def test_more_retries_do_not_change_arrival_times_or_work() -> None:
    """Drawing more numbers for one property must not shift the random streams of the others."""
    one_retry, five_retries = (
        simulate(parse_tiny(text), ReferencePolicy).workload for text in ("", "[clients]\nretries = 5\n")
    )
    assert one_retry.times_us == five_retries.times_us
    assert one_retry.work_us == five_retries.work_us


def test_requests_that_find_the_token_bucket_empty_are_over_quota() -> None:
    times = np.array([0.0, 0.1, 0.2, 0.3, 1.3, 1.4])
    assert find_over_quota(times, 2.0) == [False, False, True, True, False, False]
    assert find_over_quota(times, 0.0) == [False] * 6
