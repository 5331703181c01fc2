"""Scenarios: fleet, network, discovery, traffic, clients and faults with their times.

Keys that end in _ms or _s are durations in milliseconds or seconds; of a pair [least, most] any value between
is as likely. The defaults are those of BRIEF where it gives figures. Fields keep the words of the scenario
files, and their order, in their encoded names: the digest in stored results depends on both.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta, field

from load_balancer.decisions.settings import DeduplicationScope, Idempotency

NonNegative = Annotated[float, Meta(ge=0)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Factor = Annotated[float, Meta(ge=1)]
Count = Annotated[int, Meta(ge=1)]
Range = tuple[NonNegative, NonNegative]


class Effect(Enum):
    """The scenario file's words for `Idempotency`; stored results depend on them."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"

    @property
    def idempotency(self) -> Idempotency:
        """The same in the decisions' terms."""
        return Idempotency[self.name]


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Common to all sections of a file."""


class MachineType(Section, frozen=True):
    """A type of machine, and its share of the fleet."""

    name: str
    share: Share
    speed: tuple[Positive, Positive] = (0.85, 1.1)  # of a core, yardstick 1
    cores: Count = 2


class Congestion(Section, frozen=True):
    """More than `queued_per_core` requests queued for `after_s` make an endpoint `slowdown` times slower."""

    queued_per_core: Positive = field(name="waiting", default=4.0)
    after_s: NonNegative = 2.0
    slowdown: Factor = field(name="times", default=2.7)
    recovery_idle_s: NonNegative = field(name="rest_s", default=3.6)  # mostly idle for so long: over
    max_duration_s: NonNegative = field(name="spell_s", default=26.0)  # over in any case


class WarmUp(Section, frozen=True):
    """How a process that has just started warms up, and how much it stands until then."""

    initial_capacity: Annotated[float, Meta(gt=0, le=1)] = field(
        name="start", default=0.13
    )  # of its capacity
    duration_s: NonNegative = field(name="warm_s", default=23.0)
    overload_multiple: Factor = field(
        name="multiple", default=2.5
    )  # sent more than this times its present capacity
    overload_window_s: Positive = field(name="fall_s", default=3.0)  # for so long, it crashes


class Fleet(Section, frozen=True):
    """Gateways, endpoints, and what both stand on."""

    gateways: Count
    endpoints: Count = field(name="servers")
    regions: dict[str, Annotated[tuple[str, ...], Meta(min_length=1)]]  # zones of each
    machines: Annotated[tuple[MachineType, ...], Meta(min_length=1)]
    rack_size: Count = field(name="rack", default=3)  # endpoints of one zone that fail together
    slots: Count = 24  # for requests in work, those that wait on other services with them
    max_queued: Count = field(name="waiting", default=60)  # room for requests that wait at an endpoint
    max_connections: Count = field(name="connections", default=1500)
    connection_cost: Share = field(name="table", default=0.1)  # of its capacity, by a full connection table
    handshake_ms: NonNegative = 4.6  # work of a new connection
    health_check_ms: NonNegative = field(name="probe_ms", default=0.12)
    keepalive_s: Positive = 15.0
    max_report_age_ms: NonNegative = field(
        name="report_ms", default=150.0
    )  # age of a load report at the most
    error_share: Share = field(
        name="errors", default=0.0
    )  # requests that end in an error, whoever serves them
    cancel_stops_running_jobs: bool = field(
        name="cancel_stops", default=True
    )  # running work too, not only what waits
    congestion: Congestion = field(name="choke", default=Congestion())
    warm_up: WarmUp = field(name="cold", default=WarmUp())


class NetworkTerms(Section, frozen=True):
    """One way, drawn for each pair of zones."""

    within_zone_ms: Range = field(name="within_ms", default=(0.1, 0.2))
    between_zones_ms: Range = field(name="zones_ms", default=(0.42, 0.78))
    between_regions_ms: Range = field(name="regions_ms", default=(8.0, 14.0))
    loss: Share = 0.0  # of requests, and of answers: their connection breaks
    connect_timeout_ms: Positive = 200.0
    peer_message_ms: Range = field(name="message_ms", default=(4.8, 38.0))  # between gateways
    gateway_failure_detection_s: Range = field(
        name="front_s", default=(1.1, 3.9)
    )  # the front layer goes on sending to a dead gateway


class DiscoveryTerms(Section, frozen=True):
    """How discovery learns of changes and serves calls."""

    pushed: bool = False
    delay_s: Range = (0.5, 2.5)  # until it knows of a change
    calls_per_s: Positive = 50.0
    max_queue_s: NonNegative = field(name="queue_s", default=2.0)  # a call that would wait longer fails
    max_poll_interval_s: Positive = field(name="must_ask_s", default=10.0)


class TrafficClass(Section, frozen=True):
    """A class of requests, its share of them and its terms."""

    name: str
    share: Share
    work_ms: tuple[Positive, Positive]
    blocked_ms: Range = field(name="others_ms", default=(0.0, 0.0))  # waits on other services, without a core
    latency_objective_ms: Positive = field(name="aim_ms", default=400.0)
    timeout_ms: Positive = field(name="give_up_ms", default=2000.0)
    priority_weight: NonNegative = field(name="worth", default=1.0)
    late_weight_share: Share = field(name="late_worth", default=0.25)
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_s: NonNegative = 5.0


class TrafficTenant(Section, frozen=True):
    """A tenant and its share of the requests."""

    name: str
    share: Share
    quota_per_s: NonNegative = 0.0  # 0: none


class Traffic(Section, frozen=True):
    """What is asked of the fleet."""

    rate_per_s: Positive
    classes: Annotated[tuple[TrafficClass, ...], Meta(min_length=1)]
    tenants: Annotated[tuple[TrafficTenant, ...], Meta(min_length=1)]
    over_quota_weight_share: Share = field(name="over_share_worth", default=0.1)
    hint_error: NonNegative = 0.2  # standard deviation of the hinted work's logarithm

    @property
    def mean_work_us(self) -> float:
        """Mean work of a request on a core of speed 1."""
        work_ms = sum(c.share * sum(c.work_ms) / 2 for c in self.classes)
        return work_ms / sum(c.share for c in self.classes) * 1e3


class ClientTerms(Section, frozen=True):
    """How clients wait, retry and give up."""

    retries: Annotated[int, Meta(ge=0, le=8)] = 1
    backoff_ms: Range = field(name="wait_ms", default=(50.0, 300.0))
    try_timeout_share: tuple[Share, Share] = field(
        name="patience", default=(0.7, 1.0)
    )  # of the timeout, for one try
    honor_retry_after: bool = field(name="heed", default=True)
    early_disconnects: Share = field(
        name="hasty", default=0.0
    )  # after a fifth to three fifths of their patience


class Fault(Section, frozen=True, tag_field="kind"):
    """Something that begins at a time and lasts for a while."""

    start_s: NonNegative = field(name="at_s")
    duration_s: NonNegative = field(name="for_s")


class SlowEndpoints(Fault, frozen=True, tag="slow"):
    """A part of the endpoints works more slowly."""

    affected_share: Share = field(name="part")
    slowdown: Factor = field(name="times")


class SilentEndpoints(Fault, frozen=True, tag="silent"):
    """Machines that swallow what they are sent, and come back as they were."""

    affected_share: Share = field(name="part")


class ZoneLoss(Fault, frozen=True, tag="lost"):
    """The machines of a zone, or of the first rack of it, are gone unannounced and come back cold."""

    zone: str
    rack_only: bool = False


class Partition(Fault, frozen=True, tag="cut"):
    """Nothing passes between these regions and the others."""

    regions: tuple[str, ...]


class PacketLoss(Fault, frozen=True, tag="loss"):
    """Another share of requests and answers is lost."""

    share: Share


class DiscoveryOutage(Fault, frozen=True, tag="discovery"):
    """Discovery does not answer, and watches break."""


class Burst(Fault, frozen=True, tag="burst"):
    """All tenants ask for more."""

    factor: Factor = field(name="times")


class TenantBurst(Fault, frozen=True, tag="tenant"):
    """One tenant asks for more."""

    tenant: str
    factor: Factor = field(name="times")


class RollingRelease(Fault, frozen=True, tag="release"):
    """Endpoints drain, stop and start cold, in waves over `duration_s`."""

    affected_share: Share = field(name="part", default=1.0)
    waves: Count = 6
    drain_s: NonNegative = 1.0
    down_s: NonNegative = 1.0


class GatewayRestarts(Fault, frozen=True, tag="gateways"):
    """Gateways are killed in waves over `duration_s`, and come back with nothing but their last list."""

    affected_share: Share = field(name="part")
    waves: Count = 1
    down_s: NonNegative = 0.8


AnyFault = (
    SlowEndpoints
    | SilentEndpoints
    | ZoneLoss
    | Partition
    | PacketLoss
    | DiscoveryOutage
    | Burst
    | TenantBurst
    | RollingRelease
    | GatewayRestarts
)
FAULTS: tuple[type[Fault], ...] = (
    SlowEndpoints,
    SilentEndpoints,
    ZoneLoss,
    Partition,
    PacketLoss,
    DiscoveryOutage,
    Burst,
    TenantBurst,
    RollingRelease,
    GatewayRestarts,
)


class Objective(Section, frozen=True):
    """Weights of the parts of a run's score."""

    whole: Share = 0.7
    worst_window: Share = 0.1
    worst_class: Share = 0.1
    worst_tenant: Share = 0.1


class Scenario(Section, frozen=True):
    """A whole file."""

    name: str
    seconds: Positive
    fleet: Fleet
    traffic: Traffic
    network: NetworkTerms = NetworkTerms()
    discovery: DiscoveryTerms = DiscoveryTerms()
    clients: ClientTerms = ClientTerms()
    faults: tuple[AnyFault, ...] = field(name="troubles", default=())
    objective: Objective = field(name="goal", default=Objective())
    policies: tuple[str, ...] = ("rosedeal",)
    seeds: Count = 5
    cross_zone_price: NonNegative = field(name="cross_zone", default=0.01)  # price, in the gateways' settings

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones of all regions, in order."""
        return tuple(zone for zones in self.fleet.regions.values() for zone in zones)

    @property
    def region_of(self) -> tuple[int, ...]:
        """The region's index, by the zone's."""
        return tuple(index for index, zones in enumerate(self.fleet.regions.values()) for _ in zones)
