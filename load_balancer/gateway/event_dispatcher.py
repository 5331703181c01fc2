"""Passes events to the balancer, one at a time, and executes the actions that it returns."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from load_balancer.decisions.actions import Action
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.events import Event
from load_balancer.gateway.clock import Clock


class EventDispatcher:
    """A queue of events for a balancer, whose actions it executes."""

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        execute: Callable[[Action], None],
        decision_failed: Callable[[Event, Exception], None],
        action_failed: Callable[[Action, Exception], None],
    ) -> None:
        """Create a dispatcher.

        Args:
            balancer: Handles the events.
            clock: Gives the time of each event.
            execute: Executes an action.
            decision_failed: Called with an event and the exception that the balancer raised for it.
            action_failed: Called with an action and the exception that its execution raised.
        """
        self._balancer = balancer
        self._clock = clock
        self._execute = execute
        self._decision_failed = decision_failed
        self._action_failed = action_failed
        self._events: deque[Event] = deque()
        self._is_running = False

    def dispatch(self, event: Event) -> None:
        """Handle an event; one raised while actions are executed is queued until those are done."""
        self._events.append(event)
        if self._is_running:
            return
        self._is_running = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_running = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(self._clock.now_us(), event)
        except Exception as error:
            self._decision_failed(event, error)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self._action_failed(action, error)
