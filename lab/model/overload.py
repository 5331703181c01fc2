"""Overload of an endpoint during its warm-up."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import NamedTuple

from lab.model.engine import to_us
from lab.model.job import Job
from lab.model.scenario import WarmUp


class Overload(NamedTuple):
    """An overload that crashes an endpoint during its warm-up.

    Attributes:
        notified_share: Share of the work that came from gateways that had been notified of the start.
        gateway_index: Index of the gateway that sent most of that work.
    """

    notified_share: float
    gateway_index: int


class OverloadWindow:
    """The jobs, rejected ones included, that reached an endpoint in the last `overload_window_s`."""

    def __init__(self, terms: WarmUp, mean_work_us: float, cores: int, speed: float) -> None:
        self._cores = cores
        self._speed = speed
        self._window_us = to_us(terms.overload_window_s)
        self._overload_multiple = terms.overload_multiple
        self._mean_work_us = mean_work_us
        self._jobs: deque[tuple[int, Job]] = deque()

    def clear(self) -> None:
        """Forget all jobs, for a new process."""
        self._jobs.clear()

    def add(self, job: Job, now_us: int, warm_share: float) -> Overload | None:
        """Count a job, and return the overload that crashes the endpoint, or None.

        If the present capacity times `overload_multiple` allows N requests of mean work in the window, an
        endpoint crashes above N + 2 sqrt(N) + 2. The slack allows for random arrivals; the operators' page
        STANDING has the same.

        Args:
            job: The job that has arrived.
            now_us: Time of its arrival.
            warm_share: Share of its capacity that the endpoint has now.
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
            job_work_us = received.work_us * received.sender_notified_of_start
            notified_work_us[received.gateway_index] = (
                notified_work_us.get(received.gateway_index, 0.0) + job_work_us
            )
        return Overload(
            sum(notified_work_us.values()) / work_us, max(notified_work_us, key=lambda n: notified_work_us[n])
        )
