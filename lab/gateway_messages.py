"""Messages between a run and the processes that simulate gateways or change their settings."""

from __future__ import annotations

from typing import Any, ClassVar

from lab.messages import Address, Answer, Command, WrittenChange

# Simulated gateways


class ReadConfig(Command[int], frozen=True, tag="read"):
    """Read the configuration of all gateways; answers the resident bytes."""

    answer_type: ClassVar[Any] = int
    path: str
    address: str
    seed: int


class AddGateways(Command[None], frozen=True, tag="add"):
    """Start more gateways."""

    count: int
    first: int
    seed: int


class StartRequests(Command[None], frozen=True, tag="ask"):
    """Send requests to all gateways until the next command that changes their number."""

    rate: float  # a second, to each gateway
    routes: int
    tenants: int
    seed: int


class InForce(Answer, frozen=True):
    """How soon changes were in force: a histogram's text, and how many gateways have not received them."""

    latency: str
    unseen: int


class MeasureInForce(Command[InForce], frozen=True, tag="force"):
    """Answers how soon changes were in force since the last call."""

    answer_type: ClassVar[Any] = InForce
    changes: list[WrittenChange]


class PoolStats(Answer, frozen=True):
    """Counters of one process of simulated gateways; texts are histograms."""

    gateways: int
    ready: str
    list_read: str
    late: str
    counts: dict[str, int]
    spent_ns: int


class ReadPoolStats(Command[PoolStats], frozen=True, tag="stats"):
    """Answers the counters."""

    answer_type: ClassVar[Any] = PoolStats


PoolCommand = ReadConfig | AddGateways | StartRequests | MeasureInForce | ReadPoolStats

# Changes of settings


class StartPolling(Command[None], frozen=True, tag="pulse"):
    """Poll the readiness of gateways until StopPolling."""

    gateways: list[Address]


class StopPolling(Command[str], frozen=True, tag="still"):
    """Answers the latency of the polls, a histogram's text."""

    answer_type: ClassVar[Any] = str


class StepCost(Answer, frozen=True, kw_only=True):
    """Time of one kind of step, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    most_ms: float
    most_cpu_ms: float
    step: int  # that took most of the processor's time


class ChangeCosts(Answer, frozen=True):
    """What changes of settings cost simulated gateways."""

    balancers: int
    changes: int
    steps: dict[str, StepCost]
    bytes_each: float
    bytes_each_after: float


class MeasureChanges(Command[ChangeCosts], frozen=True, tag="hollow"):
    """Make changes of settings to simulated gateways without a network."""

    answer_type: ClassVar[Any] = ChangeCosts
    path: str
    count: int
    seed: int
    tenants: int
    changes: int


ChangeCommand = StartPolling | StopPolling | MeasureChanges
