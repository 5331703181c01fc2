"""Checks of attempts against the rules, given the notifications that the gateways have received."""

from __future__ import annotations

from lab.model.endpoint import ModelEndpoint
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.registry import Registry
from lab.model.requests import GatewayRequest
from lab.model.rules import Rules
from load_balancer.decisions.endpoint import EndpointStatus
from load_balancer.decisions.settings import DeduplicationScope


class AttemptChecks:
    """Checks each attempt against the rules when it is sent."""

    def __init__(self, fleet: EndpointFleet, registry: Registry, rules: Rules) -> None:
        self._fleet = fleet
        self._registry = registry
        self._rules = rules

    def check(self, gateway: ModelGateway, request: GatewayRequest, endpoint: ModelEndpoint) -> None:
        """Check an attempt that is about to be sent."""
        scope = request.request_class.scope
        attempted_endpoints = [self._fleet.endpoints[attempt.endpoint_index] for attempt in request.attempts]
        groups = [deduplication_group(scope, earlier) for earlier in attempted_endpoints]
        self._rules.check_send(request, deduplication_group(scope, endpoint), groups)
        endpoint_id = self._fleet.ids[endpoint.index]
        notified_us = gateway.stop_notified_us.get(endpoint_id)
        if notified_us is None:
            assumed = self._registry.assumed_notice(gateway, endpoint_id)
            if assumed is not None and assumed.entry.status is not EndpointStatus.READY:
                notified_us = assumed.notified_us
        self._rules.check_target(gateway.index, endpoint.index, notified_us)

    def knows_last_start(self, gateway: ModelGateway, endpoint: ModelEndpoint) -> bool:
        """Return whether the gateway was notified, or counts as notified, of an endpoint's last start."""
        endpoint_id = self._fleet.ids[endpoint.index]
        entry = gateway.endpoint_list.get(endpoint_id)
        if entry is not None and entry.started_us == endpoint.started_us:
            return True
        assumed = self._registry.assumed_notice(gateway, endpoint_id)
        return assumed is not None and assumed.entry.started_us == endpoint.started_us


def deduplication_group(scope: DeduplicationScope, endpoint: ModelEndpoint) -> int:
    """Return the index of the endpoint group that deduplicates requests with an idempotency key."""
    match scope:
        case DeduplicationScope.ZONE:
            return endpoint.zone
        case DeduplicationScope.GROUP:
            return endpoint.rack
    return 0
