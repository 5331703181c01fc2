"""When to subscribe to the endpoint list again."""

from __future__ import annotations

from random import Random

from load_balancer.decisions.actions import Action, SubscribeEndpoints
from load_balancer.decisions.context import Context
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.timers import Timers

# Whatever call has failed, a change counts as notified 6 s after the list service had it and could be
# reached. Of these a call may hang for 3 s and the next wait in a queue for 2 s, see gateway/discovery.py.
MAX_POLL_BACKOFF_US = 800_000  # before a call is repeated; a quarter at first, doubling with each failure
FIRST_CALL_INTERVAL_SHARE = 0.1  # of the longest poll interval: the first call falls within it
MAX_FIRST_CALL_DELAY_US = 1_500_000  # at most this, as it may be queued, rejected and queued again


class ListPolling:
    """Subscribes after random waits, so that many gateways do not call together.

    Attributes:
        failures: Calls that have failed since the last answer.
    """

    __slots__ = ("_actions", "_context", "_random", "_timers", "failures")

    def __init__(self, actions: list[Action], timers: Timers, random: Random, context: Context) -> None:
        """`actions`: where subscriptions are appended."""
        self._actions = actions
        self._timers = timers
        self._random = random
        self._context = context
        self.failures = 0

    def note_list(self, kind: ListKind) -> None:
        """Note a list; a cached one schedules the first call, unless lists are pushed."""
        settings = self._context.settings
        if kind is ListKind.CACHED and not settings.endpoints_are_pushed:
            # If many gateways started and called together, most calls would be rejected.
            interval_us = settings.max_poll_interval_us * FIRST_CALL_INTERVAL_SHARE
            self._subscribe_after(self._random.random() * min(MAX_FIRST_CALL_DELAY_US, interval_us))
        else:
            self.failures = 0

    def note_failure(self) -> None:
        """Call again after a wait that grows with each failure."""
        self.failures += 1
        first_backoff_us = min(MAX_POLL_BACKOFF_US / 4, self._context.settings.max_poll_interval_us / 20)
        wait_us = min(MAX_POLL_BACKOFF_US, first_backoff_us * 2 ** min(self.failures - 1, 3))
        self._subscribe_after(wait_us * self._random.uniform(0.5, 1.0))

    def _subscribe_after(self, delay_us: float) -> None:
        self._timers.set(self._context.now_us + int(delay_us), self._subscribe)

    def _subscribe(self) -> None:
        if not self._context.settings.endpoints_are_pushed:
            self._actions.append(SubscribeEndpoints())
