"""What a scale run is asked for and what it records, before that becomes figures."""

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

Point = dict[str, Any]  # figures at one size, under the keys of result.json


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A run's sizes; result.json holds them under their encoded names."""

    servers: int
    routes: int
    tenants: int
    simulated: int = msgspec.field(name="hollow")
    real: int
    seed: int
    rate: float  # requests a second through the real gateways together, and as many straight
    simulated_rate: float = msgspec.field(name="hollow_rate")  # to each simulated gateway
    seconds: float  # of each scenario
    sweep_s: float  # of requests at each size
    scenarios: tuple[str, ...]
    memory_mb: int
    late_ms: float  # what is later than this at p99 has not kept the schedule


@dataclass
class Reading:
    """Counters at one moment; two of them make rates."""

    time_s: float  # seconds, monotonic
    registry: dict[str, RegistryCounters]  # by kind of gateways
    statements: dict[str, EndpointCounters]  # by target
    pool_stats: list[PoolStats]
    cpu_s: dict[str, float]  # by process


@dataclass
class InForceRecord:
    """How soon the simulated gateways received changes."""

    latency: Histogram
    changes: int
    skipped: int


@dataclass
class Probes:
    """Endpoints that began to leave, and how soon their idle connections were closed."""

    latency: Histogram = field(default_factory=Histogram)
    count: int = 0
    unclosed: int = 0  # connections that were not closed in time


@dataclass
class ScenarioRecord:
    """One scenario that was played."""

    changes: int
    machine_cpu_share: float
    in_force: InForceRecord
    probes: Probes
    targets: dict[str, TargetResult]  # empty without real gateways
    before: Reading
    after: Reading

    @property
    def took_s(self) -> float:
        """Between the two readings."""
        return self.after.time_s - self.before.time_s


@dataclass
class Problems:
    """What speaks against a run's figures."""

    late: dict[str, Histogram] = field(default_factory=dict)  # by process: how far behind the schedule
    schedule: list[str] = field(default_factory=list)  # why it was not kept
    over_bound: list[str] = field(default_factory=list)  # what was ended over a bound
    broken: list[str] = field(default_factory=list)  # what must never be, as another request's answer

    def note_late(self, process: str, encoded: str) -> None:
        """Add a histogram's text."""
        self.late.setdefault(process, Histogram()).merge(Histogram(encoded))
