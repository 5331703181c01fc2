"""Counting of repeated log events: one line per second for each event that keeps repeating."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from load_balancer.gateway.log_events import EVENTS, MAX_COUNTED_KEYS, RegisteredEvent

WINDOW_S = 1.0  # how long repeats are counted before they are written

Fields = dict[str, object]
EventWriter = Callable[[RegisteredEvent, Fields], None]
EventKey = tuple[object, ...]


@dataclass(slots=True)
class RepeatWindow:
    """The second after an event was written, in which its repeats are counted.

    Attributes:
        event: The event that was written.
        ends_at: Loop time at which the window ends, in seconds.
        repeated: How often the event has been repeated.
        last_fields: The fields of the last repeat.
    """

    event: RegisteredEvent
    ends_at: float
    repeated: int = 0
    last_fields: Fields = field(default_factory=dict)


class RepeatCounter:
    """A counter that writes an event at once and its repeats within a second as one line with their count.

    While an event keeps repeating, that is one line per second. A timer runs only while a count may have to
    be written. Where no loop is running, every event is written at once.

    Args:
        write: Writes one event with its fields.
        get_loop: Returns the running loop; raises RuntimeError if there is none.

    Attributes:
        get_loop: As passed to the constructor.
        windows: The open windows, in the order in which they end.
    """

    def __init__(self, write: EventWriter, get_loop: Callable[[], asyncio.AbstractEventLoop]) -> None:
        self.windows: dict[EventKey, RepeatWindow] = {}
        self._write = write
        self.get_loop = get_loop
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        # Events that found MAX_COUNTED_KEYS windows open, counted by name.
        self._overflow: Counter[str] = Counter()
        self._overflow_ends_at = 0.0

    def add(self, event: RegisteredEvent, fields: Fields) -> None:
        """Write an event or count it."""
        try:
            loop = self.get_loop()
        except RuntimeError:
            self._write(event, fields)
            return
        if loop is not self._loop:  # the timers of the other loop may never fire
            self.flush()
            self._loop = loop
        now = loop.time()
        key = (event.name, *map(fields.get, event.key))
        window = self.windows.get(key)
        if window is not None and now >= window.ends_at:  # the timer has not closed it yet
            self._close_window(key, window, now)
            window = self.windows.get(key)
        if window is not None:
            _count_repeat(window, fields)
        elif len(self.windows) < MAX_COUNTED_KEYS:
            self.windows[key] = RepeatWindow(event, now + WINDOW_S)
            self._write(event, fields)
        else:
            self._count_overflow(event, now)
        if self._timer is None:
            self._start_timer(loop, now)

    def flush(self) -> None:
        """Write all pending counts, for instance when the process ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        windows, self.windows = self.windows, {}
        for window in windows.values():
            self._write_repeats(window)
        self._write_overflow()

    def _count_overflow(self, event: RegisteredEvent, now: float) -> None:
        if not self._overflow:
            self._overflow_ends_at = now + WINDOW_S
        self._overflow[event.name] += 1

    def _start_timer(self, loop: asyncio.AbstractEventLoop, now: float) -> None:
        ends = [window.ends_at for window in self.windows.values()][:1]
        if self._overflow:
            ends.append(self._overflow_ends_at)
        if ends:
            self._timer = loop.call_later(max(0.0, min(ends) - now), partial(self._on_timer, loop))

    def _on_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        now = loop.time()
        for key, window in list(self.windows.items()):
            if now < window.ends_at:
                break
            self._close_window(key, window, now)
        if now >= self._overflow_ends_at:
            self._write_overflow()
        self._start_timer(loop, now)

    def _close_window(self, key: EventKey, window: RepeatWindow, now: float) -> None:
        """Write the window's repeats; if there were any, open the next window."""
        del self.windows[key]
        if window.repeated:
            self._write_repeats(window)
            self.windows[key] = RepeatWindow(window.event, now + WINDOW_S)

    def _write_repeats(self, window: RepeatWindow) -> None:
        if window.repeated:
            self._write(window.event, window.last_fields | {"repeated": window.repeated})

    def _write_overflow(self) -> None:
        if not self._overflow:
            return
        counts = " ".join(f"{name}:{count}" for name, count in sorted(self._overflow.items()))
        self._write(EVENTS["log.overflow"], {"repeated": self._overflow.total(), "event_counts": counts})
        self._overflow.clear()


def _count_repeat(window: RepeatWindow, fields: Fields) -> None:
    window.repeated += 1
    fields.pop("exc_info", None)  # it keeps stack frames alive, and the traceback has been written once
    window.last_fields = fields
