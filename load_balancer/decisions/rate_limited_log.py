"""Log events at a limited rate, so that a burst of events does not hide the first one."""

from __future__ import annotations

from load_balancer.decisions.actions import Action, LogEvent

MIN_LOG_INTERVAL_US = 100_000  # Shortest time between two log events.


class RateLimitedLog:
    """A log that suppresses events which follow another one too soon.

    Attributes:
        suppressed: Number of events suppressed since the last one written; the next one carries it.
    """

    __slots__ = ("_actions", "_last_us", "suppressed")

    def __init__(self, actions: list[Action]) -> None:
        """Use `actions` as the list to which log events are appended."""
        self._actions = actions
        self._last_us = -MIN_LOG_INTERVAL_US
        self.suppressed = 0

    def write(self, now_us: int, event: str, **fields: object) -> None:
        """Write an event with its fields, or suppress it if the last one was too recent."""
        if now_us - self._last_us < MIN_LOG_INTERVAL_US:
            self.suppressed += 1
            return
        if self.suppressed:
            fields["suppressed"] = self.suppressed
        self._last_us = now_us
        self.suppressed = 0
        self._actions.append(LogEvent(event, tuple(fields.items())))
