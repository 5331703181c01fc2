"""Log events at a limited rate: many events at once must not hide the first ones."""

from __future__ import annotations

from load_balancer.decisions.actions import Action, LogEvent

MIN_LOG_INTERVAL_US = 100_000  # between two log events


class RateLimitedLog:
    """Appends log events to the actions.

    Attributes:
        suppressed: Events left out since the last one that was not; the next one carries the number.
    """

    __slots__ = ("_actions", "_last_us", "suppressed")

    def __init__(self, actions: list[Action]) -> None:
        """`actions`: where log events are appended."""
        self._actions = actions
        self._last_us = -MIN_LOG_INTERVAL_US
        self.suppressed = 0

    def write(self, now_us: int, event: str, **fields: object) -> None:
        """Log an event with its fields, unless the last one was just before."""
        if now_us - self._last_us < MIN_LOG_INTERVAL_US:
            self.suppressed += 1
            return
        if self.suppressed:
            fields["suppressed"] = self.suppressed
        self._last_us = now_us
        self.suppressed = 0
        self._actions.append(LogEvent(event, tuple(fields.items())))
