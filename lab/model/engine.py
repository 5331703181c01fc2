"""Virtual time in whole microseconds; calls that are due at the same time run in the order of scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

START_US = 100_000_000  # time of the clock when a run begins


class Clock:
    """A clock that advances from one scheduled call to the next.

    Attributes:
        now_us: Present time.
        events: Number of calls made so far.
    """

    def __init__(self) -> None:
        self.now_us = START_US
        self.events = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_at(self, due_us: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedule a call; a time in the past counts as the present time."""
        self._sequence += 1
        heappush(self._heap, (max(due_us, self.now_us), self._sequence, callback, arguments))

    def run(self, until_us: int) -> None:
        """Make all calls that are due by a time, and set the clock to it."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, callback, arguments = heappop(self._heap)
            self.events += 1
            callback(*arguments)
        self.now_us = until_us


def to_us(seconds: float) -> int:
    """Return seconds as whole microseconds."""
    return round(seconds * 1e6)
