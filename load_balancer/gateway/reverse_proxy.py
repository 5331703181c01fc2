"""The reverse proxy: passes events from the network to one Balancer and executes its actions in order.

All decisions are the balancer's. An exception from a decision or an action is logged, and the request that it
concerns is answered with 500.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from load_balancer.config.addresses import Address
from load_balancer.config.gateway_config import Config
from load_balancer.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogEvent,
    PollEndpoints,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    StartHealthCheck,
    SubscribeEndpoints,
)
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import (
    EndpointListSkipped,
    Event,
    Outcome,
    PeerMessageReceived,
    SettingsChanged,
    TimerFired,
)
from load_balancer.decisions.settings import LoadReportMode
from load_balancer.decisions.settings_version import SettingsVersion
from load_balancer.gateway.attempt_sender import AttemptSender
from load_balancer.gateway.buffer_budget import BufferBudget
from load_balancer.gateway.client_request import ClientRequest
from load_balancer.gateway.clock import Clock
from load_balancer.gateway.decision_log import DecisionLog
from load_balancer.gateway.discovery import DiscoveryClient
from load_balancer.gateway.discovery_messages import WatchEvent
from load_balancer.gateway.event_dispatcher import EventDispatcher
from load_balancer.gateway.event_log import log_event, log_refusal
from load_balancer.gateway.health_checks import HealthChecker
from load_balancer.gateway.http_message import Response, text_response
from load_balancer.gateway.log_fields import LogFieldResolver
from load_balancer.gateway.peers import PeerChannel
from load_balancer.gateway.request_tracker import AnswerCallback, PendingRequest, RequestTracker
from load_balancer.gateway.socket_budget import upstream_connection_limit
from load_balancer.gateway.upstream_pool import UpstreamPool

SWEEP_INTERVAL_S = 1.0


class ReverseProxy:
    """The reverse proxy of one gateway: a Balancer and the parts that execute its actions.

    Attributes:
        config: The configuration in force.
        settings: The settings in force.
        loop: Runs the proxy.
        clock: The clock of events and deadlines.
        balancer: Makes all decisions.
        buffers: The budget that the messages of all connections are counted in.
        request_tracker: Tracks the pending requests.
        upstream: Connections to endpoints.
        discovery: Client of service discovery.
        peers: Messages to and from other gateways.
        is_ready: Whether an endpoint has been known or discovery has answered. It stays set while no endpoint
            is listed, as requests are then rejected at once.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        settings = config.settings
        self.config = config
        self.settings = settings
        self.loop = loop
        self.clock = Clock()
        self.balancer = Balancer(settings, config.seed)
        self._dispatcher = EventDispatcher(
            self.balancer, self.clock, self.execute, self._decision_failed, self._action_failed
        )
        self.buffers = BufferBudget(config.memory_limit_mb)
        self.upstream = UpstreamPool(
            loop,
            buffers=self.buffers,
            max_connections=upstream_connection_limit(config.max_sockets),
            connect_timeout_us=settings.connect_timeout_us,
            idle_timeout_us=settings.idle_connection_timeout_us,
        )
        self.discovery = DiscoveryClient(
            loop,
            config.discovery,
            config.names,
            settings.endpoints_are_pushed,
            self.on_watch_event,
            lambda: self.dispatch(EndpointListSkipped()),
        )
        self.peers = PeerChannel(self._on_peer_message)
        self.is_ready = False
        self._log_fields = LogFieldResolver(
            config.names, lambda: self.settings_version, self.upstream.authority
        )
        self.request_tracker = RequestTracker(loop, self.clock, self.dispatch, self._log_fields.for_request)
        self._decision_log = DecisionLog(self.request_tracker, self._log_fields)
        self._attempts = AttemptSender(
            self.request_tracker,
            self.upstream,
            self.clock,
            self.dispatch,
            self._log_fields,
            reads_load_reports=settings.load_reports.mode is LoadReportMode.RESPONSES,
        )
        self._health_checks = HealthChecker(self.upstream, self.clock, self.dispatch)

    # Life cycle

    async def start(self) -> None:
        """Start to receive messages from peers and from discovery.

        Raises:
            OSError: If the address for peers cannot be used.
        """
        if self.settings.may_message_peers and self.config.peer_listen is not None:
            await self.peers.open(self.loop, self.config.peer_listen)
        self.discovery.start(self.config.cached_endpoint_list)
        self.config.cached_endpoint_list.clear()  # already parsed; frees the memory of thousands of entries
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def sweep(self) -> None:
        """Do the periodic work, every `SWEEP_INTERVAL_S`."""
        self.upstream.sweep()
        self._log_suppressed()
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def close(self) -> None:
        """Close all connections to endpoints, discovery and peers."""
        self._log_suppressed()
        self.discovery.close()
        self.upstream.close()
        self.peers.close()

    # Settings

    @property
    def settings_version(self) -> SettingsVersion:
        """The version in force."""
        return self.balancer.settings_version

    def apply_settings(self, config: Config, version: SettingsVersion) -> None:
        """Apply a settings version to requests from now on; connections stay open."""
        self.dispatch(SettingsChanged(version))
        self.settings = settings = config.settings
        self._log_fields.names = config.names
        self._attempts.reads_load_reports = settings.load_reports.mode is LoadReportMode.RESPONSES
        self.upstream.set_timeouts(settings.connect_timeout_us, settings.idle_connection_timeout_us)

    # Events in, actions out

    def dispatch(self, event: Event) -> None:
        """Pass an event to the balancer and execute the actions that it returns."""
        self._dispatcher.dispatch(event)

    def _decision_failed(self, event: Event, error: Exception) -> None:
        fields = self._log_fields.for_subject(event, self.request_tracker.pending)
        log_event("balancer.failed", subject=repr(event), error=error, **fields)
        self.request_tracker.answer_internal_error(getattr(event, "request_id", None))

    def _action_failed(self, action: Action, error: Exception) -> None:
        fields = self._log_fields.for_subject(action, self.request_tracker.pending)
        log_event("action.failed", subject=repr(action), error=error, **fields)
        self.request_tracker.answer_internal_error(getattr(action, "request_id", None))

    def execute(self, action: Action) -> None:
        """Execute an action."""
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                delay_us = action.due_us - self.clock.now_us()
                self.loop.call_later(max(0, delay_us) / 1e6, self.dispatch, TimerFired(action.token))
            case Reject():
                self._answer_unserved(action, rejection_response(action.retry_after_us))
            case Fail():
                self._answer_unserved(action, text_response(502, "failed"))
            case Cancel():
                self._cancel(action)
            case _:
                self._execute_global_action(action)

    def _execute_global_action(self, action: Action) -> None:
        """Execute an action that concerns no single request."""
        match action:
            case SubscribeEndpoints():
                self.discovery.set_subscribed(action.active)
            case PollEndpoints():
                self.discovery.poll()
            case StartHealthCheck():
                self._health_checks.check(action.endpoint_id, self.settings)
            case CloseIdleConnections():
                self.upstream.close_idle(action.endpoint_id)
            case SendPeerMessage():
                self._send_to_peers(action)
            case LogEvent():
                self._decision_log.log_decision(action)

    def _answer_unserved(self, action: Reject | Fail, response: Response) -> None:
        request = self.request_tracker.get(action.request_id)
        if request is not None:
            self._decision_log.log_unserved(request, response.status, action.reason)
            self.request_tracker.answer_by_id(action.request_id, response)

    def _send(self, action: Send) -> None:
        request = self.request_tracker.get(action.request_id)
        if request is None:
            log_event(
                "attempt.orphaned", **self._log_fields.for_subject(action, self.request_tracker.pending)
            )
        else:
            self._attempts.send(request, action)

    def _cancel(self, action: Cancel) -> None:
        request = self.request_tracker.get(action.request_id)
        attempt = request.attempts[action.attempt] if request is not None else None
        if attempt is not None:
            attempt.abandon(Outcome.CANCELLED)

    def _send_to_peers(self, action: SendPeerMessage) -> None:
        index = action.gateway_index
        receiver = self.config.peers_all if index is None else self.config.peers[index]
        self.peers.send(action.data, receiver if self.settings.may_message_peers else None)

    def _log_suppressed(self) -> None:
        """Log how many lines the balancer has suppressed since its last line, if any."""
        suppressed, self.balancer.log.suppressed = self.balancer.log.suppressed, 0
        if suppressed:
            log_event("balancer.suppressed", suppressed=suppressed)

    # Events from the network

    def accept(
        self,
        client_request: ClientRequest,
        send_answer: AnswerCallback,
        has_disconnected: Callable[[], bool] = lambda: False,
    ) -> PendingRequest | None:
        """Accept a request as `RequestTracker.accept` does, or answer it itself.

        The answer is 503 if too many requests are unanswered, and 409 if a request with this id may have been
        executed, and must not be executed again. Every request has an id of its own, but a client that has
        left may come again with the same one.
        """
        if 0 < self.settings.max_open_requests <= self.request_tracker.unanswered:
            self._refuse(send_answer, text_response(503, "too many requests"))
            return None
        version = self.settings_version
        if self.request_tracker.is_repeat(client_request, version):
            self._refuse(send_answer, text_response(409, "a request with this id may have run"))
            return None
        names = self._log_fields.names
        request = self.request_tracker.accept(client_request, version, names, send_answer, has_disconnected)
        self.dispatch(request.arrival_event())
        return request

    @staticmethod
    def _refuse(send_answer: AnswerCallback, response: Response) -> None:
        log_refusal(response)
        send_answer(response)

    def on_watch_event(self, event: WatchEvent) -> None:
        """Apply a message of discovery to the connection pools, and pass it to the balancer."""
        if event.kind in (ListKind.COMPLETE, ListKind.DELTA) or event.endpoints:
            self.is_ready = True
        if event.kind in (ListKind.COMPLETE, ListKind.CACHED):
            self.upstream.drain_unlisted(listed.endpoint.id for listed in event.endpoints)
        for listed in event.endpoints:
            self.upstream.update_endpoint(listed.endpoint.id, listed.address, listed.endpoint.status)
        self._decision_log.log_list(event, self.upstream.ready_count)
        self.dispatch(event.to_balancer_event())

    def _on_peer_message(self, data: bytes, sender: Address) -> None:
        if sender in self.config.peers:
            self.dispatch(PeerMessageReceived(self.config.peers.index(sender), data))


def rejection_response(retry_after_us: int) -> Response:
    """Return the answer to a request that is rejected.

    Args:
        retry_after_us: Time after which to retry, in microseconds; 0 or less to omit the header.
    """
    headers = ((b"retry-after", b"%.3f" % (retry_after_us / 1e6)),) if retry_after_us > 0 else ()
    return text_response(503, "refused; trying again is harmless", *headers)
