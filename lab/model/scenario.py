"""Scenarios of the fleet model: fleet, network, discovery, traffic, clients and scheduled faults.

Keys that end in _ms or _s are durations in milliseconds or seconds. A pair [least, most] is the range of a
uniform distribution. Where the operators' page BRIEF gives a figure, it is the default. The fields' encoded
names are the keys of the scenario files. The digest in stored results depends on these names and on their
order.
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
    """Idempotency of a request class, with the values that scenario files and their digests use."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"

    @property
    def idempotency(self) -> Idempotency:
        """The corresponding value of the balancer's settings."""
        return Idempotency[self.name]


class Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of the sections of a scenario file."""


class MachineType(Section, frozen=True):
    """A machine type.

    Attributes:
        name: Name of the type.
        share: Share of the fleet's endpoints that run on this type.
        speed: Range of a core's speed; a core of speed 1 does one second of work per second.
        cores: Number of cores of one machine.
    """

    name: str
    share: Share
    speed: tuple[Positive, Positive] = (0.85, 1.1)
    cores: Count = 2


class Congestion(Section, frozen=True):
    """When a long queue slows an endpoint down, and for how long.

    Attributes:
        queued_per_core: An endpoint becomes congested when more than this many requests per core are queued.
        after_s: Time for which the queue must have been that long.
        slowdown: Factor by which a congested endpoint is slower.
        recovery_idle_s: Congestion ends after the queue has been empty and at most half of the cores busy for
            this long.
        max_duration_s: Congestion ends after this time in any case.
    """

    queued_per_core: Positive = field(name="waiting", default=4.0)
    after_s: NonNegative = 2.0
    slowdown: Factor = field(name="times", default=2.7)
    recovery_idle_s: NonNegative = field(name="rest_s", default=3.6)
    max_duration_s: NonNegative = field(name="spell_s", default=26.0)


class WarmUp(Section, frozen=True):
    """How an endpoint process warms up after its start, and which overload crashes it until then.

    Attributes:
        initial_capacity: Share of its capacity that a process has when it starts.
        duration_s: Time until the process has full capacity.
        overload_multiple: A process crashes when it receives more than this times its present capacity.
        overload_window_s: Time over which the received work is counted for that.
    """

    initial_capacity: Annotated[float, Meta(gt=0, le=1)] = field(name="start", default=0.13)
    duration_s: NonNegative = field(name="warm_s", default=23.0)
    overload_multiple: Factor = field(name="multiple", default=2.5)
    overload_window_s: Positive = field(name="fall_s", default=3.0)


class Fleet(Section, frozen=True):
    """The gateways, the endpoints, and the machines, racks and zones that they run in.

    Attributes:
        gateways: Number of gateways.
        endpoints: Number of endpoints.
        regions: Names of the zones of each region.
        machines: Machine types.
        rack_size: Number of endpoints of one zone that share a rack and fail together.
        slots: Number of requests that an endpoint executes at a time, with those blocked on other services.
        max_queued: Number of requests that can wait at an endpoint.
        max_connections: Number of connections that an endpoint accepts.
        connection_cost: Share of an endpoint's capacity that a full connection table costs.
        handshake_ms: Work that a new connection costs an endpoint.
        health_check_ms: Work that a health check costs an endpoint.
        keepalive_s: Time after which a gateway closes an idle connection.
        max_report_age_ms: Age at which an endpoint's load report is computed again.
        error_share: Share of requests that end in an error at whichever endpoint executes them.
        cancel_stops_running_jobs: Whether a cancellation stops a running request too, not only a queued one.
        congestion: Slowdown by a long queue.
        warm_up: Capacity after a start.
    """

    gateways: Count
    endpoints: Count = field(name="servers")
    regions: dict[str, Annotated[tuple[str, ...], Meta(min_length=1)]]
    machines: Annotated[tuple[MachineType, ...], Meta(min_length=1)]
    rack_size: Count = field(name="rack", default=3)
    slots: Count = 24
    max_queued: Count = field(name="waiting", default=60)
    max_connections: Count = field(name="connections", default=1500)
    connection_cost: Share = field(name="table", default=0.1)
    handshake_ms: NonNegative = 4.6
    health_check_ms: NonNegative = field(name="probe_ms", default=0.12)
    keepalive_s: Positive = 15.0
    max_report_age_ms: NonNegative = field(name="report_ms", default=150.0)
    error_share: Share = field(name="errors", default=0.0)
    cancel_stops_running_jobs: bool = field(name="cancel_stops", default=True)
    congestion: Congestion = field(name="choke", default=Congestion())
    warm_up: WarmUp = field(name="cold", default=WarmUp())


class NetworkTerms(Section, frozen=True):
    """The network between gateways and endpoints.

    Attributes:
        within_zone_ms: One-way delay within a zone.
        between_zones_ms: One-way delay between zones of a region, drawn for each pair of zones.
        between_regions_ms: One-way delay between zones of different regions, drawn for each pair of zones.
        loss: Share of requests, and of answers, that are lost; the connection is reset.
        connect_timeout_ms: Time after which a connection attempt fails.
        peer_message_ms: Delay of a message between gateways.
        gateway_failure_detection_s: Time for which the ingress keeps sending requests to a dead gateway.
    """

    within_zone_ms: Range = field(name="within_ms", default=(0.1, 0.2))
    between_zones_ms: Range = field(name="zones_ms", default=(0.42, 0.78))
    between_regions_ms: Range = field(name="regions_ms", default=(8.0, 14.0))
    loss: Share = 0.0
    connect_timeout_ms: Positive = 200.0
    peer_message_ms: Range = field(name="message_ms", default=(4.8, 38.0))
    gateway_failure_detection_s: Range = field(name="front_s", default=(1.1, 3.9))


class DiscoveryTerms(Section, frozen=True):
    """How discovery learns of changes and serves calls.

    Attributes:
        pushed: Whether discovery pushes changes to the gateways without being called.
        delay_s: Time until discovery learns of a change.
        calls_per_s: Rate at which discovery serves calls.
        max_queue_s: A call that would wait longer than this fails.
        max_poll_interval_s: A gateway that neither watches nor polls for this long counts as notified of all
            changes up to then.
    """

    pushed: bool = False
    delay_s: Range = (0.5, 2.5)
    calls_per_s: Positive = 50.0
    max_queue_s: NonNegative = field(name="queue_s", default=2.0)
    max_poll_interval_s: Positive = field(name="must_ask_s", default=10.0)


class TrafficClass(Section, frozen=True):
    """A request class.

    Attributes:
        name: Name of the class.
        share: Share of the requests that belong to it.
        work_ms: Work of a request on a core of speed 1.
        blocked_ms: Time for which a request waits on other services and uses no core.
        latency_objective_ms: Latency up to which an answer counts with its full weight.
        timeout_ms: Time after which the client needs no answer.
        priority_weight: Weight of a request in the score, per unit of work.
        late_weight_share: Share of the weight that a later answer still has.
        effect: Whether a request may be executed twice.
        scope: Which endpoints drop repeats of a request with an idempotency key.
        window_s: Time for which they drop them.
    """

    name: str
    share: Share
    work_ms: tuple[Positive, Positive]
    blocked_ms: Range = field(name="others_ms", default=(0.0, 0.0))
    latency_objective_ms: Positive = field(name="aim_ms", default=400.0)
    timeout_ms: Positive = field(name="give_up_ms", default=2000.0)
    priority_weight: NonNegative = field(name="worth", default=1.0)
    late_weight_share: Share = field(name="late_worth", default=0.25)
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_s: NonNegative = 5.0


class TrafficTenant(Section, frozen=True):
    """A tenant.

    Attributes:
        name: Name of the tenant.
        share: Share of the requests that it sends.
        quota_per_s: Quota in requests per second; 0: no quota.
    """

    name: str
    share: Share
    quota_per_s: NonNegative = 0.0


class Traffic(Section, frozen=True):
    """The requests that clients send.

    Attributes:
        rate_per_s: Rate of requests of all tenants, retries not counted.
        classes: Request classes.
        tenants: Tenants.
        over_quota_weight_share: Weight of a request over its tenant's quota, as a share of its class's.
        hint_error: Standard deviation of the logarithm of hinted work over real work.
    """

    rate_per_s: Positive
    classes: Annotated[tuple[TrafficClass, ...], Meta(min_length=1)]
    tenants: Annotated[tuple[TrafficTenant, ...], Meta(min_length=1)]
    over_quota_weight_share: Share = field(name="over_share_worth", default=0.1)
    hint_error: NonNegative = 0.2

    @property
    def mean_work_us(self) -> float:
        """Mean work of a request on a core of speed 1."""
        work_ms = sum(c.share * sum(c.work_ms) / 2 for c in self.classes)
        return work_ms / sum(c.share for c in self.classes) * 1e3


class ClientTerms(Section, frozen=True):
    """How clients wait, retry and disconnect.

    Attributes:
        retries: Number of retries after the first try of a request.
        backoff_ms: Time between the end of a try and the next one.
        try_timeout_share: Timeout of one try, as a share of the class's timeout.
        honor_retry_after: Whether a client waits at least as long as a refusal asks it to.
        early_disconnects: Share of tries whose client disconnects after 0.2 to 0.6 of the try's timeout.
    """

    retries: Annotated[int, Meta(ge=0, le=8)] = 1
    backoff_ms: Range = field(name="wait_ms", default=(50.0, 300.0))
    try_timeout_share: tuple[Share, Share] = field(name="patience", default=(0.7, 1.0))
    honor_retry_after: bool = field(name="heed", default=True)
    early_disconnects: Share = field(name="hasty", default=0.0)


class Fault(Section, frozen=True, tag_field="kind"):
    """A fault that begins `start_s` after the run's start and lasts for `duration_s`."""

    start_s: NonNegative = field(name="at_s")
    duration_s: NonNegative = field(name="for_s")


