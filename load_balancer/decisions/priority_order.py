"""The demand sorted by priority; under overload the lowest priority is shed first."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate

MAX_EXACT_PARTS = 8  # parts of the work up to which the order is sorted again after each change


class PriorityOrder:
    """Parts of the demand, the lowest priority first.

    Attributes:
        at_change: Changes of the demand when the order was made.
        parts: Number of parts.
        priorities: Their priorities, the least first.
        amounts: Sums of the work up to each part, from 0.
        whole: Sum of all parts; 1 if that is 0.
    """

    __slots__ = ("amounts", "at_change", "parts", "priorities", "whole")

    def __init__(self, at_change: int, parts: list[tuple[float, float]]) -> None:
        """`parts`: priority and amount of work of each, in any order."""
        parts.sort()
        self.at_change = at_change
        self.parts = len(parts)
        self.priorities = [priority for priority, _ in parts]
        self.amounts = list(accumulate((amount for _, amount in parts), initial=0.0))
        self.whole = self.amounts[-1] or 1.0

    def is_stale(self, changes: int) -> bool:
        """Return whether to sort again; with many parts, only after about as many changes."""
        return changes - self.at_change > max(0, self.parts - MAX_EXACT_PARTS)

    def share_below(self, priority: float) -> float:
        """Return the share of the work that has less priority, from 0 to 1."""
        return self.amounts[bisect_left(self.priorities, priority)] / self.whole
