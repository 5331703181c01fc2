"""Processes that stop and start, and who is notified of it."""

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
    """Endpoints that drain, stop, start and crash."""

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
        """The endpoint rejects requests from now on, and discovery learns of it."""
        if endpoint.up:
            endpoint.draining = True
            self._report(endpoint, EndpointStatus.DRAINING)

    def stop(self, endpoint: ModelEndpoint, resets_connections: bool) -> None:
        """The process ends; with `resets_connections`, the gateways see its connections close."""
        if endpoint.up:
            if resets_connections:
                self._drop_idle_connections(endpoint)
            endpoint.stop(resets_connections)
            self._report(endpoint, EndpointStatus.GONE)

    def start(self, endpoint: ModelEndpoint) -> None:
        """A new process begins."""
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
            gateway.idle.forget(endpoint.index)

    def _report(self, endpoint: ModelEndpoint, status: EndpointStatus) -> None:
        self._registry.report_status(endpoint, self._fleet.ids[endpoint.index], status)


class GatewayLifecycle:
    """Gateways that are killed and come back."""

    def __init__(self, ingress: Ingress, attempts: Attempts, clients: Clients) -> None:
        self._ingress = ingress
        self._attempts = attempts
        self._clients = clients

    def kill(self, gateway: ModelGateway) -> None:
        """The process ends, and with it all that it held."""
        if not gateway.up:
            return
        self._ingress.report_down(gateway)
        for request in gateway.stop():
            self._attempts.reset_all(gateway, request)
            if not request.finished:
                self._clients.finish(request, RequestEnd.UNREACHABLE)

    def start(self, gateway: ModelGateway) -> None:
        """A new process begins."""
        if not gateway.up:
            self._ingress.report_up()
            gateway.start()
