"""Settings: the operator's description of the service, in the form that the balancer uses.

The settings are plain data, independent of any file format; `load_balancer.config` reads them from JSON.
Fields ending in `_us` are durations in whole microseconds. Fields marked "not used yet" affect no request,
but invalid numbers in them are rejected.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from load_balancer.errors import SettingsError


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "idempotent"  # There is none: the request may be repeated any number of times.
    # There is none at endpoints of the same deduplication scope within the deduplication window.
    IDEMPOTENCY_KEY = "idempotency_key"
    NON_IDEMPOTENT = "non_idempotent"  # The request takes effect twice.


class DeduplicationScope(Enum):
    """Which endpoints recognize a repetition of a request that another one has received."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class LoadReportMode(Enum):
    """Which messages of an endpoint carry load reports."""

    NONE = "none"
    RESPONSES = "responses"  # Some answers and health checks carry a report.
    HEALTH_CHECKS = "health_checks"  # Only health checks carry reports.


def _check_numbers(settings: object, minimum: Mapping[str, float], shares: tuple[str, ...] = ()) -> None:
    """Raise SettingsError for a field that is not finite, below its minimum, or a share above 1."""
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
        latency_objective_us: Latency within which an answer has the full priority weight.
        client_timeout_us: The client's timeout for all its tries together.
        priority_weight: Value of an answer within the latency objective.
        late_weight_share: Share of the weight that a later answer has, from 0 to 1.
        idempotency: The effect of executing a request a second time.
        deduplication_scope: Which endpoints recognize repetitions by the idempotency key.
        deduplication_window_us: How long they do so after the first attempt was sent.
        ordered: Whether requests with one key run one at a time, in order of arrival.
        streamed: Whether the answer is a stream. Affects no decision, as the start of a stream is an event.
        latency_objective_stretch: Multiple of the work by which the objective is extended; not used yet.
        name: The operator's name for the class; empty for none.

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
    """One of the tenants that share the fleet.

    Attributes:
        quota_per_s: Quota in requests per second over all gateways; 0 for no quota.
        share: Share of the service, from 0 to 1; not used yet.
        name: The operator's name for the tenant; empty for none.

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
    """The price of a unit of each cost. Only `cross_zone` affects decisions; the others are not used yet.

    Raises:
        SettingsError: A price is not finite or below 0.
    """

    cross_zone: float = 0.0  # Price of attempts that cross zones, per first attempt.
    waste: float = 0.0  # Price of endpoint work that served no answer, per work offered.
    late_failure: float = 0.0  # Price of weight that is unserved after its objective, per weight offered.
    connection: float = 0.0  # Price of the mean number of open connections, per 100 for each endpoint.
    handshake: float = 0.0  # Price of new connections, per first attempt.
    health_check: float = 0.0  # Price of health checks, per first attempt.
    peer_message: float = 0.0  # Price of message bytes delivered, per 256 for each first attempt.
    endpoint_list_lines: float = 0.0  # Price of endpoint list lines sent, per 100 for each first attempt.
    origin: float = 0.0  # Price of fetches from an origin, per first attempt.
    migrations: float = 0.0  # Price of migrations, per first attempt.
    fleet: float = 0.0  # Price, due in full if as many endpoints run or are ordered as at the start.

    def __post_init__(self) -> None:
        _check_numbers(self, dict.fromkeys(self.__slots__, 0))


@dataclass(slots=True, frozen=True)
class LoadReportSettings:
    """Which messages carry load reports, and the names of the reported values.

    These settings affect no decision: the balancer applies every report that it receives with an answer. The
    gateway reads reports from answers only in the mode `RESPONSES`.

    Attributes:
        mode: Which messages carry load reports.
        fields: The names of the reported values.
    """

    mode: LoadReportMode = LoadReportMode.NONE
    fields: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class ObjectiveWeights:
    """The operator's weights for the parts of the service objective.

    Attributes:
        overall: Weight of all requests.
        worst_window: Weight of the time window with the worst service.
        worst_class: Weight of the request class with the worst service.
        worst_tenant: Weight of the tenant with the worst service; not used yet.

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
        objective: Weights for the parts of the service objective.
        prices: The price of a unit of each cost.
        weight_by_work: Whether priority weights apply to a unit of work instead of a request.
        gateways: Number of gateways that share the endpoints.
        gateway_index: Index of this gateway among them, from 0.
        zone: Index of this gateway's zone, from 0.
        clients_mark_retries: Whether clients mark a retry as one.
        max_attempts: Largest number of attempts for one request.
        may_cancel: Whether attempts in flight may be cancelled.
        may_hedge: Whether two attempts for one request may be in flight at the same time.
        load_dependent_weights: Whether listed weights fall with the endpoint's load, after a delay.
        key_affinity: Whether an endpoint needs less work for a key that it has served recently.
        endpoints_are_pushed: Whether list changes are sent without `SubscribeEndpoints`.
        max_poll_interval_us: Longest time between calls to service discovery without a subscription.
        max_retry_after_us: Longest wait before a retry that clients are advised; 0 for no advice.
        slow_start_capacity: Share of its capacity that an endpoint has when it starts, from 0 to 1.
        slow_start_us: Time after its start until an endpoint has full capacity.
        overload_multiple: Multiple of its capacity within `overload_window_us` beyond which the work sent to
            an endpoint in slow start makes it fail.
        overload_window_us: Length of the window for `overload_multiple`.
        rejected_may_have_run: Whether a request may have been executed although the endpoint rejected it.
        ordered_key_delay_us: How long an ordered key is delayed after an attempt that may still be running.
        tenants: The tenants; empty if the service has only one.
        over_quota_weight_share: Weight of a request over its tenant's quota, as a share of the class's.

    Used by the gateway, without effect on decisions:
        load_reports, may_check_health and may_message_peers; with 0 for unspecified, connect_timeout_us,
        idle_connection_timeout_us and max_open_requests (more are rejected before they reach the balancer).

    Not used yet:
        requests_per_connection, cpu_us_per_s (of this gateway; 0 for no limit), cpu_us_per_request,
        drain_grace_us (a draining endpoint is never sent new requests, whatever this is), answer_slack_us
        (how long after the client's deadline a final answer may be sent), endpoints_propagate_deadlines,
        zones, endpoint_kinds, tier and tiers.

    Raises:
        SettingsError: The settings are invalid; the message names the field.
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
    # Without effect on decisions.
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
