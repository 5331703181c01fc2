"""When to subscribe to the endpoint list again, and when to fetch all of it."""

from __future__ import annotations

from random import Random

from load_balancer.decisions.actions import Action, PollEndpoints, SubscribeEndpoints
from load_balancer.decisions.context import Context
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.timers import Timers

# Longest wait before a call is repeated; the first wait is at most a quarter, and doubles with each failure.
# Whatever call has failed, this gateway must be notified of a change within 6 s of the time when service
# discovery had it and could be reached. Of these, a call may hang for 3 s and the next one may be queued for
# 2 s, see gateway/discovery.py.
MAX_POLL_BACKOFF_US = 800_000
FIRST_CALL_INTERVAL_SHARE = 0.1  # Share of the longest poll interval within which the first call is made.
MAX_FIRST_CALL_DELAY_US = 1_500_000  # Bounded, as the first call may be queued, rejected and queued again.
# Wait before the complete list is fetched because a part of a list or change was not applied. The first one
# leaves time for an answer within the drain grace; the longest bounds the load on service discovery where an
# entry can never be read. The wait doubles with each answer that is not applied whole; after a failed call it
# is that of any call.
FIRST_RESYNC_WAIT_US = 100_000
MAX_RESYNC_WAIT_US = 60_000_000
MAX_COUNTED_RESYNCS = 10  # Bounds the exponent of the wait.


class ListPolling:
    """Calls service discovery after random waits, so that many gateways do not call at the same time.

    Attributes:
        failures: Number of calls that have failed since the last successful one.
        needs_complete_list: Whether something that service discovery sent since the last complete list was
            not applied, so that the list in use may differ from the one that it has.
    """

    __slots__ = (
        "_actions",
        "_context",
        "_is_resync_pending",
        "_random",
        "_resyncs",
        "_timers",
        "failures",
        "needs_complete_list",
    )

    def __init__(self, actions: list[Action], timers: Timers, random: Random, context: Context) -> None:
        """Use `actions` as the list to which subscriptions are appended."""
        self._actions = actions
        self._timers = timers
        self._random = random
        self._context = context
        self.failures = 0
        self.needs_complete_list = False
        self._resyncs = 0  # fetches since the last complete list that was applied whole
        self._is_resync_pending = False

    def note_list(self, kind: ListKind, is_partial: bool = False) -> None:
        """Note a received list; after a cached one, schedule the first call, unless lists are pushed."""
        if is_partial:
            self.note_skipped()
        elif kind is ListKind.COMPLETE:
            self.needs_complete_list = False
            self._resyncs = 0
        settings = self._context.settings
        if kind is ListKind.CACHED and not settings.endpoints_are_pushed:
            # If many gateways started and called at the same time, most calls would be rejected.
            interval_us = settings.max_poll_interval_us * FIRST_CALL_INTERVAL_SHARE
            self._subscribe_after(self._random.random() * min(MAX_FIRST_CALL_DELAY_US, interval_us))
        else:
            self.failures = 0

    def note_skipped(self) -> None:
        """Note that a list or change was not applied, and fetch the complete list until one is."""
        self.needs_complete_list = True
        if not self._is_resync_pending:
            wait_us = min(MAX_RESYNC_WAIT_US, FIRST_RESYNC_WAIT_US * 2**self._resyncs)
            self._resyncs = min(self._resyncs + 1, MAX_COUNTED_RESYNCS)
            self._resync_after(wait_us * self._random.uniform(0.5, 1.0))

    def note_failure(self) -> None:
        """Schedule another call, with exponential backoff and jitter."""
        self.failures += 1
        first_backoff_us = min(MAX_POLL_BACKOFF_US / 4, self._context.settings.max_poll_interval_us / 20)
        wait_us = min(MAX_POLL_BACKOFF_US, first_backoff_us * 2 ** min(self.failures - 1, 3))
        delay_us = wait_us * self._random.uniform(0.5, 1.0)
        self._subscribe_after(delay_us)
        if self.needs_complete_list and not self._is_resync_pending:
            self._resync_after(delay_us)

    def _subscribe_after(self, delay_us: float) -> None:
        self._timers.set(self._context.now_us + int(delay_us), self._subscribe)

    def _resync_after(self, delay_us: float) -> None:
        self._is_resync_pending = True
        self._timers.set(self._context.now_us + int(delay_us), self._resync)

    def _resync(self) -> None:
        self._is_resync_pending = False
        if self.needs_complete_list:
            self._actions.append(PollEndpoints())

    def _subscribe(self) -> None:
        if not self._context.settings.endpoints_are_pushed:
            self._actions.append(SubscribeEndpoints())
