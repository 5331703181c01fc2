"""One run of a scenario: connects the parts of the model and runs them in virtual time."""

from __future__ import annotations

from collections.abc import Sequence

from lab.model.actions import ActionExecutor, HealthChecks, PeerMessages
from lab.model.attempt_checks import AttemptChecks
from lab.model.attempts import Attempts
from lab.model.clients import Clients
from lab.model.engine import START_US, Clock, to_us
from lab.model.faults import FaultScheduler
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.gateway_settings import make_settings
from lab.model.ingress import Ingress
from lab.model.lifecycle import EndpointLifecycle, GatewayLifecycle
from lab.model.network import Network
from lab.model.policies import CreatePolicy
from lab.model.registry import Registry
from lab.model.rules import Rules
from lab.model.run_record import RunRecord
from lab.model.samples import Samples
from lab.model.scenario import Scenario
from lab.model.workload import draw_workload
from lab.schedule import stream
from load_balancer.decisions.endpoint import Endpoint

SWEEP_INTERVAL_US = 1_000_000
EXTRA_RUN_S = 3.0  # time that a run continues after the last deadline


class Simulation:
    """One run of a scenario with one policy and one seed.

    Attributes:
        scenario: The scenario.
        clock: Virtual time.
        workload: All requests, drawn from the seed.
        record: How each request ended, and the costs.
        samples: State of endpoints and gateways, sampled once a second.
        fleet: The endpoints.
        rules: Checks of the rules, with the violations.
        gateways: The gateways by index.
        registry: Service discovery.
    """

    def __init__(self, scenario: Scenario, create_policy: CreatePolicy, seed: int) -> None:
        self.scenario = scenario
        self.clock = Clock()
        self.workload = draw_workload(scenario, seed)
        self.record = RunRecord(len(self.workload.times_us))
        self.samples = Samples()
        self.fleet = EndpointFleet(self.clock, scenario, seed)
        self.rules = Rules(self.clock, make_settings(scenario, 0).drain_grace_us)
        # Filled by _start_gateways; several objects below share this list.
        self.gateways: list[ModelGateway] = []
        self._network = Network(scenario, seed)
        entries = self.fleet.entries()
        self.registry = Registry(self.clock, scenario.discovery, self._network, self.gateways, entries, seed)
        self._ingress = Ingress(self.clock, scenario, self.gateways, seed)
        self._clients = Clients(
            self.clock,
            scenario.traffic,
            scenario.clients,
            self.workload,
            self._ingress,
            self.rules,
            self.record,
        )
        self._attempts = Attempts(
            self.clock,
            scenario,
            self.workload,
            self._network,
            self.fleet,
            AttemptChecks(self.fleet, self.registry, self.rules),
            self._clients,
            self.rules,
            self.record,
        )
        self._start_gateways(create_policy, entries, seed)
        self._schedule_faults(seed)
        self._clients.start()
        self.clock.call_at(START_US + SWEEP_INTERVAL_US, self._sweep)

    def run(self) -> None:
        """Run the scenario until all requests have ended."""
        max_timeout_s = max(c.timeout_ms for c in self.scenario.traffic.classes) / 1e3
        self.clock.run(START_US + to_us(self.scenario.seconds + max_timeout_s + EXTRA_RUN_S))

    def _start_gateways(self, create_policy: CreatePolicy, entries: Sequence[Endpoint], seed: int) -> None:
        executor = self._make_executor(seed)
        for index in range(self.scenario.fleet.gateways):
            gateway = ModelGateway(
                index,
                make_settings(self.scenario, index),
                self.clock,
                self.fleet.endpoints,
                entries,
                create_policy,
                executor.execute,
                stream(seed, f"gateway {index}"),
            )
            self.gateways.append(gateway)

    def _make_executor(self, seed: int) -> ActionExecutor:
        peer_messages = PeerMessages(
            self.clock, self.scenario, self._network, self.gateways, self.record, seed
        )
        health_checks = HealthChecks(self.clock, self.scenario, self._network, self.fleet, self.record)
        return ActionExecutor(
            self.clock,
            self._attempts,
            self._clients,
            self.registry,
            peer_messages,
            health_checks,
            self.fleet,
            self.rules,
        )

    def _schedule_faults(self, seed: int) -> None:
        scheduler = FaultScheduler(
            self.clock,
            self.scenario,
            self._network,
            self.registry,
            self.fleet,
            self.gateways,
            EndpointLifecycle(self.fleet, self.gateways, self.registry, self.rules, self.record),
            GatewayLifecycle(self._ingress, self._attempts, self._clients),
        )
        for index, fault in enumerate(self.scenario.faults):
            scheduler.schedule(fault, stream(seed, f"trouble {index}"))

    def _sweep(self) -> None:
        """Close expired idle connections, count the open ones and take a sample; repeat every second."""
        now_us = self.clock.now_us
        for gateway in self.gateways:
            gateway.idle_connections.close_idle_since(now_us - to_us(self.scenario.fleet.keepalive_s))
        self.record.open_connections.append(sum(e.connections for e in self.fleet.endpoints))
        if now_us <= START_US + to_us(self.scenario.seconds):
            self.samples.add_sample(self.fleet, self.gateways)
        self.clock.call_at(now_us + SWEEP_INTERVAL_US, self._sweep)
