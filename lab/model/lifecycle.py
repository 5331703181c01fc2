"""Starts and stops of endpoints and gateways, with the reports to discovery and to the ingress."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from lab.model.attempts import Attempts
from lab.model.clients import Clients
from lab.model.endpoint import ModelEndpoint
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.ingress import Ingress
from lab.model.overload import Overload
from lab.model.registry import Registry
from lab.model.requests import RequestEnd
from lab.model.rules import Rules
from lab.model.run_record import RunRecord
from load_balancer.decisions.endpoint import EndpointStatus


class EndpointLifecycle:
    """Drains, stops and starts endpoints, and handles their crashes."""

    def __init__(
        self,
        fleet: EndpointFleet,
        gateways: Sequence[ModelGateway],
        registry: Registry,
        rules: Rules,
        record: RunRecord,
    ) -> None:
        self._fleet = fleet
        self._gateways = gateways
        self._registry = registry
        self._rules = rules
        self._record = record
        for endpoint in fleet.endpoints:
            endpoint.on_crash = partial(self._handle_crash, endpoint)

    def drain(self, endpoint: ModelEndpoint) -> None:
        """Let an endpoint reject requests, and report it as draining."""
        if endpoint.up:
            endpoint.draining = True
            self._report(endpoint, EndpointStatus.DRAINING)

    def stop(self, endpoint: ModelEndpoint, resets_connections: bool) -> None:
        """End an endpoint's process, and report it as gone.

        Args:
            endpoint: The endpoint.
            resets_connections: Whether its connections are reset, so that gateways drop their idle ones.
        """
        if endpoint.up:
            if resets_connections:
                self._drop_idle_connections(endpoint)
            endpoint.stop(resets_connections)
            self._report(endpoint, EndpointStatus.GONE)

    def start(self, endpoint: ModelEndpoint) -> None:
        """Start a new process unless one is up or the endpoint has crashed, and report it as ready."""
        if not endpoint.crashed and not endpoint.up:
            endpoint.start()
            self._report(endpoint, EndpointStatus.READY)

    def _handle_crash(self, endpoint: ModelEndpoint, overload: Overload) -> None:
        self._record.costs["falls"] += 1
        self._rules.check_crash(endpoint.index, overload.notified_share, overload.gateway_index)
        self._drop_idle_connections(endpoint)
        self._report(endpoint, EndpointStatus.GONE)

    def _drop_idle_connections(self, endpoint: ModelEndpoint) -> None:
        for gateway in self._gateways:
            gateway.idle_connections.discard(endpoint.index)

    def _report(self, endpoint: ModelEndpoint, status: EndpointStatus) -> None:
        self._registry.report_status(endpoint, self._fleet.ids[endpoint.index], status)


class GatewayLifecycle:
    """Kills gateways and starts them again."""

    def __init__(self, ingress: Ingress, attempts: Attempts, clients: Clients) -> None:
        self._ingress = ingress
        self._attempts = attempts
        self._clients = clients

    def kill(self, gateway: ModelGateway) -> None:
        """End a gateway's process, and with it its connections, attempts and requests."""
        if not gateway.up:
            return
        self._ingress.report_down(gateway)
        for request in gateway.stop():
            self._attempts.reset_attempts(gateway, request)
            if not request.finished:
                self._clients.finish(request, RequestEnd.UNREACHABLE)

    def start(self, gateway: ModelGateway) -> None:
        """Start a new process unless one is up."""
        if not gateway.up:
            self._ingress.report_up()
            gateway.start()
