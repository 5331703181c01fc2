"""The list that a watch began with where it is older than the list in use, and its changes since."""

from __future__ import annotations

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
        is_partial: Whether something on the watch could not be read.
    """

    def __init__(self, complete_list: WatchEvent) -> None:
        self.entries: dict[str, DiscoveredEndpoint] = {}
        self.is_partial = False
        self.apply(complete_list)

    def apply(self, change: WatchEvent) -> None:
        """Apply a change of the watch."""
        apply_entries(self.entries, change.endpoints)
        self.is_partial = self.is_partial or change.is_partial

    def complete_list(self, index: int) -> WatchEvent:
        """Return the list as a complete one at an index."""
        return WatchEvent(ListKind.COMPLETE, tuple(self.entries.values()), index, self.is_partial)
