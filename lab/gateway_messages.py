"""Messages between a run and its processes that simulate gateways, poll them or measure changes."""

from __future__ import annotations

from typing import Any, ClassVar

from lab.messages import Address, Answer, Command, WrittenChange

# Commands to a process of simulated gateways


class ReadConfig(Command[int], frozen=True, tag="read"):
    """Read the configuration of all gateways; the answer is the process's resident memory in bytes.

    Attributes:
        path: The configuration file.
        address: Discovery's address, which replaces the one in the file.
        seed: The seed of the attempts' outcomes.
    """

    answer_type: ClassVar[Any] = int
    path: str
    address: str
    seed: int


class AddGateways(Command[None], frozen=True, tag="add"):
    """Start more gateways.

    Attributes:
        count: How many to start.
        first: The index of the first one.
        seed: The seed of the gateway with index 0; each next gateway has the next seed.
    """

    count: int
    first: int
    seed: int


class StartRequests(Command[None], frozen=True, tag="ask"):
    """Send requests to all gateways until the next command that starts gateways or requests.

    Attributes:
        rate: Requests per second to each gateway.
        routes: The number of routes.
        tenants: The number of tenants.
        seed: The seed of the requests.
    """

    rate: float
    routes: int
    tenants: int
    seed: int


class InForce(Answer, frozen=True):
    """How soon changes were in force.

    Attributes:
        latency: Time from each change to its being in force at each gateway, as an encoded histogram.
        unseen: Pairs of change and gateway in which the gateway did not receive the change.
    """

    latency: str
    unseen: int


class MeasureInForce(Command[InForce], frozen=True, tag="force"):
    """Return how soon `changes` were in force, and forget which changes were received so far."""

    answer_type: ClassVar[Any] = InForce
    changes: list[WrittenChange]


class PoolStats(Answer, frozen=True):
    """The counters of one process of simulated gateways, with encoded histograms of times.

    Attributes:
        gateways: The number of gateways.
        ready: Time from a gateway's start to its first endpoint list.
        list_read: Time that a gateway takes to process an endpoint list.
        late: How late requests were sent.
        counts: Requests and attempts by what happened to them.
        spent_ns: Time that the gateways took to process requests and their outcomes.
    """

    gateways: int
    ready: str
    list_read: str
    late: str
    counts: dict[str, int]
    spent_ns: int


class ReadPoolStats(Command[PoolStats], frozen=True, tag="stats"):
    """Return the counters."""

    answer_type: ClassVar[Any] = PoolStats


PoolCommand = ReadConfig | AddGateways | StartRequests | MeasureInForce | ReadPoolStats

# Commands to the process that polls gateways and measures changes of settings


class StartPolling(Command[None], frozen=True, tag="pulse"):
    """Poll the readiness of gateways until StopPolling."""

    gateways: list[Address]


class StopPolling(Command[str], frozen=True, tag="still"):
    """Stop polling; the answer is the latency of the polls, as an encoded histogram."""

    answer_type: ClassVar[Any] = str


class StepCost(Answer, frozen=True, kw_only=True):
    """The time that one kind of step takes.

    Attributes:
        count: The number of steps.
        p50_ms: The median of the elapsed time.
        p99_ms: The 99th percentile of the elapsed time.
        most_ms: The longest elapsed time.
        most_cpu_ms: The longest processor time.
        step: The index of the step that took the longest processor time.
    """

    count: int
    p50_ms: float
    p99_ms: float
    most_ms: float
    most_cpu_ms: float
    step: int


class ChangeCosts(Answer, frozen=True):
    """The cost of changes of settings at simulated gateways.

    Attributes:
        balancers: The number of Balancers.
        changes: The number of changes made.
        steps: The time of each kind of step.
        bytes_each: Resident memory of each Balancer before the changes, in bytes.
        bytes_each_after: Resident memory of each Balancer after the changes, in bytes.
    """

    balancers: int
    changes: int
    steps: dict[str, StepCost]
    bytes_each: float
    bytes_each_after: float


class MeasureChanges(Command[ChangeCosts], frozen=True, tag="hollow"):
    """Make changes of settings to simulated gateways that have no network connections.

    Attributes:
        path: The configuration file.
        count: The number of Balancers.
        seed: The seed of the first Balancer and of the changes.
        tenants: The number of tenants in the configuration.
        changes: The number of changes to make.
    """

    answer_type: ClassVar[Any] = ChangeCosts
    path: str
    count: int
    seed: int
    tenants: int
    changes: int


ChangeCommand = StartPolling | StopPolling | MeasureChanges