class SlowEndpoints(Fault, frozen=True, tag="slow"):
    """A share of the endpoints is slower by a factor."""

    affected_share: Share = field(name="part")
    slowdown: Factor = field(name="times")


class SilentEndpoints(Fault, frozen=True, tag="silent"):
    """A share of the machines drops all packets, and afterwards continues in its earlier state."""

    affected_share: Share = field(name="part")


class ZoneLoss(Fault, frozen=True, tag="lost"):
    """The machines of a zone, or of its first rack alone, fail without notice and start anew afterwards."""

    zone: str
    rack_only: bool = False


class Partition(Fault, frozen=True, tag="cut"):
    """No packet passes between these regions and the others."""

    regions: tuple[str, ...]


class PacketLoss(Fault, frozen=True, tag="loss"):
    """The share of lost requests and answers changes to `share`."""

    share: Share


class DiscoveryOutage(Fault, frozen=True, tag="discovery"):
    """Discovery does not answer, and watches end."""


class Burst(Fault, frozen=True, tag="burst"):
    """All tenants send `factor` times as many requests."""

    factor: Factor = field(name="times")


class TenantBurst(Fault, frozen=True, tag="tenant"):
    """One tenant sends `factor` times as many requests."""

    tenant: str
    factor: Factor = field(name="times")


