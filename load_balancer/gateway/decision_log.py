"""Logs what the balancer decides and the lists that it decides by."""

from __future__ import annotations

from load_balancer.decisions.actions import LogEvent, UnservedReason
from load_balancer.decisions.endpoint import ListKind
from load_balancer.gateway.discovery_messages import WatchEvent
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.log_fields import LogFieldResolver, client_request_id
from load_balancer.gateway.request_tracker import PendingRequest, RequestTracker


class DecisionLog:
    """The log of decisions, with the client's id of each request."""

    def __init__(self, request_tracker: RequestTracker, log_fields: LogFieldResolver) -> None:
        self._request_tracker = request_tracker
        self._log_fields = log_fields

    def log_decision(self, action: LogEvent) -> None:
        """Log an event of the balancer."""
        fields = self._log_fields.resolve(action.fields)
        request = self._request_tracker.get(str(fields.get("request_id")))
        if request is not None:
            fields["client_request_id"] = client_request_id(request)
        log_event(action.event, **fields)

    def log_unserved(self, request: PendingRequest, status: int, reason: UnservedReason) -> None:
        """Log that the balancer answers a request that no endpoint has served."""
        fields = self._log_fields.for_request(request)
        log_event("request.unserved", status=status, reason=reason.value, **fields)

    @staticmethod
    def log_list(event: WatchEvent, ready: int) -> None:
        """Log a list of discovery that is in force; the cached one is logged at the start.

        Args:
            event: The list or change.
            ready: How many endpoints requests may be sent to now.
        """
        if event.kind in (ListKind.CACHED, ListKind.ERROR):
            return
        log_event(
            "endpoint_list.applied",
            list_kind=event.kind.value,
            index=event.index,
            endpoints=len(event.endpoints),
            ready=ready,
        )
        if ready == 0:
            log_event("endpoint_list.none_ready", index=event.index)
