"""Settings: the operator's description of the service, as the balancer uses it.

Plain data, independent of any file format; `load_balancer.config` reads it from JSON. Fields ending in `_us`
are durations in whole microseconds. Fields marked "not used yet" are checked, but affect no decision.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from load_balancer.errors import SettingsError


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "idempotent"  # nothing: it may be repeated at will
    IDEMPOTENCY_KEY = "idempotency_key"  # the endpoints of one scope drop repeats of a key for a while
    NON_IDEMPOTENT = "non_idempotent"  # the effect would happen twice


class DeduplicationScope(Enum):
    """Which endpoints drop each other's repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class LoadReportMode(Enum):
    """Where load reports come from."""

    NONE = "none"
    RESPONSES = "responses"  # answers and health checks carry one now and then
    HEALTH_CHECKS = "health_checks"  # health checks only


def _check_numbers(settings: object, minimum: Mapping[str, float], shares: tuple[str, ...] = ()) -> None:
    """Raise SettingsError for a field that is not finite, below its minimum, or no share from 0 to 1."""
    for name in (*minimum, *shares):
        value = getattr(settings, name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise SettingsError(f"{name} is not a finite number")
        if value < minimum.get(name, 0):
            raise SettingsError(f"{name} is below {minimum.get(name, 0)}")
        if name in shares and value > 1:
            raise SettingsError(f"{name} is above 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests.

    Attributes:
        latency_objective_us: An answer within this has the full priority weight.
        client_timeout_us: The client's timeout over all its tries.
        priority_weight: Value of an answer within the objective.
        late_weight_share: Share of the weight left after the objective, from 0 to 1.
        idempotency: The effect of executing a request twice.
        deduplication_scope: For an idempotency key: which endpoints drop repeats.
        deduplication_window_us: For an idempotency key: how long, from the sending of the first attempt.
        ordered: Requests with one key run one at a time, in order of arrival.
        streamed: The answer is a stream. Affects no decision: the start of the stream is an event.
        latency_objective_stretch: The objective is later by this multiple of the work; not used yet.
        name: The operator's name for it, empty for none.

    Raises:
        SettingsError: A number is not finite or out of its range.
    """

    latency_objective_us: int
    client_timeout_us: int
    priority_weight: float = 1.0
    late_weight_share: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_us: int = 0
    ordered: bool = False
    streamed: bool = False
    latency_objective_stretch: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        at_least_1 = ("latency_objective_us", "client_timeout_us")
        at_least_0 = ("priority_weight", "deduplication_window_us", "latency_objective_stretch")
        minimum = dict.fromkeys(at_least_1, 1) | dict.fromkeys(at_least_0, 0)
        _check_numbers(self, minimum, shares=("late_weight_share",))


@dataclass(slots=True, frozen=True)
class Tenant:
    """One of the customers who share the fleet.

    Attributes:
        quota_per_s: Requests a second over all gateways within its quota; 0 for no quota.
        share: Share of the service, from 0 to 1; not used yet.
        name: The operator's name for it, empty for none.

    Raises:
        SettingsError: A number is not finite or out of its range.
    """

    quota_per_s: float = 0.0
    share: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _check_numbers(self, {"quota_per_s": 0}, shares=("share",))


@dataclass(slots=True, frozen=True)
class Prices:
    """The price of a unit of each cost. Decisions use `cross_zone`; the others are not used yet.

    Raises:
        SettingsError: A price is not finite or below 0.
    """

    cross_zone: float = 0.0  # attempts that cross zones, per first attempt
    waste: float = 0.0  # endpoint work that served no answer, per work offered
    late_failure: float = 0.0  # weight left unserved after its objective, per weight offered
    connection: float = 0.0  # mean open connections, per 100 an endpoint
    handshake: float = 0.0  # new connections, per first attempt
    health_check: float = 0.0  # health checks, per first attempt
    peer_message: float = 0.0  # message bytes delivered, per 256 a first attempt
    endpoint_list_lines: float = 0.0  # endpoint list lines sent, per 100 a first attempt
    origin: float = 0.0  # fetches from an origin, per first attempt
    migrations: float = 0.0  # migrations, per first attempt
    fleet: float = 0.0  # due in full when as many endpoints run or are on order as at the start

    def __post_init__(self) -> None:
        _check_numbers(self, dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class LoadReportSettings:
    """Where load reports come from, and the names of their values.

    Decisions use the reports that come with answers, whatever is said here.
    """

    mode: LoadReportMode = LoadReportMode.NONE
    fields: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class ObjectiveWeights:
    """How the operator weighs the parts of good service.

    Raises:
        SettingsError: A weight is not finite or below 0.
    """

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        _check_numbers(self, dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one gateway.

    Attributes:
        classes: The request classes; at least one.
        objective: How the parts of good service are weighed.
        prices: The price of a unit of each cost.
        weight_by_work: Priority weights count for each unit of work, not for each request.
        gateways: How many gateways share the endpoints.
        gateway_index: This gateway's own number among them, from 0.
        zone: Index of the zone that this gateway is in.
        clients_mark_retries: Clients say of a retry that it is one.
        max_attempts: Most attempts for one request.
        may_cancel: Attempts in flight may be cancelled.
        may_hedge: Two attempts of one request may be in flight together.
        load_dependent_weights: Listed weights fall with the endpoint's load, with a delay.
        key_affinity: An endpoint serves a key that it served recently with less work.
        endpoints_are_pushed: False: changes come only after `SubscribeEndpoints`.
        max_poll_interval_us: Longest time without a call to service discovery while not subscribed.
        max_retry_after_us: Longest advice to clients; 0 for none.
        slow_start_capacity: Share of its capacity that an endpoint has when it starts, from 0 to 1.
        slow_start_us: Time after its start until an endpoint has full capacity.
        overload_multiple: An endpoint in slow start fails when it is sent more than this times its capacity
            within `overload_window_us`.
        overload_window_us: See `overload_multiple`.
        rejected_may_have_run: `Outcome.REJECTED` is no proof that the attempt never ran.
        ordered_key_delay_us: An ordered key waits this long after an attempt that may still be running.
        tenants: Empty where the service has one customer.
        over_quota_weight_share: Weight of a request over its tenant's quota, as a share of its class's.

    Not used yet:
        load_reports, may_check_health, may_message_peers, requests_per_connection, connect_timeout_us and
        idle_connection_timeout_us (0: not stated), max_open_requests (more are rejected before they come
        here; 0: not stated), cpu_us_per_s (of this gateway; 0: no limit), cpu_us_per_request, drain_grace_us
        (nothing new goes to a draining endpoint from the first moment), answer_slack_us (a final answer may
        come this long after the client's deadline), endpoints_propagate_deadlines, zones, endpoint_kinds,
        tier and tiers.

    Raises:
        SettingsError: No decision can be made from these settings; the message names the field.
    """

    classes: tuple[RequestClass, ...]
    objective: ObjectiveWeights = field(default_factory=ObjectiveWeights)
    prices: Prices = field(default_factory=Prices)
    weight_by_work: bool = False
    gateways: int = 1
    gateway_index: int = 0
    zone: int = 0
    clients_mark_retries: bool = False
    max_attempts: int = 3
    may_cancel: bool = True
    may_hedge: bool = False
    load_dependent_weights: bool = False
    key_affinity: bool = False
    endpoints_are_pushed: bool = True
    max_poll_interval_us: int = 10_000_000
    max_retry_after_us: int = 1_000_000
    slow_start_capacity: float = 1.0
    slow_start_us: int = 0
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    rejected_may_have_run: bool = False
    ordered_key_delay_us: int = 0
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight_share: float = 1.0
    # Not used yet
    load_reports: LoadReportSettings = field(default_factory=LoadReportSettings)
    may_check_health: bool = False
    may_message_peers: bool = False
    requests_per_connection: int = 1
    connect_timeout_us: int = 0
    idle_connection_timeout_us: int = 0
    max_open_requests: int = 0
    cpu_us_per_s: float = 0.0
    cpu_us_per_request: float = 0.0
    drain_grace_us: int = 0
    answer_slack_us: int = 0
    endpoints_propagate_deadlines: bool = False
    zones: int = 1
    endpoint_kinds: int = 1
    tier: int = 0
    tiers: int = 1

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes is empty")
        minimum = dict.fromkeys(_AT_LEAST_0, 0) | dict.fromkeys(_AT_LEAST_1, 1)
        _check_numbers(self, minimum, shares=("slow_start_capacity", "over_quota_weight_share"))
        if self.gateway_index >= self.gateways:
            raise SettingsError("gateway_index is not below gateways")


_AT_LEAST_0 = (
    "max_poll_interval_us",
    "slow_start_us",
    "max_retry_after_us",
    "gateway_index",
    "zone",
    "tier",
    "ordered_key_delay_us",
    "connect_timeout_us",
    "idle_connection_timeout_us",
    "max_open_requests",
    "cpu_us_per_s",
    "cpu_us_per_request",
    "drain_grace_us",
    "answer_slack_us",
)
_AT_LEAST_1 = (
    "gateways",
    "max_attempts",
    "overload_window_us",
    "overload_multiple",
    "requests_per_connection",
    "zones",
    "endpoint_kinds",
    "tiers",
)
