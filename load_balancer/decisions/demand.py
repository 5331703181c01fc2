"""Statistics of arriving requests: their rate, and how many of each class are served in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from load_balancer.decisions.latency import SMOOTHING_FACTOR, ClassState

DEMAND_MEMORY_REQUESTS = 500  # Number of counted first tries beyond which all counts are halved.
FORGOTTEN_REQUESTS = 1 / 64  # A class is dropped when its count of first tries is halved to less than this.


class ArrivalInterval:
    """The smoothed time between two requests to this gateway.

    Attributes:
        interval_us: The smoothed time between requests, in microseconds.
        last_us: When the last request arrived; 0 before the first one.
    """

    __slots__ = ("interval_us", "last_us")

    def __init__(self) -> None:
        self.interval_us = 0.0
        self.last_us = 0

    def note_arrival(self, now_us: int) -> None:
        """Update the interval with the arrival of a request."""
        if self.last_us:
            self.interval_us += SMOOTHING_FACTOR * (now_us - self.last_us - self.interval_us)
        self.last_us = now_us

    def interval_per_endpoint_s(self, endpoint_count: int, gateways: int) -> float:
        """Return the mean time in seconds between requests at one endpoint, from all gateways together."""
        return self.interval_us / 1e6 * endpoint_count / gateways


class Demand:
    """Decaying counts of recent first tries by class id.

    Attributes:
        within_quota: Number of first tries within their tenant's quota.
        over_quota: Number of first tries over their tenant's quota.
        served: Number of first tries within quota that were served within their latency objective.
        total_within_quota: Sum of `within_quota`.
        total: Sum of `within_quota` and `over_quota`.
        change_count: Number of changes so far to these counts or to the unloaded latency of a class.
    """

    __slots__ = ("change_count", "over_quota", "served", "total", "total_within_quota", "within_quota")

    def __init__(self) -> None:
        self.within_quota: defaultdict[int, float] = defaultdict(float)
        self.over_quota: defaultdict[int, float] = defaultdict(float)
        self.served: defaultdict[int, float] = defaultdict(float)
        self.total_within_quota = 0.0
        self.total = 0.0
        self.change_count = 0

    def note_first_try(self, class_id: int, over_quota: bool) -> None:
        """Count a first try, and halve all counts once their sum exceeds `DEMAND_MEMORY_REQUESTS`."""
        (self.over_quota if over_quota else self.within_quota)[class_id] += 1
        self.total_within_quota += not over_quota
        self.total += 1
        self.change_count += 1
        if self.total > DEMAND_MEMORY_REQUESTS:
            self._halve()
            self._update_totals()

    def note_served(self, class_id: int) -> None:
        """Count a first try that was served in time."""
        self.served[class_id] += 1
        self.change_count += 1

    def note_latency_change(self) -> None:
        """Count a change to the unloaded latency of a class, which is used as the work of its requests."""
        self.change_count += 1

    def retain(self, classes: Mapping[int, ClassState]) -> None:
        """Drop the counts of all classes except these."""
        for counts in (self.within_quota, self.over_quota, self.served):
            for class_id in counts.keys() - classes.keys():
                del counts[class_id]
        self._update_totals()

    def _halve(self) -> None:
        for counts in (self.within_quota, self.over_quota, self.served):
            for class_id, count in list(counts.items()):
                counts[class_id] = count / 2
        for class_id in self.within_quota.keys() | self.over_quota.keys():
            remaining = self.within_quota.get(class_id, 0.0) + self.over_quota.get(class_id, 0.0)
            if remaining < FORGOTTEN_REQUESTS:
                for counts in (self.within_quota, self.over_quota, self.served):
                    counts.pop(class_id, None)

    def _update_totals(self) -> None:
        self.total_within_quota = sum(self.within_quota.values())
        self.total = self.total_within_quota + sum(self.over_quota.values())
