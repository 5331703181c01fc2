"""An attempt, as its endpoint sees it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from load_balancer.decisions.events import Outcome

LoadReport = tuple[tuple[str, float], ...]


class JobState(Enum):
    """Where a job stands."""

    IN_TRANSIT = "in transit"
    QUEUED = "queued"
    RUNNING = "running"
    BLOCKED = "blocked"  # waits on other services, without a core
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Job:
    """An attempt, as its endpoint sees it."""

    work_us: float  # on a core of speed 1
    handshake_us: float  # of the same, for a new connection
    blocked_us: int
    fails: bool
    sender_notified_of_start: bool  # its gateway has been notified of the endpoint's last start
    gateway_index: int
    on_answer: Callable[[Outcome, LoadReport], None]
    on_reset: Callable[[], None]  # the process is gone
    state: JobState = JobState.IN_TRANSIT
    started_us: int = 0

    @property
    def total_us(self) -> float:
        """All work on a core of speed 1."""
        return self.work_us + self.handshake_us