class RollingRelease(Fault, frozen=True, tag="release"):
    """A share of the endpoints drains, stops and starts anew, in waves spread over `duration_s`.

    Attributes:
        affected_share: Share of the endpoints.
        waves: Number of waves.
        drain_s: Time between the start of draining and the stop.
        down_s: Time between the stop and the start.
    """

    affected_share: Share = field(name="part", default=1.0)
    waves: Count = 6
    drain_s: NonNegative = 1.0
    down_s: NonNegative = 1.0


class GatewayRestarts(Fault, frozen=True, tag="gateways"):
    """A share of the gateways is killed in waves spread over `duration_s`.

    A gateway starts again `down_s` later and keeps nothing but its last endpoint list.
    """

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
    """Weights of the components of a run's score."""

    whole: Share = 0.7
    worst_window: Share = 0.1
    worst_class: Share = 0.1
    worst_tenant: Share = 0.1


class Scenario(Section, frozen=True):
    """A whole scenario file.

    Attributes:
        name: Name of the scenario.
        seconds: Time for which clients send first tries.
        fleet: Gateways and endpoints.
        traffic: Requests.
        network: Delays and losses.
        discovery: Service discovery.
        clients: Retries and timeouts of clients.
        faults: Scheduled faults.
        objective: Weights of the score.
        policies: Policies that run by default.
        seeds: Number of seeds that run by default.
        cross_zone_price: Price of an attempt to another zone, in the gateways' settings.
    """

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
    cross_zone_price: NonNegative = field(name="cross_zone", default=0.01)

    @property
    def zones(self) -> tuple[str, ...]:
        """Names of the zones of all regions, in order."""
        return tuple(zone for zones in self.fleet.regions.values() for zone in zones)

    @property
    def region_of(self) -> tuple[int, ...]:
        """Index of each zone's region, by the zone's index."""
        return tuple(index for index, zones in enumerate(self.fleet.regions.values()) for _ in zones)
