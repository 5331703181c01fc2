"""Virtual time: a queue of calls in whole microseconds; equal times run in the order of asking."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START_US = 100_000_000  # the clock's reading as a run begins


class Clock:
    """A clock that jumps from one scheduled call to the next."""

    def __init__(self) -> None:
        self.now_us = START_US
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_at(self, due_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; one whose time has passed is due now."""
        self._sequence += 1
        heappush(self._heap, (max(due_us, self.now_us), self._sequence, callback, arguments))

    def run(self, until_us: int) -> None:
        """Make all calls that are due by a time, and leave the clock there."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, callback, arguments = heappop(self._heap)
            self.events += 1
            callback(*arguments)
        self.now_us = until_us


def to_us(seconds: float) -> int:
    """Seconds in whole microseconds."""
    return round(seconds * 1e6)
