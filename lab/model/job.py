"""Jobs: attempts at an endpoint."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from load_balancer.decisions.events import Outcome

LoadReport = tuple[tuple[str, float], ...]


class JobState(Enum):
    """State of a job."""

    IN_TRANSIT = "in transit"
    QUEUED = "queued"
    RUNNING = "running"
    BLOCKED = "blocked"  # waits on other services and uses no core
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Job:
    """An attempt at an endpoint.

    Attributes:
        work_us: Work on a core of speed 1.
        handshake_us: Further work on a core of speed 1, for a new connection.
        blocked_us: Time for which it waits on other services after its work.
        fails: Whether it ends in an error.
        sender_notified_of_start: Whether its gateway has been notified of the endpoint's last start.
        gateway_index: Index of its gateway.
        on_answer: Is called with its outcome and the endpoint's load report.
        on_reset: Is called when the endpoint's process ends or has ended.
        state: Present state.
        started_us: Time at which its work began.
    """

    work_us: float
    handshake_us: float
    blocked_us: int
    fails: bool
    sender_notified_of_start: bool
    gateway_index: int
    on_answer: Callable[[Outcome, LoadReport], None]
    on_reset: Callable[[], None]
    state: JobState = JobState.IN_TRANSIT
    started_us: int = 0

    @property
    def total_us(self) -> float:
        """Whole work on a core of speed 1, with the handshake."""
        return self.work_us + self.handshake_us
