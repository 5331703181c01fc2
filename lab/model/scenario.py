"""Scenarios as TOML files: fleet, network, discovery, traffic, clients and troubles with their times.

Keys that end in _ms or _s are durations in milliseconds or seconds; of a pair [least, most] any value between
is as likely. The defaults are those of BRIEF where it gives figures.
"""

from __future__ import annotations

import math
import re
import tomllib
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from load_balancer.decisions.settings import (
    DeduplicationScope,
    Idempotency,
    LoadReportMode,
    LoadReportSettings,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)

Some = Annotated[float, Meta(ge=0)]
More = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Times = Annotated[float, Meta(ge=1)]
Count = Annotated[int, Meta(ge=1)]
Range = tuple[Some, Some]
FOLDER = Path(__file__).parent.parent / "scenarios"


class Effect(Enum):
    """The scenario file's words for `Idempotency`; stored results depend on them."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"

    @property
    def idempotency(self) -> Idempotency:
        """The same in the decisions' terms."""
        return Idempotency[self.name]


class ScenarioError(ValueError):
    """One line: the file, the key by its path, and what was expected there."""


class Part(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Common to all sections of a file."""


class Machines(Part, frozen=True):
    name: str
    share: Share
    speed: tuple[More, More] = (0.85, 1.1)  # of a core, yardstick 1
    cores: Count = 2


class Choke(Part, frozen=True):
    """A server with more than `waiting` requests a core in its queue for `after_s` turns `times` slower."""

    waiting: More = 4.0
    after_s: Some = 2.0
    times: Times = 2.7
    rest_s: Some = 3.6  # mostly idle for so long: over
    spell_s: Some = 26.0  # over in any case


class Cold(Part, frozen=True):
    start: Annotated[float, Meta(gt=0, le=1)] = 0.13  # of its capacity
    warm_s: Some = 23.0
    multiple: Times = 2.5  # sent more than this times its present capacity
    fall_s: More = 3.0  # for so long, it falls over


class Fleet(Part, frozen=True):
    gateways: Count
    servers: Count
    regions: dict[str, Annotated[tuple[str, ...], Meta(min_length=1)]]  # zones of each
    machines: Annotated[tuple[Machines, ...], Meta(min_length=1)]
    rack: Count = 3  # servers of one zone that fail together
    slots: Count = 24  # for requests in work, those that wait on others with them
    waiting: Count = 60  # room for requests that wait at a server
    connections: Count = 1500
    table: Share = 0.1  # of its capacity that a full table of connections takes
    handshake_ms: Some = 4.6  # work of a new connection
    probe_ms: Some = 0.12
    keepalive_s: More = 15.0
    report_ms: Some = 150.0  # age of a load report at the most
    errors: Share = 0.0  # requests that end in an error, whoever serves them
    cancel_stops: bool = True  # running work too, not only what waits
    choke: Choke = Choke()
    cold: Cold = Cold()


class Network(Part, frozen=True):
    """One way, drawn for each pair of zones."""

    within_ms: Range = (0.1, 0.2)
    zones_ms: Range = (0.42, 0.78)
    regions_ms: Range = (8.0, 14.0)
    loss: Share = 0.0  # of requests, and of answers: their connection breaks
    connect_timeout_ms: More = 200.0
    message_ms: Range = (4.8, 38.0)  # between gateways
    front_s: Range = (1.1, 3.9)  # the front layer goes on sending to a dead gateway


class DiscoveryClient(Part, frozen=True):
    pushed: bool = False
    delay_s: Range = (0.5, 2.5)  # until it knows of a change
    calls_per_s: More = 50.0
    queue_s: Some = 2.0  # a call that would wait longer fails
    must_ask_s: More = 10.0


class Class(Part, frozen=True):
    name: str
    share: Share
    work_ms: tuple[More, More]
    others_ms: Range = (0.0, 0.0)  # waits on others, without a core
    aim_ms: More = 400.0
    give_up_ms: More = 2000.0
    worth: Some = 1.0
    late_worth: Share = 0.25
    effect: Effect = Effect.IDEMPOTENT
    scope: DeduplicationScope = DeduplicationScope.ALL
    window_s: Some = 5.0


class Customer(Part, frozen=True):
    name: str
    share: Share
    quota_per_s: Some = 0.0  # 0: none


class Traffic(Part, frozen=True):
    rate_per_s: More
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)]
    tenants: Annotated[tuple[Customer, ...], Meta(min_length=1)]
    over_share_worth: Share = 0.1
    hint_error: Some = 0.2  # standard deviation of the hinted work's logarithm


class Clients(Part, frozen=True):
    retries: Annotated[int, Meta(ge=0, le=8)] = 1
    wait_ms: Range = (50.0, 300.0)
    patience: tuple[Share, Share] = (0.7, 1.0)  # of the give-up time, for one try
    heed: bool = True  # they stay away for as long as a refusal says
    hasty: Share = 0.0  # close after a fifth to three fifths of their patience


class Trouble(Part, frozen=True, tag_field="kind"):
    at_s: Some
    for_s: Some


class Slow(Trouble, frozen=True, tag="slow"):
    part: Share
    times: Times


class Silent(Trouble, frozen=True, tag="silent"):
    """Machines that swallow what they are sent, and come back as they were."""

    part: Share


class Lost(Trouble, frozen=True, tag="lost"):
    """The machines of a zone, or of the first rack of it, are gone without a word and come back cold."""

    zone: str
    rack_only: bool = False


class Cut(Trouble, frozen=True, tag="cut"):
    """Nothing passes between these regions and the others."""

    regions: tuple[str, ...]


class Loss(Trouble, frozen=True, tag="loss"):
    share: Share


class Down(Trouble, frozen=True, tag="discovery"):
    """Discovery does not answer, and watches break."""


class Burst(Trouble, frozen=True, tag="burst"):
    times: Times


class TenantBurst(Trouble, frozen=True, tag="tenant"):
    tenant: str
    times: Times


class Release(Trouble, frozen=True, tag="release"):
    """Servers drain, stop and start cold, in waves over `for_s`."""

    part: Share = 1.0
    waves: Count = 6
    drain_s: Some = 1.0
    down_s: Some = 1.0


class Roll(Trouble, frozen=True, tag="gateways"):
    """Gateways are killed in waves over `for_s`, and come back with nothing but their last list."""

    part: Share
    waves: Count = 1
    down_s: Some = 0.8


AnyTrouble = Slow | Silent | Lost | Cut | Loss | Down | Burst | TenantBurst | Release | Roll
TROUBLES: tuple[type[Trouble], ...] = (Slow, Silent, Lost, Cut, Loss, Down, Burst, TenantBurst, Release, Roll)


class Weights(Part, frozen=True):
    whole: Share = 0.7
    worst_window: Share = 0.1
    worst_class: Share = 0.1
    worst_tenant: Share = 0.1


class Scenario(Part, frozen=True):
    name: str
    seconds: More
    fleet: Fleet
    traffic: Traffic
    network: Network = Network()
    discovery: DiscoveryClient = DiscoveryClient()
    clients: Clients = Clients()
    troubles: tuple[AnyTrouble, ...] = ()
    goal: Weights = Weights()
    policies: tuple[str, ...] = ("rosedeal",)
    seeds: Count = 5
    cross_zone: Some = 0.01  # price, told to the gateways

    @property
    def zones(self) -> tuple[str, ...]:
        return tuple(zone for zones in self.fleet.regions.values() for zone in zones)

    @property
    def region_of(self) -> tuple[int, ...]:
        """The region's number, by the zone's."""
        return tuple(n for n, zones in enumerate(self.fleet.regions.values()) for _ in zones)


SECTIONS: dict[str, type[Part]] = {
    "": Scenario, "fleet": Fleet, "fleet.machines": Machines, "fleet.choke": Choke, "fleet.cold": Cold,
    "traffic": Traffic, "traffic.classes": Class, "traffic.tenants": Customer, "network": Network,
    "discovery": DiscoveryClient, "clients": Clients, "goal": Weights,
}  # fmt: skip


KINDS = {str(trouble.__struct_config__.tag): trouble for trouble in TROUBLES}


def keys(raw: dict[str, Any], path: str) -> list[str]:
    """The keys that are expected in the section at a path."""
    section = SECTIONS.get(re.sub(r"\[\d+\]", "", path))
    if found := re.fullmatch(r"troubles\[(\d+)\]", path):
        section = KINDS.get(raw["troubles"][int(found[1])].get("kind"))
    return [f.name for f in msgspec.structs.fields(section)] if section else []


def told(raw: dict[str, Any], error: msgspec.ValidationError) -> str:
    """The path of a key and what was expected of it, from msgspec's words."""
    what, _, path = str(error).partition(" - at `")
    path = path.rstrip("`").removeprefix("$").removeprefix(".").replace("[...]", "")
    name = re.search("`(.*?)`", what)
    dot = "." if path else ""
    if "missing required field" in what and name:
        return f"{path}{dot}{name[1]}: expected a value, but there is none"
    if "unknown field" in what and name:
        return f"{path}{dot}{name[1]}: expected one of the keys {', '.join(keys(raw, path))}"
    if path.endswith(".kind"):
        return f"{path}: expected one of {', '.join(KINDS)}"
    if path.endswith(".effect") or path.endswith(".scope"):
        values = Effect if path.endswith(".effect") else DeduplicationScope
        return f"{path}: expected one of {', '.join(v.value for v in values)}"
    return f"{path or 'the file'}: {what[:1].lower()}{what[1:]}".replace("`", "")


def walk_finite(value: Any, path: str) -> None:
    if isinstance(value, dict):
        for key, inner in value.items():
            walk_finite(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list):
        for n, inner in enumerate(value):
            walk_finite(inner, f"{path}[{n}]")
    elif isinstance(value, float) and not math.isfinite(value):
        raise ScenarioError(f"{path}: expected a finite number, got {value}")


def check_pairs(value: Any, path: str) -> None:
    """Each pair [least, most] is in order."""
    if isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            check_pairs(getattr(value, name), f"{path}.{name}" if path else name)
    elif isinstance(value, tuple):
        if len(value) == 2 and all(isinstance(v, float | int) for v in value):
            if value[0] > value[1]:
                raise ScenarioError(f"{path}: expected [least, most], got {list(value)}")
        else:
            for n, inner in enumerate(value):
                check_pairs(inner, f"{path}[{n}]")


def check(it: Scenario) -> None:
    """What no single value can tell."""
    check_pairs(it, "")
    for path, parts in (
        ("fleet.machines", it.fleet.machines), ("traffic.classes", it.traffic.classes),
        ("traffic.tenants", it.traffic.tenants),
    ):  # fmt: skip
        if abs(sum(part.share for part in parts) - 1.0) > 0.005:
            raise ScenarioError(f"{path}: expected shares that add up to 1")
    if len(set(it.zones)) != len(it.zones) or not it.zones:
        raise ScenarioError("fleet.regions: expected at least one zone, and each name once")
    if it.seconds < 10.0:
        raise ScenarioError(f"seconds: expected at least 10, got {it.seconds}")
    tenants = [tenant.name for tenant in it.traffic.tenants]
    for n, trouble in enumerate(it.troubles):
        path = f"troubles[{n}]"
        if trouble.at_s >= it.seconds:
            raise ScenarioError(f"{path}.at_s: expected less than seconds, {it.seconds}, got {trouble.at_s}")
        if isinstance(trouble, Lost) and trouble.zone not in it.zones:
            raise ScenarioError(f"{path}.zone: expected one of {', '.join(it.zones)}")
        if isinstance(trouble, TenantBurst) and trouble.tenant not in tenants:
            raise ScenarioError(f"{path}.tenant: expected one of {', '.join(tenants)}")
        if isinstance(trouble, Cut) and not set(trouble.regions) <= set(it.fleet.regions):
            raise ScenarioError(f"{path}.regions: expected some of {', '.join(it.fleet.regions)}")


def parse(text: str, name: str) -> Scenario:
    """The scenario in a TOML text; ScenarioError with `name`, the key's path and what was expected."""
    try:
        raw = tomllib.loads(text)
        walk_finite(raw, "")
        scenario = msgspec.convert(raw, Scenario)
        check(scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: expected TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{name}: {told(raw, error)}") from None
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from None
    return scenario


def find(name: str) -> Path:
    """A path, or the name of one of the files in lab/scenarios."""
    path = Path(name)
    return path if path.suffix or path.exists() else FOLDER / f"{name}.toml"


def load(path: Path) -> Scenario:
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError:
        raise ScenarioError(f"{path.name}: expected UTF-8") from None
    except OSError as error:
        raise ScenarioError(f"{path.name}: cannot be read: {error.strerror}") from None
    return parse(text, path.name)


def us(seconds: float) -> int:
    return round(seconds * 1e6)


def settings(it: Scenario, gateway: int) -> Settings:
    """What the gateway of a number is told."""
    classes = tuple(
        RequestClass(
            us(c.aim_ms / 1e3), us(c.give_up_ms / 1e3), c.worth, c.late_worth, c.effect.idempotency, c.scope,
            us(c.window_s), name=c.name,
        )
        for c in it.traffic.classes
    )  # fmt: skip
    cold, goal = it.fleet.cold, it.goal
    return Settings(
        classes,
        objective=ObjectiveWeights(goal.whole, goal.worst_window, goal.worst_class, goal.worst_tenant),
        prices=Prices(
            cross_zone=it.cross_zone, waste=0.02, late_failure=0.03, connection=0.05, handshake=0.05
        ),
        weight_by_work=True,
        gateways=it.fleet.gateways,
        gateway_index=gateway,
        zone=gateway % len(it.zones),
        clients_mark_retries=True,
        max_attempts=4,
        endpoints_are_pushed=it.discovery.pushed,
        max_poll_interval_us=us(it.discovery.must_ask_s),
        slow_start_capacity=cold.start,
        slow_start_us=us(cold.warm_s),
        overload_multiple=cold.multiple,
        overload_window_us=us(cold.fall_s),
        tenants=tuple(Tenant(t.quota_per_s, t.share, t.name) for t in it.traffic.tenants),
        over_quota_weight_share=it.traffic.over_share_worth,
        load_reports=LoadReportSettings(LoadReportMode.RESPONSES, ("latency_ms", "eps", "queue")),
        may_check_health=True,
        may_message_peers=True,
        connect_timeout_us=us(it.network.connect_timeout_ms / 1e3),
        idle_connection_timeout_us=us(it.fleet.keepalive_s),
        drain_grace_us=500_000,
        answer_slack_us=20_000,
        zones=len(it.zones),
        endpoint_kinds=len(it.fleet.machines),
    )
