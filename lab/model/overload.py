"""How much work a cold endpoint stands."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import NamedTuple

from lab.model.engine import to_us
from lab.model.job import Job
from lab.model.scenario import WarmUp


class Overload(NamedTuple):
    """Too much work sent to a cold endpoint."""

    notified_share: float  # from gateways that had been notified of its start
    gateway_index: int  # that sent most


class OverloadWindow:
    """All work that has reached a cold endpoint within the time that it stands, also what it rejects."""

    def __init__(self, terms: WarmUp, mean_work_us: float, cores: int, speed: float) -> None:
        self._cores = cores
        self._speed = speed
        self._window_us = to_us(terms.overload_window_s)
        self._overload_multiple = terms.overload_multiple
        self._mean_work_us = mean_work_us
        self._jobs: deque[tuple[int, Job]] = deque()

    def clear(self) -> None:
        """A new process has begun."""
        self._jobs.clear()

    def add(self, job: Job, now_us: int, warm_share: float) -> Overload | None:
        """Count a job; returns what crashes the endpoint, or None while it stands.

        It stands N + 2 x root of N + 2 requests of mean work in the window, N being what is allowed then: the
        slack for chance is that of STANDING.

        Args:
            job: What has come in.
            now_us: When.
            warm_share: Of its capacity that the endpoint has.
        """
        self._jobs.append((now_us, job))
        while self._jobs[0][0] <= now_us - self._window_us:
            self._jobs.popleft()
        capacity = self._overload_multiple * self._cores * self._speed * warm_share
        allowed = capacity * self._window_us / self._mean_work_us
        work_us = sum(received.work_us for _, received in self._jobs)
        if work_us <= (allowed + 2.0 * sqrt(allowed) + 2.0) * self._mean_work_us:
            return None
        notified_work_us: dict[int, float] = {}
        for _, received in self._jobs:
            notified_us = received.work_us * received.sender_notified_of_start
            notified_work_us[received.gateway_index] = (
                notified_work_us.get(received.gateway_index, 0.0) + notified_us
            )
        return Overload(
            sum(notified_work_us.values()) / work_us, max(notified_work_us, key=lambda n: notified_work_us[n])
        )
