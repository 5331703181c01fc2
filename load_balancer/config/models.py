"""Models of the JSON settings object.

The JSON keys are those of the settings in the simulator's `launch` message: `lanes`, `giveUpUs`,
`tipMultiple`. Fields are named as in `load_balancer.decisions.settings`, and `msgspec.field(name=...)` gives
the JSON key where it differs. Only this module maps the two. Times are in microseconds. Fields are printed in
the order of their definition.

Integers may be written as 1000.0, so numbers are decoded as floats. Unknown keys are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import UNSET, Meta, Raw, Struct, UnsetType, field

from load_balancer.decisions.settings import DeduplicationScope, Idempotency, LoadReportMode

NonNegative = Annotated[float, Meta(ge=0)]
AtLeastOne = Annotated[float, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Flag = bool | int  # 0 and 1 are accepted for false and true

IdempotencyValue = Literal["free", "guarded", "single_shot"]
IDEMPOTENCY: dict[IdempotencyValue, Idempotency] = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}

DeduplicationScopeValue = Literal["all", "zone", "cell"]
DEDUPLICATION_SCOPES: dict[DeduplicationScopeValue, DeduplicationScope] = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.GROUP,
}

LoadReportModeValue = Literal["silent", "piggyback", "pull"]
LOAD_REPORT_MODES: dict[LoadReportModeValue, LoadReportMode] = {
    "silent": LoadReportMode.NONE,
    "piggyback": LoadReportMode.RESPONSES,
    "pull": LoadReportMode.HEALTH_CHECKS,
}

WEIGHT_BY_WORK = "work"  # the other value is "request"
ENDPOINTS_ARE_PUSHED = "pushed"  # the other value is "on_request"
LOAD_DEPENDENT_WEIGHTS = "live"  # any other value means fixed weights


class SettingsObject(Struct, rename="camel", gc=False, frozen=True):
    """Base class of the objects within the settings."""


class RequestClassModel(SettingsObject, frozen=True):
    """One request class, an item of `lanes`."""

    client_timeout_us: AtLeastOne = field(name="giveUpUs")
    latency_objective_us: AtLeastOne | UnsetType = field(default=UNSET, name="aimUs")
    name: str = ""
    priority_weight: NonNegative = field(default=1.0, name="value")
    late_weight_share: Share = field(default=0.0, name="lateValue")
    idempotency: IdempotencyValue = field(default="single_shot", name="effect")
    deduplication_scope: DeduplicationScopeValue = field(default="all", name="group")
    deduplication_window_us: NonNegative = field(default=0.0, name="windowUs")
    ordered: Flag = field(default=False, name="sequential")
    streamed: Flag = False
    latency_objective_stretch: NonNegative = field(default=0.0, name="aimStretch")


class TenantModel(SettingsObject, frozen=True):
    """One tenant, an item of `tenants`."""

    name: str = ""
    quota_per_s: NonNegative = field(default=0.0, name="allowancePerS")
    share: Share = field(default=0.0, name="fraction")


class ObjectiveModel(SettingsObject, frozen=True):
    """Weights of the terms of the objective."""

    overall: NonNegative = field(default=1.0, name="whole")
    worst_window: NonNegative = 0.0
    worst_class: NonNegative = 0.0
    worst_tenant: NonNegative = 0.0


class PricesModel(SettingsObject, frozen=True):
    """Price per unit of each cost, subtracted from the objective."""

    cross_zone: NonNegative = 0.0
    waste: NonNegative = 0.0
    late_failure: NonNegative = field(default=0.0, name="lateFail")
    connection: NonNegative = 0.0
    handshake: NonNegative = 0.0
    health_check: NonNegative = field(default=0.0, name="probe")
    peer_message: NonNegative = field(default=0.0, name="peer")
    endpoint_list_lines: NonNegative = field(default=0.0, name="membershipMode")
    origin: NonNegative = 0.0
    migrations: NonNegative = field(default=0.0, name="moves")
    fleet: NonNegative = 0.0


class CapabilitiesModel(SettingsObject, frozen=True):
    """Optional actions of a gateway, and its limits."""

    max_attempts: AtLeastOne = 3.0
    may_cancel: Flag = False
    may_hedge: Flag = field(default=False, name="secondCopies")
    sends_retry_after: Flag = field(default=False, name="retryAfter")
    max_retry_after_us: NonNegative = 1_000_000.0
    may_check_health: Flag = field(default=False, name="probes")
    may_message_peers: Flag = field(default=False, name="peers")
    requests_per_connection: AtLeastOne = field(default=1.0, name="multiplex")
    connect_timeout_us: NonNegative = 0.0
    idle_connection_timeout_us: NonNegative = field(default=0.0, name="keepaliveUs")
    max_open_requests: NonNegative = field(default=0.0, name="mostHeld")
    cpu_us_per_s: NonNegative = 0.0
    cpu_us_per_request: NonNegative = 0.0


class EndpointContractModel(SettingsObject, frozen=True):
    """Guarantees and requirements of endpoints and service discovery."""

    max_poll_interval_us: NonNegative = field(default=10_000_000.0, name="mustAskInUs")
    slow_start_capacity: Share = field(default=1.0, name="startCapacity")
    slow_start_us: NonNegative = field(default=0.0, name="warmAfterUs")
    overload_multiple: AtLeastOne = field(default=1.0, name="tipMultiple")
    overload_window_us: AtLeastOne = field(default=1_000_000.0, name="fallUs")
    rejected_may_have_run: Flag = field(default=False, name="fullUnproven")
    ordered_key_delay_us: NonNegative = field(default=0.0, name="keyQuietUs")
    drain_grace_us: NonNegative = field(default=0.0, name="stopSendingWithinUs")
    answer_slack_us: NonNegative = 0.0


class ClientsModel(SettingsObject, frozen=True):
    """Behaviour of clients."""

    mark_retries: Flag = field(default=False, name="marksRetry")


class EndpointFeaturesModel(SettingsObject, frozen=True):
    """Optional features of the endpoints."""

    key_affinity: Flag = field(default=False, name="warmKeys")
    propagate_deadlines: Flag = field(default=False, name="passesDeadline")


class LoadReportModel(SettingsObject, frozen=True):
    """Source of load reports, and the names of their values."""

    mode: LoadReportModeValue = field(default="silent", name="how")
    fields: list[str] = []


class SettingsModel(SettingsObject, frozen=True):
    """The settings object; request classes and tenants stay raw JSON, to be decoded item by item."""

    classes: list[Raw] = field(default_factory=list, name="lanes")
    tenants: list[Raw] = []
    zones: list[str] = []
    endpoint_kinds: list[str] = field(default_factory=list, name="shapes")
    tiers: list[str] = []
    objective: ObjectiveModel = field(default=ObjectiveModel(), name="objectiveMix")
    prices: PricesModel = PricesModel()
    capabilities: CapabilitiesModel = field(default=CapabilitiesModel(), name="caps")
    contract: EndpointContractModel = EndpointContractModel()
    clients: ClientsModel = ClientsModel()
    endpoint_features: EndpointFeaturesModel = field(default=EndpointFeaturesModel(), name="familyInfo")
    load_reports: LoadReportModel = field(default=LoadReportModel(), name="report")
    weight_basis: Literal["request", "work"] = field(default="request", name="worthBy")
    endpoint_list_mode: Literal["pushed", "on_request"] = field(default="pushed", name="membershipMode")
    weights: Any = None
    gateways: AtLeastOne = field(default=1.0, name="balancers")
    gateway_index: NonNegative = field(default=0.0, name="index")
    zone: NonNegative = 0.0
    tier: NonNegative = field(default=0.0, name="stage")
    over_quota_weight_share: Share = field(default=1.0, name="overShareWorth")


def json_name(model: type[Struct], field_name: str) -> str:
    """Return the JSON key of a model's field."""
    names = {each.name: each.encode_name for each in msgspec.structs.fields(model)}
    return names[field_name]


CLASSES_KEY = json_name(SettingsModel, "classes")
TENANTS_KEY = json_name(SettingsModel, "tenants")
ZONES_KEY = json_name(SettingsModel, "zones")
ZONE_KEY = json_name(SettingsModel, "zone")
GATEWAYS_KEY = json_name(SettingsModel, "gateways")
GATEWAY_INDEX_KEY = json_name(SettingsModel, "gateway_index")
