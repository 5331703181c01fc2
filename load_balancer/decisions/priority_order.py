"""The demand sorted by priority; under overload the lowest priority is shed first."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate

MAX_EXACT_PARTS = 8  # parts of the work up to which the order is sorted again after each change


class PriorityOrder:
    """Parts of the demand, the lowest priority first.

    Attributes:
        sorted_at_change: Changes of the demand when the order was made.
        part_count: Number of parts.
        priorities: Their priorities, the least first.
        cumulative_work: Sums of the work up to each part, from 0.
        total_work: Sum of all parts; 1 if that is 0.
    """

    __slots__ = ("cumulative_work", "part_count", "priorities", "sorted_at_change", "total_work")

    def __init__(self, sorted_at_change: int, parts: list[tuple[float, float]]) -> None:
        """`parts`: priority and amount of work of each, in any order."""
        parts.sort()
        self.sorted_at_change = sorted_at_change
        self.part_count = len(parts)
        self.priorities = [priority for priority, _ in parts]
        self.cumulative_work = list(accumulate((work for _, work in parts), initial=0.0))
        self.total_work = self.cumulative_work[-1] or 1.0

    def is_stale(self, change_count: int) -> bool:
        """Return whether to sort again; with many parts, only after about as many changes."""
        return change_count - self.sorted_at_change > max(0, self.part_count - MAX_EXACT_PARTS)

    def share_below(self, priority: float) -> float:
        """Return the share of the work that has less priority, from 0 to 1."""
        return self.cumulative_work[bisect_left(self.priorities, priority)] / self.total_work
