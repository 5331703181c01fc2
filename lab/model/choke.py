"""Endpoints that choke after a time with a long queue."""

from __future__ import annotations

from collections.abc import Callable

from lab.model.engine import Clock, to_us
from lab.model.scenario import Choke


class ChokeState:
    """Whether an endpoint chokes: it does after a time with a long queue, until it has rested."""

    def __init__(self, clock: Clock, terms: Choke, cores: int, update: Callable[[], None]) -> None:
        self.choked = False
        self.count = 0  # spells so far
        self._clock = clock
        self._terms = terms
        self._cores = cores
        self._update_again = update
        self._process = 0
        self._crowded_since_us: int | None = None
        self._resting_since_us: int | None = None  # while it is choked

    def reset(self) -> None:
        """A new process has begun; what was scheduled for the last one is void."""
        self._process += 1
        self._clear()

    def update(self, queued: int, running: int) -> None:
        """Begin, or end, the times after which it chokes or recovers."""
        now_us = self._clock.now_us
        if queued <= self._terms.waiting * self._cores:
            self._crowded_since_us = None
        elif self._crowded_since_us is None and not self.choked:
            self._crowded_since_us = now_us
            due_us = now_us + to_us(self._terms.after_s)
            self._clock.call_at(due_us, self._end_crowd, self._process, now_us)
        if queued or 2 * running > self._cores:
            self._resting_since_us = None
        elif self._resting_since_us is None and self.choked:
            self._resting_since_us = now_us
            due_us = now_us + to_us(self._terms.rest_s)
            self._clock.call_at(due_us, self._end_rest, self._process, now_us)

    def _clear(self) -> None:
        self.choked = False
        self._resting_since_us = None
        self._crowded_since_us = None

    def _end_crowd(self, process: int, since_us: int) -> None:
        if process == self._process and self._crowded_since_us == since_us and not self.choked:
            self.choked = True
            self._crowded_since_us = None
            self.count += 1
            due_us = self._clock.now_us + to_us(self._terms.spell_s)
            self._clock.call_at(due_us, self._recover, process, self.count)

    def _end_rest(self, process: int, since_us: int) -> None:
        if process == self._process and self._resting_since_us == since_us:
            self._recover(process, self.count)

    def _recover(self, process: int, spell: int) -> None:
        if process == self._process and spell == self.count:
            self._clear()
            self._update_again()
