"""Attempts: connections to endpoints, transmission, answers, and network faults on the way."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

from lab.model.attempt_checks import AttemptChecks
from lab.model.clients import Clients
from lab.model.endpoint import ModelEndpoint
from lab.model.engine import Clock, to_us
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.job import Job, LoadReport
from lab.model.network import Network
from lab.model.requests import Attempt, GatewayRequest, RequestEnd
from lab.model.rules import Rule, Rules
from lab.model.run_record import RunRecord
from lab.model.scenario import Scenario
from lab.model.workload import LOSS_DRAWS_PER_REQUEST, Workload
from load_balancer.decisions.actions import Cancel, Send
from load_balancer.decisions.events import AttemptEnded, Outcome

REUSABLE = frozenset({Outcome.OK, Outcome.ERROR, Outcome.REJECTED})  # outcomes that keep the connection
ATTEMPTS_PER_TRY = 4  # attempts of one client try that have separate loss draws
HANDSHAKE_ONE_WAY_DELAYS = 3  # SYN, SYN-ACK, then the request itself


class EndAttempt(Protocol):
    """Callback that ends an attempt."""

    def __call__(self, outcome: Outcome, load: LoadReport = ()) -> None:
        """End the attempt with an outcome and the load report of its answer."""


class Attempts:
    """Simulates the attempts that gateways send, and checks them against the rules."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        workload: Workload,
        network: Network,
        fleet: EndpointFleet,
        checks: AttemptChecks,
        clients: Clients,
        rules: Rules,
        record: RunRecord,
    ) -> None:
        self._clock = clock
        self._terms = scenario.fleet
        self._workload = workload
        self._connect_timeout_us = to_us(scenario.network.connect_timeout_ms / 1e3)
        self._network = network
        self._fleet = fleet
        self._checks = checks
        self._clients = clients
        self._rules = rules
        self._record = record

    def send(self, gateway: ModelGateway, action: Send) -> None:
        """Start an attempt.

        An attempt of a finished request, or past the deadline or the attempt limit, ends at once with
        `NOT_SENT`.
        """
        request, now_us = gateway.requests.get(action.request_id), self._clock.now_us
        if request is None or action.endpoint_id not in gateway.known_ids:
            description = f"{action.request_id} or endpoint {action.endpoint_id} is unknown to the gateway"
            self._rules.report(Rule.INVALID_ACTION, gateway.index, description)
            return
        endpoint = self._fleet.by_id(action.endpoint_id)
        self._checks.check(gateway, request, endpoint)
        attempt_number = len(request.attempts)
        attempt = Attempt(endpoint.index, now_us)
        request.attempts.append(attempt)
        end = partial(self._end, gateway, gateway.epoch, request, attempt_number)
        remaining_us = request.deadline_us - now_us
        if request.finished or remaining_us <= 0 or attempt_number >= gateway.settings.max_attempts:
            self._clock.call_at(now_us, end, Outcome.NOT_SENT)
            return
        self._record.costs["attempts"] += 1
        self._record.costs["repeats"] += attempt_number > 0
        self._record.costs["crossings"] += endpoint.zone != gateway.zone
        timeout_us = min(remaining_us, action.timeout_us or remaining_us)
        self._clock.call_at(now_us + max(0, timeout_us), end, Outcome.TIMEOUT)
        self._transmit(gateway, request, attempt, end)

    def cancel(self, gateway: ModelGateway, action: Cancel) -> None:
        """Cancel an attempt; its end is delivered to the gateway as an event."""
        request = gateway.requests.get(action.request_id)
        if request is None or not 0 <= action.attempt < len(request.attempts):
            description = f"{action.request_id} had an attempt cancelled that was never sent"
            self._rules.report(Rule.INVALID_ACTION, gateway.index, description)
            return
        end = partial(self._end, gateway, gateway.epoch, request, action.attempt)
        self._clock.call_at(self._clock.now_us, end, Outcome.CANCELLED)

    def reset_attempts(self, gateway: ModelGateway, request: GatewayRequest) -> None:
        """End the attempts of a request whose gateway process has ended."""
        for attempt in request.attempts:
            if attempt.outcome is None:
                self._release(gateway, attempt, Outcome.RESET)

    def _transmit(
        self, gateway: ModelGateway, request: GatewayRequest, attempt: Attempt, end: EndAttempt
    ) -> None:
        """Send an attempt over an idle connection, or over a new one if there is none."""
        endpoint, now_us = self._fleet.endpoints[attempt.endpoint_index], self._clock.now_us
        idle = gateway.idle_connections.pop_latest(endpoint.index)
        if idle is None:
            connected = self._connect(gateway, endpoint, attempt, end)
        else:
            connected = self._reuse(gateway, endpoint, attempt, idle.epoch, end)
        if not connected:
            return
        delay_us = self._network.delay_us(gateway.zone, endpoint)
        if self._is_lost(request, attempt, leg=0):
            self._clock.call_at(now_us + delay_us, end, Outcome.RESET)
            return
        row = request.workload_row
        attempt.job = Job(
            self._workload.work_us[row],
            self._terms.handshake_ms * 1e3 if idle is None else 0.0,
            self._workload.blocked_us[row],
            self._workload.fails[row],
            self._checks.knows_last_start(gateway, endpoint),
            gateway.index,
            partial(self._return_answer, gateway, endpoint, request, attempt, end),
            partial(self._return_reset, gateway, endpoint, end),
        )
        one_way_delays = HANDSHAKE_ONE_WAY_DELAYS if idle is None else 1
        self._clock.call_at(now_us + one_way_delays * delay_us, self._arrive, gateway, endpoint, attempt, end)

    def _reuse(
        self, gateway: ModelGateway, endpoint: ModelEndpoint, attempt: Attempt, epoch: int, end: EndAttempt
    ) -> bool:
        """Use an idle connection.

        Returns:
            False where the endpoint's process was replaced without closing the connection, so that the new
            process resets it.
        """
        attempt.connection_epoch = epoch
        reachable = self._network.reaches_endpoint(gateway.zone, endpoint)
        if epoch == endpoint.epoch or not endpoint.up or not reachable:
            return True
        attempt.connection_epoch = None
        delay_us = self._network.delay_us(gateway.zone, endpoint)
        self._clock.call_at(self._clock.now_us + 2 * delay_us, end, Outcome.RESET)
        return False

    def _connect(
        self, gateway: ModelGateway, endpoint: ModelEndpoint, attempt: Attempt, end: EndAttempt
    ) -> bool:
        """Open a connection; return whether that succeeds."""
        self._record.costs["handshakes"] += 1
        if not self._network.reaches_endpoint(gateway.zone, endpoint):
            failed_after_us = self._connect_timeout_us
        elif not endpoint.up or endpoint.connections >= self._terms.max_connections:
            failed_after_us = 2 * self._network.delay_us(gateway.zone, endpoint)
        else:
            endpoint.connections += 1
            attempt.connection_epoch = endpoint.epoch
            return True
        self._clock.call_at(self._clock.now_us + failed_after_us, end, Outcome.CONNECT_FAILED)
        return False

    def _is_lost(self, request: GatewayRequest, attempt: Attempt, leg: int) -> bool:
        """Return whether the request (leg 0) or its answer (leg 1) is lost."""
        attempt_index = request.try_number * ATTEMPTS_PER_TRY + request.attempts.index(attempt)
        column = attempt_index % LOSS_DRAWS_PER_REQUEST * 2 + leg
        return bool(self._workload.loss_draws[request.workload_row, column] < self._network.loss)

    def _arrive(
        self, gateway: ModelGateway, endpoint: ModelEndpoint, attempt: Attempt, end: EndAttempt
    ) -> None:
        reachable = self._network.reaches_endpoint(gateway.zone, endpoint)
        if attempt.outcome is not None or not reachable or attempt.job is None:
            return
        if attempt.connection_epoch != endpoint.epoch:
            self._return_reset(gateway, endpoint, end)
            return
        endpoint.accept(attempt.job)

    def _return_reset(self, gateway: ModelGateway, endpoint: ModelEndpoint, end: EndAttempt) -> None:
        """Reset the connection because the endpoint process that held it has ended."""
        if self._network.reaches_endpoint(gateway.zone, endpoint):
            delay_us = self._network.delay_us(gateway.zone, endpoint)
            self._clock.call_at(self._clock.now_us + delay_us, end, Outcome.RESET)

    def _return_answer(
        self,
        gateway: ModelGateway,
        endpoint: ModelEndpoint,
        request: GatewayRequest,
        attempt: Attempt,
        end: Callable[[Outcome, LoadReport], None],
        outcome: Outcome,
        load: LoadReport,
    ) -> None:
        if not self._network.reaches_endpoint(gateway.zone, endpoint):
            return
        if self._is_lost(request, attempt, leg=1):
            outcome, load = Outcome.RESET, ()
        delay_us = self._network.delay_us(gateway.zone, endpoint)
        self._clock.call_at(self._clock.now_us + delay_us, end, outcome, load)

    def _end(
        self,
        gateway: ModelGateway,
        epoch: int,
        request: GatewayRequest,
        attempt_number: int,
        outcome: Outcome,
        load: LoadReport = (),
    ) -> None:
        """End an attempt and notify the gateway; only the first outcome counts."""
        attempt = request.attempts[attempt_number]
        if attempt.outcome is not None or gateway.epoch != epoch:
            return
        self._release(gateway, attempt, outcome)
        if outcome is Outcome.OK and not request.finished:
            self._record.useful_work_us += attempt.job.work_us if attempt.job is not None else 0.0
            self._clients.finish(request, RequestEnd.SERVED)
        duration_us = self._clock.now_us - attempt.sent_us
        endpoint_id = self._fleet.ids[attempt.endpoint_index]
        gateway.deliver(
            AttemptEnded(
                request.id, attempt_number, endpoint_id, outcome, duration_us, request.finished, load
            )
        )

    def _release(self, gateway: ModelGateway, attempt: Attempt, outcome: Outcome) -> None:
        """Keep or close the attempt's connection.

        If it is closed, the endpoint drops the attempt's job one network delay later.
        """
        endpoint = self._fleet.endpoints[attempt.endpoint_index]
        attempt.outcome = outcome
        if attempt.connection_epoch is not None and attempt.connection_epoch == endpoint.epoch:
            if outcome in REUSABLE:
                gateway.idle_connections.add(endpoint, self._clock.now_us)
            else:
                endpoint.connections -= 1
        reachable = self._network.reaches_endpoint(gateway.zone, endpoint)
        if outcome not in REUSABLE and attempt.job is not None and reachable:
            delay_us = self._network.delay_us(gateway.zone, endpoint)
            self._clock.call_at(self._clock.now_us + delay_us, endpoint.cancel, attempt.job)
