"""Timers, which are set by actions and fired by events."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.decisions.actions import Action, SetTimer


class Timers:
    """The timers that have not fired.

    Attributes:
        callbacks: The timers' callbacks by token.
    """

    __slots__ = ("_actions", "_next_token", "callbacks")

    def __init__(self, actions: list[Action]) -> None:
        """Use `actions` as the list to which the actions that set timers are appended."""
        self._actions = actions
        self._next_token = 1
        self.callbacks: dict[int, Callable[[], None]] = {}

    def set(self, due_us: int, callback: Callable[[], None]) -> None:
        """Set a timer that calls `callback` at or after an absolute time in microseconds."""
        self.callbacks[self._next_token] = callback
        self._actions.append(SetTimer(due_us, self._next_token))
        self._next_token += 1

    def fire(self, token: int) -> None:
        """Call the callback of a timer; ignore a timer that is unknown or has fired."""
        callback = self.callbacks.pop(token, None)
        if callback is not None:
            callback()
