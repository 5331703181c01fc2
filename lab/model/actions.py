"""Execution of the actions that the gateways' policies return."""

from __future__ import annotations

from collections.abc import Sequence

from lab.model.attempts import Attempts
from lab.model.clients import Clients
from lab.model.engine import Clock, to_us
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.network import Network
from lab.model.registry import Registry
from lab.model.requests import RequestEnd
from lab.model.rules import Rule, Rules
from lab.model.run_record import RunRecord
from lab.model.scenario import Scenario
from lab.schedule import stream
from load_balancer.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    PollEndpoints,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    StartHealthCheck,
    SubscribeEndpoints,
)
from load_balancer.decisions.events import HealthCheckEnded, Outcome, PeerMessageReceived, TimerFired


class PeerMessages:
    """Messages between gateways, with network delay and loss; their cost is counted in bytes delivered."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        network: Network,
        gateways: Sequence[ModelGateway],
        record: RunRecord,
        seed: int,
    ) -> None:
        self._clock = clock
        self._delay_ms = scenario.network.peer_message_ms
        self._network = network
        self._gateways = gateways
        self._record = record
        self._rng = stream(seed, "peers")

    def send(self, gateway: ModelGateway, action: SendPeerMessage) -> None:
        """Send a message to one gateway, or to all others."""
        for peer in self._gateways:
            if peer is gateway or action.gateway_index not in (None, peer.index):
                continue
            delay_us, loss_draw = to_us(self._rng.uniform(*self._delay_ms) / 1e3), self._rng.random()
            if loss_draw >= self._network.loss and self._network.reaches(gateway.zone, peer.zone):
                event = PeerMessageReceived(gateway.index, action.data)
                self._clock.call_at(self._clock.now_us + delay_us, self._deliver, peer, event)

    def _deliver(self, peer: ModelGateway, event: PeerMessageReceived) -> None:
        if peer.up:
            self._record.costs["peer_bytes"] += len(event.data)
            peer.deliver(event)


class HealthChecks:
    """Health checks of endpoints, each over a separate connection."""

    def __init__(
        self, clock: Clock, scenario: Scenario, network: Network, fleet: EndpointFleet, record: RunRecord
    ) -> None:
        self._clock = clock
        self._network = network
        self._fleet = fleet
        self._record = record
        self._work_us = scenario.fleet.health_check_ms * 1e3
        self._connect_timeout_us = to_us(scenario.network.connect_timeout_ms / 1e3)

    def start(self, gateway: ModelGateway, endpoint_id: int) -> None:
        """Start a health check of an endpoint; the gateway receives its outcome as an event."""
        self._record.costs["probes"] += 1
        endpoint = self._fleet.by_id(endpoint_id)
        duration_us = 2 * self._network.delay_us(gateway.zone, endpoint) + round(self._work_us)
        outcome, load = Outcome.OK, endpoint.load_report()
        if endpoint.up and self._network.reaches_endpoint(gateway.zone, endpoint):
            endpoint.worked_us += self._work_us
        else:
            outcome, load = Outcome.CONNECT_FAILED, ()
            duration_us = self._connect_timeout_us
        event = HealthCheckEnded(endpoint_id, outcome, duration_us, load)
        self._clock.call_at(self._clock.now_us + duration_us, self._end, gateway, gateway.epoch, event)

    def _end(self, gateway: ModelGateway, epoch: int, event: HealthCheckEnded) -> None:
        if gateway.epoch == epoch:
            gateway.deliver(event)


class ActionExecutor:
    """Passes each action to the part of the model that executes it."""

    def __init__(
        self,
        clock: Clock,
        attempts: Attempts,
        clients: Clients,
        registry: Registry,
        peers: PeerMessages,
        health_checks: HealthChecks,
        fleet: EndpointFleet,
        rules: Rules,
    ) -> None:
        self._clock = clock
        self._attempts = attempts
        self._clients = clients
        self._registry = registry
        self._peers = peers
        self._health_checks = health_checks
        self._fleet = fleet
        self._rules = rules

    def execute(self, gateway: ModelGateway, action: Action) -> None:
        """Execute one action of a gateway."""
        match action:
            case Send():
                self._attempts.send(gateway, action)
            case Cancel():
                self._attempts.cancel(gateway, action)
            case Reject() | Fail():
                self._answer(gateway, action)
            case SetTimer():
                self._clock.call_at(action.due_us, self._deliver_timer, gateway, gateway.epoch, action.token)
            case SendPeerMessage():
                self._peers.send(gateway, action)
            case SubscribeEndpoints() | PollEndpoints():
                self._call_discovery(gateway, action)
            case StartHealthCheck():
                self._health_checks.start(gateway, action.endpoint_id)
            case CloseIdleConnections():
                gateway.idle_connections.close(self._fleet.index_of[action.endpoint_id])

    def _answer(self, gateway: ModelGateway, action: Reject | Fail) -> None:
        request = gateway.requests.get(action.request_id)
        if request is None:
            self._rules.report(
                Rule.INVALID_ACTION, gateway.index, f"{action.request_id} is unknown to the gateway"
            )
            return
        self._rules.check_answer(request, isinstance(action, Reject))
        if request.finished:
            return
        if isinstance(action, Reject):
            self._clients.finish(request, RequestEnd.REFUSED, action.retry_after_us)
        else:
            self._clients.finish(request, RequestEnd.FAILED)

    def _call_discovery(self, gateway: ModelGateway, action: SubscribeEndpoints | PollEndpoints) -> None:
        if isinstance(action, PollEndpoints):
            self._registry.call(gateway, watch=False)
        elif action.active:
            self._registry.call(gateway, watch=True)
        else:
            gateway.watching = False
            gateway.last_call_us = self._clock.now_us

    def _deliver_timer(self, gateway: ModelGateway, epoch: int, token: int) -> None:
        if gateway.epoch == epoch:
            gateway.deliver(TimerFired(token))
