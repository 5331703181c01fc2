"""The plan of a scale run, and the raw measurements from which its figures are computed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from lab.child import Histogram
from lab.gateway_messages import PoolStats
from lab.messages import (
    EndpointCounters,
    RegistryCounters,
    TargetResult,
)

Point = dict[str, Any]  # The figures at one size, under the keys of result.json.


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of a run; result.json holds them under their encoded names.

    Attributes:
        servers: Endpoints that discovery lists.
        routes: Routes in the gateways' settings.
        tenants: Tenants in the gateways' settings.
        simulated: Simulated gateways.
        real: Real gateways.
        seed: Seed of all schedules.
        rate: Requests per second through all real gateways together; as many are sent directly to endpoints.
        simulated_rate: Requests per second to each simulated gateway.
        seconds: Duration of each scenario.
        sweep_s: Seconds of requests at each size of a sweep.
        scenarios: Names of the scenarios, in the order in which they are played.
        memory_mb: Bound on the resident memory of all child processes together, in megabytes.
        late_ms: If the p99 of a process's lateness exceeds this, the schedule was not kept.
    """

    servers: int
    routes: int
    tenants: int
    simulated: int = msgspec.field(name="hollow")
    real: int
    seed: int
    rate: float
    simulated_rate: float = msgspec.field(name="hollow_rate")
    seconds: float
    sweep_s: float
    scenarios: tuple[str, ...]
    memory_mb: int
    late_ms: float


@dataclass
class Reading:
    """The counters of all processes at one moment; rates are computed from two of them.

    Attributes:
        time_s: Time of the monotonic clock.
        registry: Counters of the stand-in for discovery, by kind of gateway.
        statements: Counters of the stand-in for endpoints, by target.
        pool_stats: Counters of each process of simulated gateways.
        cpu_s: Processor time so far, by the name of the process.
    """

    time_s: float
    registry: dict[str, RegistryCounters]
    statements: dict[str, EndpointCounters]
    pool_stats: list[PoolStats]
    cpu_s: dict[str, float]


@dataclass
class InForceRecord:
    """How soon changes at discovery were in force at the simulated gateways.

    Attributes:
        latency: Time from a change to its being in force, for each pair of change and gateway.
        changes: Changes that discovery sent.
        skipped: Pairs of change and gateway in which the gateway did not receive the change.
    """

    latency: Histogram
    changes: int
    skipped: int


@dataclass
class Probes:
    """How soon gateways closed idle connections to endpoints that started to leave.

    Attributes:
        latency: Time from an endpoint's change to the close of each idle connection to it.
        count: Endpoints that were probed.
        unclosed: Connections that were not closed within the probe's timeout.
    """

    latency: Histogram = field(default_factory=Histogram)
    count: int = 0
    unclosed: int = 0


@dataclass
class ScenarioRecord:
    """The measurements of one scenario.

    Attributes:
        changes: Changes at discovery.
        machine_cpu_share: Share of the machine's processor time that was in use.
        in_force: How soon the changes were in force at the simulated gateways.
        probes: How soon real gateways closed idle connections.
        targets: Results of the clients' requests, by target; empty without real gateways.
        before: The counters at the start.
        after: The counters at the end.
    """

    changes: int
    machine_cpu_share: float
    in_force: InForceRecord
    probes: Probes
    targets: dict[str, TargetResult]
    before: Reading
    after: Reading

    @property
    def took_s(self) -> float:
        """Return the seconds between the two readings."""
        return self.after.time_s - self.before.time_s


@dataclass
class Problems:
    """The reasons why a run's figures may not be valid.

    Attributes:
        late: How far each process was behind its schedule.
        schedule: Reasons why the schedule was not kept.
        over_bound: Parts of the run that were ended because they exceeded a bound.
        broken: Violations that must never occur, such as the answer to another request.
    """

    late: dict[str, Histogram] = field(default_factory=dict)
    schedule: list[str] = field(default_factory=list)
    over_bound: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def note_late(self, process: str, encoded: str) -> None:
        """Add a process's encoded histogram of its lateness."""
        self.late.setdefault(process, Histogram()).merge(Histogram(encoded))
