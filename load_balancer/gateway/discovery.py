"""The client of discovery: executes subscriptions and polls, and caches the endpoint list."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from load_balancer.config.addresses import Address
from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.list_position import ListPosition
from load_balancer.gateway.discovery_call import CallParameters, DiscoveryCall, PollCall, WatchCall
from load_balancer.gateway.discovery_messages import (
    DiscoveredEndpoint,
    DiscoveryFormatError,
    WatchEvent,
    decode_list,
    parse_list,
)
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.older_list import OlderList, apply_entries

ENDPOINTS_PATH = "/registry/instances"
LOGGED_MESSAGE_CHARACTERS = 200
# The longest time from a change at a reachable discovery until the gateway knows it, whichever call failed.
# In that time the pending call must time out, the wait before the next call must pass (0.2 s after one
# failure, 0.4 s after two, 0.8 s after more, as the balancer sets it), and the next call must be answered,
# which discovery may queue and may reject at the end.
CHANGE_DEADLINE_S = 6.0
# How long discovery may queue a call.
QUEUED_CALL_S = 2.0
# Wait before the watch of a pushed list is opened again; it doubles with each consecutive failure. It is
# short because nothing may be sent to a draining endpoint half a second after the change is pushed, even if
# no watch was open.
REOPEN_BACKOFF_S = 0.05
REOPEN_BACKOFF_MAX_S = 0.25
MAX_COUNTED_FAILURES = 10  # bounds the exponent of the wait
# Calls without an answer that are kept beside the latest one. While none is answered, one more is made about
# every 3.5 s, so that discovery may take 15 s to answer.
MAX_OVERDUE_CALLS = 4


class DiscoveryClient:
    """A client of discovery that executes the balancer's subscriptions and polls.

    A call that is overdue is reported as failed, so that the balancer makes another one, but is kept: the
    first call to be answered is used, and the others are closed.

    Args:
        loop: The loop on which the calls run.
        address: Where discovery accepts connections.
        names: The names of zones and endpoint kinds that the settings declare.
        endpoints_are_pushed: Whether a watch is always kept open, without a subscription.
        on_watch_event: Called with each list, change or failure, in order.
        on_message_skipped: Called for each message that cannot be used.

    Attributes:
        current_watch: The watch that is open or being opened.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        names: NameTable,
        endpoints_are_pushed: bool,
        on_watch_event: Callable[[WatchEvent], None],
        on_message_skipped: Callable[[], None],
    ) -> None:
        self.on_watch_event = on_watch_event
        self._on_message_skipped = on_message_skipped
        self.current_watch: DiscoveryCall | None = None
        self._loop = loop
        self._address = address
        self._names = names
        self._endpoints_are_pushed = endpoints_are_pushed
        self._cached: dict[str, DiscoveredEndpoint] = {}
        self._is_subscribed = False
        self._consecutive_failures = 0
        self._position = ListPosition()
        self._older_list: OlderList | None = None  # of the open watch, while it lags behind the list in use
        self._has_published = False  # a list or change of discovery itself
        self._polls: set[DiscoveryCall] = set()
        self._overdue_calls: list[DiscoveryCall] = []  # the oldest first

    def start(self, cached_list: dict[str, Any]) -> None:
        """Publish a cached list, in the form of a discovery message; open the watch if the list is pushed."""
        event = parse_list({"endpoints": [], **cached_list, "snapshot": True}, self._names, ListKind.CACHED)
        self._publish(event)
        if self._endpoints_are_pushed:
            self.set_subscribed(True)

    def close(self) -> None:
        """End all calls without reporting them as failed."""
        for call in (self.current_watch, *self._polls):
            if call is not None:
                call.close()
        self._close_overdue_calls()

    def set_subscribed(self, active: bool) -> None:
        """Open a watch unless one is open, or close it."""
        self._is_subscribed = active
        if self.current_watch is not None and not active:
            self.current_watch.close()
            self.current_watch = None
        if not active:
            self._close_overdue_calls()
        if self.current_watch is None and active:
            target = f"{ENDPOINTS_PATH}?stream=1&index={self._position.resume_index}"
            self._older_list = None
            self.current_watch = WatchCall(self._call_parameters(target))

    def poll(self) -> None:
        """Read the complete list once."""
        self._polls.add(PollCall(self._call_parameters(ENDPOINTS_PATH)))

    def _call_parameters(self, target: str) -> CallParameters:
        return CallParameters(self._loop, self._address, target, self)

    def _close_overdue_calls(self, except_call: DiscoveryCall | None = None) -> None:
        calls, self._overdue_calls = self._overdue_calls, []
        for call in calls:
            if call is not except_call:
                call.close()

    def change_address(self, address: Address) -> None:
        """Repeat the open watch and polls at another address, at once.

        A watch is opened there even if the last one has failed and its retry is not yet due, because a change
        must be known 4 s after the address has changed.
        """
        if address == self._address:
            return
        log_event("discovery.address_changed", address=f"{address[0]}:{address[1]}")
        self._address = address
        if self._is_subscribed:
            self.set_subscribed(False)
            self.set_subscribed(True)
        for call in list(self._polls):
            if not call.is_closed:
                call.close()
                self.poll()
            self._polls.discard(call)

    @property
    def index(self) -> int:
        """Position in discovery's log of changes that the list in force has."""
        return self._position.index

    # CallListener

    def on_empty_line(self) -> None:
        """Publish a change without endpoints if that is the first answer: the cached list is current."""
        if not self._has_published:
            self._publish(WatchEvent(ListKind.DELTA, (), self._position.index))

    def on_call_answered(self, call: DiscoveryCall) -> None:
        """Use an answered call, which may be overdue, and close the others."""
        if call in self._overdue_calls and isinstance(call, WatchCall):
            if self.current_watch is not None:
                self.current_watch.close()
            self.current_watch = call
            self._older_list = None
        self._close_overdue_calls(except_call=call)

    def on_call_overdue(self, call: DiscoveryCall) -> None:
        """Keep an overdue call, and report it as failed so that another one is made."""
        self._overdue_calls.append(call)
        if len(self._overdue_calls) > MAX_OVERDUE_CALLS:
            self._overdue_calls.pop(0).close()
        self._report_failure(call)

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Report a failed call, unless it has been reported when it became overdue."""
        if call in self._overdue_calls:
            self._overdue_calls.remove(call)
        else:
            self._report_failure(call)

    def _report_failure(self, call: DiscoveryCall) -> None:
        """Report a failure; the watch of a pushed list is opened again after a wait instead."""
        self._polls.discard(call)
        if call is self.current_watch:
            self.current_watch = None
            if self._endpoints_are_pushed:
                self._reopen_after_backoff()
                return
        self.on_watch_event(WatchEvent(ListKind.ERROR))

    def _reopen_after_backoff(self) -> None:
        backoff_s = min(REOPEN_BACKOFF_S * 2**self._consecutive_failures, REOPEN_BACKOFF_MAX_S)
        self._consecutive_failures = min(self._consecutive_failures + 1, MAX_COUNTED_FAILURES)
        self._loop.call_later(backoff_s * random.uniform(0.5, 1.0), self.set_subscribed, True)

    def on_message(self, call: DiscoveryCall, data: bytes) -> bool:
        """Publish one message; return False and leave the list unchanged if it cannot be read.

        The list is unchanged too if it is newer than the message.
        """
        is_watched = isinstance(call, WatchCall)
        older_list = self._older_list if is_watched else None
        known = self._cached if older_list is None else older_list.entries
        try:
            event = decode_list(data, self._names, known)
        except DiscoveryFormatError as error:
            payload = f"{data!r:.{LOGGED_MESSAGE_CHARACTERS}}"
            log_event("discovery.message_skipped", error=error, payload=payload)
            if older_list is not None:
                older_list.is_partial = True
            self._note_skipped()
            return False
        self._consecutive_failures = 0
        self._polls = {poll for poll in self._polls if not poll.is_closed}
        if older_list is not None and event.kind is ListKind.DELTA:
            event = older_list.next_event(event, self._position.index)
        if self._position.rejects_as_older(event.kind, event.index, self._loop.time()):
            log_event("discovery.list_older", index=event.index, applied_index=self._position.index)
            if is_watched:
                self._older_list = OlderList(event)
            self._note_skipped()
        else:
            if event.kind is ListKind.COMPLETE and (is_watched or self._is_watch_at(event)):
                self._older_list = None
            self._publish(event)
        return True

    def _is_watch_at(self, polled: WatchEvent) -> bool:
        """Return whether a complete list of a poll is whole and as new as that of the watch."""
        older_list = self._older_list
        return older_list is not None and older_list.index == polled.index and not polled.is_partial

    def _note_skipped(self) -> None:
        self._position.note_skipped()
        self._on_message_skipped()

    def _publish(self, event: WatchEvent) -> None:
        self._has_published = self._has_published or event.kind is not ListKind.CACHED
        self._position.note_applied(event.kind, event.index, is_partial=event.is_partial)
        if event.kind is not ListKind.DELTA:
            self._cached.clear()
        apply_entries(self._cached, event.endpoints)
        self.on_watch_event(event)
