"""Endpoints of the simulated fleet and their temporary faults."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tests.transcript_simulation.wire import SECOND_US, format_line

MODES = ("healthy", "failing", "refusing_connections", "resetting", "full", "slow", "class_fault")
MODE_WEIGHTS = (6, 3, 2, 1, 1, 2, 3)


@dataclass
class Endpoint:
    """An endpoint of the simulated fleet: a first-in, first-out queue in front of its cores.

    Attributes:
        base_weight: Its listed weight while it holds no work.
        mode: One of MODES.
        failing_class: The request class whose requests fail in the mode class_fault.
        free_at_us: For each core, the time at which it is free.
        errors: Number of errors since the last load report.
    """

    id: int
    started_us: int
    base_weight: float = 1.0
    status: str = "Ready"
    mode: str = "healthy"
    failing_class: str = ""
    free_at_us: list[int] = field(default_factory=lambda: [0, 0])
    errors: int = 0

    def queued_s(self, now_us: int) -> float:
        """Return the seconds of work queued per core."""
        return sum(max(0, at_us - now_us) for at_us in self.free_at_us) / len(self.free_at_us) / SECOND_US

    def listed_weight(self, now_us: int, load_dependent: bool) -> float:
        """Return its listed weight; a load-dependent one falls as its queue grows."""
        return (
            round(self.base_weight / (1.0 + 25.0 * self.queued_s(now_us)), 4)
            if load_dependent
            else self.base_weight
        )

    def list_line(self, now_us: int, load_dependent: bool) -> str:
        """Return its entry in a list as a wire line."""
        return format_line(
            "host",
            host=self.id,
            status=self.status,
            heft=max(0.01, self.listed_weight(now_us, load_dependent)),
            campus=self.id % 3,
            group=self.id % 4,
            classOfHost=self.id % 2,
            sinceUs=self.started_us,
        )

    def serve(self, work_us: int, class_name: str, now_us: int, rng: random.Random) -> tuple[str, int]:
        """Return the verdict on an attempt and its duration in microseconds, unless it is ended earlier."""
        draw = rng.random()
        if self.mode == "refusing_connections":
            return "521", 1_500
        if self.mode == "full" or self.queued_s(now_us) > 1.0:
            return "429", 1_000
        work_us = int(work_us * rng.uniform(0.7, 1.4))
        work_us *= 12 if self.mode == "slow" else 1
        core = self.free_at_us.index(min(self.free_at_us))
        end_us = max(now_us, self.free_at_us[core]) + work_us
        self.free_at_us[core] = end_us
        duration_us = end_us - now_us
        class_fails = self.mode == "class_fault" and self.failing_class == class_name
        if class_fails or draw < (0.7 if self.mode == "failing" else 0.01):
            self.errors += 1
            return "502", duration_us // 4
        if draw > (0.4 if self.mode == "resetting" else 0.995):
            return "520", duration_us // 2
        return "200", duration_us
