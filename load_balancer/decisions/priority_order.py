"""The demand sorted by priority, of which the lowest priority is shed first under overload."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate

MAX_EXACT_PARTS = 8  # Up to this many parts, the order is sorted again after each change of the demand.


class PriorityOrder:
    """The parts of the demand in order of priority, each with its amount of work.

    Attributes:
        sorted_at_change: The demand's change count when the order was sorted.
        part_count: Number of parts.
        priorities: Priorities of the parts, the lowest first.
        cumulative_work: For each part the sum of the work before it, and at the end the sum of all work.
        total_work: The sum of all work; 1 if that is 0.
    """

    __slots__ = ("cumulative_work", "part_count", "priorities", "sorted_at_change", "total_work")

    def __init__(self, sorted_at_change: int, parts: list[tuple[float, float]]) -> None:
        """Sort `parts`, the priority and the amount of work of each, in place."""
        parts.sort()
        self.sorted_at_change = sorted_at_change
        self.part_count = len(parts)
        self.priorities = [priority for priority, _ in parts]
        self.cumulative_work = list(accumulate((work for _, work in parts), initial=0.0))
        self.total_work = self.cumulative_work[-1] or 1.0

    def is_stale(self, change_count: int) -> bool:
        """Return whether to sort again; with many parts, only after about as many changes as parts."""
        return change_count - self.sorted_at_change > max(0, self.part_count - MAX_EXACT_PARTS)

    def share_below(self, priority: float) -> float:
        """Return the share of the work that has a lower priority, from 0 to 1."""
        return self.cumulative_work[bisect_left(self.priorities, priority)] / self.total_work
