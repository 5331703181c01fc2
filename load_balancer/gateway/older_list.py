"""The list that a watch began with where it is older than the list in use, and its changes since."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.gateway.discovery_messages import DiscoveredEndpoint, WatchEvent


def apply_entries(listed: dict[str, DiscoveredEndpoint], entries: tuple[DiscoveredEndpoint, ...]) -> None:
    """Add, replace and remove the endpoints that entries name."""
    for entry in entries:
        if entry.endpoint.status is EndpointStatus.GONE:
            listed.pop(entry.name, None)
        else:
            listed[entry.name] = entry


class OlderList:
    """The list at the index that a watch is sent up to.

    The changes of a watch apply to the list that it began with. An endpoint that has changed and changed back
    since is not among them, so that they must not be applied to a newer list.

    Attributes:
        entries: The endpoints by name.
        index: The index of the last change of the watch.
        is_partial: Whether something on the watch could not be read.
    """

    def __init__(self, complete_list: WatchEvent) -> None:
        self.entries: dict[str, DiscoveredEndpoint] = {}
        self.index = complete_list.index
        self.is_partial = complete_list.is_partial
        apply_entries(self.entries, complete_list.endpoints)

    def next_event(self, change: WatchEvent, index_in_use: int) -> WatchEvent:
        """Apply a change of the watch, and return what to do with it.

        Returns:
            The whole list with the change. If a part of it could not be read, and the change is newer than
            the list in use, the change alone: what the list says of other endpoints may be wrong.
        """
        apply_entries(self.entries, change.endpoints)
        self.index = change.index
        self.is_partial = self.is_partial or change.is_partial
        if self.is_partial and change.index > index_in_use:
            return replace(change, is_partial=True)
        return WatchEvent(ListKind.COMPLETE, tuple(self.entries.values()), change.index, self.is_partial)
