"""Congestion: an endpoint becomes slower after its queue has been long for some time."""

from __future__ import annotations

from collections.abc import Callable

from lab.model.engine import Clock, to_us
from lab.model.scenario import Congestion


class CongestionState:
    """Congestion of one endpoint, from a long queue until enough idle time or the maximum duration.

    Attributes:
        congested: Whether the endpoint is congested.
        count: Number of times that it has become congested.
    """

    def __init__(self, clock: Clock, terms: Congestion, cores: int, on_recovered: Callable[[], None]) -> None:
        self.congested = False
        self.count = 0
        self._clock = clock
        self._terms = terms
        self._cores = cores
        self._on_recovered = on_recovered
        self._epoch = 0
        self._long_queue_since_us: int | None = None
        self._idle_since_us: int | None = None  # None unless congested and idle

    def reset(self) -> None:
        """Start anew for a new process; callbacks scheduled for the previous one have no effect."""
        self._epoch += 1
        self._clear()

    def update(self, queued: int, running: int) -> None:
        """Start or stop the timers that begin and end congestion.

        Args:
            queued: Number of queued jobs.
            running: Number of jobs on a core.
        """
        now_us = self._clock.now_us
        if queued <= self._terms.queued_per_core * self._cores:
            self._long_queue_since_us = None
        elif self._long_queue_since_us is None and not self.congested:
            self._long_queue_since_us = now_us
            due_us = now_us + to_us(self._terms.after_s)
            self._clock.call_at(due_us, self._end_long_queue, self._epoch, now_us)
        if queued or 2 * running > self._cores:
            self._idle_since_us = None
        elif self._idle_since_us is None and self.congested:
            self._idle_since_us = now_us
            due_us = now_us + to_us(self._terms.recovery_idle_s)
            self._clock.call_at(due_us, self._end_idle, self._epoch, now_us)

    def _clear(self) -> None:
        self.congested = False
        self._idle_since_us = None
        self._long_queue_since_us = None

    def _end_long_queue(self, epoch: int, since_us: int) -> None:
        if epoch == self._epoch and self._long_queue_since_us == since_us and not self.congested:
            self.congested = True
            self._long_queue_since_us = None
            self.count += 1
            due_us = self._clock.now_us + to_us(self._terms.max_duration_s)
            self._clock.call_at(due_us, self._recover, epoch, self.count)

    def _end_idle(self, epoch: int, since_us: int) -> None:
        if epoch == self._epoch and self._idle_since_us == since_us:
            self._recover(epoch, self.count)

    def _recover(self, epoch: int, number: int) -> None:
        if epoch == self._epoch and number == self.count:
            self._clear()
            self._on_recovered()
