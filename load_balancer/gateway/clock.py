"""The clock that events, deadlines and latencies are read from."""

from __future__ import annotations

import time


class Clock:
    """A clock in microseconds since the Unix epoch; later changes of the wall clock do not affect it."""

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Return the current time in whole microseconds."""
        return (self._offset_ns + time.monotonic_ns()) // 1000
