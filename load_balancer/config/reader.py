"""The settings object as a typed model, from the operators' JSON to the interface's types.

Names and units are those of the simulator's first message (times in whole microseconds). What is not named
here is left unread; what cannot be used is named by its path, with what was expected there. The work is done
in steps, so that a gateway that serves can read thousands of tenants in between.
"""

from __future__ import annotations

import re
from collections.abc import Generator, Iterable, Sequence
from operator import is_
from typing import Annotated, Any, Literal, TypeVar, get_args, get_origin

import msgspec
from msgspec import UNSET, Meta, Raw, Struct, UnsetType

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

EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.GROUP}
REPORT_MODES = {
    "silent": LoadReportMode.NONE,
    "piggyback": LoadReportMode.RESPONSES,
    "pull": LoadReportMode.HEALTH_CHECKS,
}

STEP = 200  # lanes or tenants between two yields: well under a millisecond
LINE_LIMIT = 300  # characters of one fault

T = TypeVar("T")
Steps = Generator[None, None, T]

Number = Annotated[float, Meta(ge=0)]  # a whole one may be written as 1000.0
AtLeast1 = Annotated[float, Meta(ge=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Flag = bool | int


class Model(Struct, rename="camel", gc=False, frozen=True):
    """An object of the settings; names it does not know are left unread."""


class LaneModel(Model, frozen=True):
    give_up_us: AtLeast1
    aim_us: AtLeast1 | UnsetType = UNSET
    name: str = ""
    value: Number = 1.0
    late_value: Share = 0.0
    effect: Literal["free", "guarded", "single_shot"] = "single_shot"
    group: Literal["all", "zone", "cell"] = "all"
    window_us: Number = 0.0
    sequential: Flag = False
    streamed: Flag = False
    aim_stretch: Number = 0.0


class TenantModel(Model, frozen=True):
    name: str = ""
    allowance_per_s: Number = 0.0
    fraction: Share = 0.0


class GoalModel(Model, frozen=True):
    whole: Number = 1.0
    worst_window: Number = 0.0
    worst_class: Number = 0.0
    worst_tenant: Number = 0.0


class PricesModel(Model, frozen=True):
    cross_zone: Number = 0.0
    waste: Number = 0.0
    late_fail: Number = 0.0
    connection: Number = 0.0
    handshake: Number = 0.0
    probe: Number = 0.0
    peer: Number = 0.0
    membership_mode: Number = 0.0
    origin: Number = 0.0
    moves: Number = 0.0
    fleet: Number = 0.0


class CapsModel(Model, frozen=True):
    max_attempts: AtLeast1 = 3.0
    may_cancel: Flag = False
    second_copies: Flag = False
    retry_after: Flag = False
    max_retry_after_us: Number = 1_000_000.0
    probes: Flag = False
    peers: Flag = False
    multiplex: AtLeast1 = 1.0
    connect_timeout_us: Number = 0.0
    keepalive_us: Number = 0.0
    most_held: Number = 0.0
    cpu_us_per_s: Number = 0.0
    cpu_us_per_request: Number = 0.0


class ContractModel(Model, frozen=True):
    must_ask_in_us: Number = 10_000_000.0
    start_capacity: Share = 1.0
    warm_after_us: Number = 0.0
    tip_multiple: AtLeast1 = 1.0
    fall_us: AtLeast1 = 1_000_000.0
    full_unproven: Flag = False
    key_quiet_us: Number = 0.0
    stop_sending_within_us: Number = 0.0
    answer_slack_us: Number = 0.0


class ClientsModel(Model, frozen=True):
    marks_retry: Flag = False


class FamilyModel(Model, frozen=True):
    warm_keys: Flag = False
    passes_deadline: Flag = False


class ReportModel(Model, frozen=True):
    how: Literal["silent", "piggyback", "pull"] = "silent"
    fields: list[str] = []


class SettingsModel(Model, frozen=True):
    """The whole; the long lists are read piece by piece."""

    lanes: list[Raw] = []
    tenants: list[Raw] = []
    zones: list[str] = []
    shapes: list[str] = []
    tiers: list[str] = []
    objective_mix: GoalModel = GoalModel()
    prices: PricesModel = PricesModel()
    caps: CapsModel = CapsModel()
    contract: ContractModel = ContractModel()
    clients: ClientsModel = ClientsModel()
    family_info: FamilyModel = FamilyModel()
    report: ReportModel = ReportModel()
    worth_by: Literal["request", "work"] = "request"
    membership_mode: Literal["pushed", "on_request"] = "pushed"
    weights: Any = None
    balancers: AtLeast1 = 1.0
    index: Number = 0.0
    zone: Number = 0.0
    stage: Number = 0.0
    over_share_worth: Share = 1.0


# What is wrong, in one line each


class SettingsFormatError(ValueError):
    """JSON that does not fit its model; `faults` names each place by its path, one line each."""

    def __init__(self, faults: Iterable[str]) -> None:
        self.faults = tuple(faults)
        super().__init__(self.faults[0])


class ValidationErrors:
    """Collects what is wrong and raises ModelError at the last that is wanted: by default at the first."""

    def __init__(self, most: int = 1) -> None:
        self.most = most
        self.found: list[str] = []

    def add(self, path: str, what: str) -> None:
        self.found.append(printable_line(f"{path}: {what}" if path else what))
        if len(self.found) >= self.most:
            self.settle()

    def settle(self) -> None:
        if self.found:
            raise SettingsFormatError(self.found)


def printable_line(text: str) -> str:
    """Printable, of at most LINE_LIMIT characters."""
    line = "".join(c if c.isprintable() else repr(c)[1:-1] for c in text[: LINE_LIMIT + 1])
    return line if len(line) <= LINE_LIMIT else f"{line[: LINE_LIMIT - 3]}..."


def join(path: str, more: str) -> str:
    return f"{path}{more}" if not path or not more or more.startswith("[") else f"{path}.{more}"


PLACE = re.compile(r" - at `(?:key in )?\$\.?(.*)`$", re.DOTALL)
QUOTED = re.compile(r"`([^`]*)`")
PLAIN = {
    "float": "a number",
    "int": "a whole number",
    "bool | int": "true or false",
    "bool": "true or false",
    "str": "text",
    "str | null": "text",
    "object": "an object",
    "array": "a list",
    "float | int | str": "a number or text",
}


def plain(text: str) -> str:
    """What the library says of a value, in the words of these pages."""
    text = QUOTED.sub(lambda match: PLAIN.get(match[1], match[1]), text)
    bound = BOUND.search(text)
    if bound:
        text = f"{text[: bound.start()]} of at {BOUNDS[bound[1]]} {bound[2]}"
    return text[:1].lower() + text[1:]


BOUND = re.compile(r" (>=|<=) (-?[0-9]+)(?:\.0)?$")
BOUNDS = {">=": "least", "<=": "most"}


def expected(kind: Any) -> str:
    if get_origin(kind) is Literal:
        return f"expected {' or '.join(map(str, get_args(kind)))}"
    try:
        msgspec.json.decode(b"null", type=kind)
    except msgspec.DecodeError as error:
        return plain(PLACE.sub("", str(error))).partition(", got")[0]
    return "expected a value"


def decode(raw: Any, kind: Any, path: str, faults: ValidationErrors) -> Any:
    """The value of a kind; None once a fault has been noted."""
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        note(raw, kind, path, faults, error)
        return None


def note(raw: Any, kind: Any, path: str, faults: ValidationErrors, error: Exception) -> None:
    """Every fault in a value that does not fit, field by field in an object."""
    if isinstance(error, RecursionError):
        faults.add(path, "is nested too deep")
        return
    if isinstance(kind, type) and issubclass(kind, Struct):
        parts = decode(raw, dict[str, Raw], path, faults)
        for field in msgspec.structs.fields(kind) if parts is not None else ():
            name = field.encode_name
            if parts is not None and name in parts:
                decode(parts[name], field.type, join(path, name), faults)
            elif field.required:
                faults.add(join(path, name), f"is missing; {expected(field.type)}")
        return
    text = str(error)
    place = PLACE.search(text)
    path = join(path, place[1]) if place else path
    text = PLACE.sub("", text)
    if get_origin(kind) is Literal:
        got = text.partition(", got ")[2] or text.removeprefix("Invalid enum value ")
        text = f"{expected(kind)}, got {got}"
    elif not isinstance(error, msgspec.ValidationError):  # JSON, as is known: what is wrong is in a text
        text = "expected text in Unicode"
    elif not text.startswith("Expected"):
        text = f"{expected(kind)}: {text}"
    faults.add(path, plain(text))


# A text that is no JSON

TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[{}\[\],:]', re.DOTALL)
BYTE = re.compile(r" \(byte (\d+)\)$")
NOT_FINITE = re.compile(rb"-?(?:NaN|Infinity)")
TOKENS = 2_000  # between two yields


def json_path_at(data: bytes, end: int) -> Steps[str]:
    """The path of the value that a JSON text stands in at a byte."""
    stack: list[str | int] = []
    last = b""
    for number, match in enumerate(TOKEN.finditer(data, 0, end)):
        token: bytes = match[0]
        if token == b"{":
            stack.append("")
        elif token == b"[":
            stack.append(0)
        elif token in (b"}", b"]"):
            if stack:
                stack.pop()
        elif token == b"," and stack:
            top = stack[-1]
            stack[-1] = top + 1 if isinstance(top, int) else ""
        elif token == b":" and stack and isinstance(stack[-1], str):
            stack[-1] = last[1:-1].decode("utf-8", "replace")
        last = token
        if number % TOKENS == TOKENS - 1:
            yield
    path = ""
    for part in stack:
        path = join(path, f"[{part}]" if isinstance(part, int) else part)
    return path


def syntax_error(data: bytes, error: Exception, path: str = "") -> Steps[str]:
    """One line on why a text is no JSON: where it breaks off or goes wrong, and in which value."""
    text = str(error)
    byte = BYTE.search(text)
    at = int(byte[1]) if byte else len(data)
    place = join(path, (yield from json_path_at(data, at)))
    found = NOT_FINITE.match(data, max(0, at - 1)) or NOT_FINITE.match(data, at)
    if found:
        return printable_line(f"{place}: expected a finite number, got {found[0].decode()}")
    what = BYTE.sub("", text).removeprefix("JSON is malformed: ") if byte else "it ends in the middle"
    within = f", in {place}" if place else ""
    return printable_line(f"not JSON: {what} at byte {at}{within}; expected an object")


def decode_document(data: bytes, kind: Any, faults: ValidationErrors) -> Steps[Any]:
    """A whole JSON text; None once a fault has been noted, ModelError where it is no JSON."""
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError:
        raise SettingsFormatError(
            ["not JSON that can be read: nested too deep; expected an object"]
        ) from None
    except msgspec.DecodeError as error:
        fault = error
    try:
        msgspec.json.decode(data, type=Raw)
    except RecursionError:
        raise SettingsFormatError(
            ["not JSON that can be read: nested too deep; expected an object"]
        ) from None
    except msgspec.DecodeError as error:  # no JSON, be it further on than the first fault
        raise SettingsFormatError([(yield from syntax_error(data, error))]) from None
    note(data, kind, "", faults, fault)
    return None


def run_to_completion(steps: Steps[T]) -> T:
    """All steps at once."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value  # type: ignore[no-any-return]


# From the model to the interface


def read_settings(
    raw: Any,
    path: str = "",
    before: Settings | None = None,
    faults: ValidationErrors | None = None,
    named: bool = False,
) -> Steps[tuple[Settings, SettingsModel]]:
    """Settings from JSON in steps; `path` is where they stand in their file, '' for on their own.

    Classes and tenants that are equal to one of `before` are that very object; a list in which nothing has
    changed is the very tuple. `named`: each class and tenant must have a name. Raises ModelError.
    """
    faults = faults or ValidationErrors()
    model = decode(raw, SettingsModel, path, faults)
    yield
    if model is None:  # the lists are looked at none the less, for what else is wrong
        parts = decode(raw, dict[str, Raw], path, ValidationErrors(1 << 30)) or {}
        lists = [
            decode(parts.get(k, b"[]"), list[Raw], k, ValidationErrors(1 << 30)) for k in ("lanes", "tenants")
        ]
        model = SettingsModel(lanes=lists[0] or [], tenants=lists[1] or [])
        if lists[0]:
            check_whole(model, path, faults)
    else:
        check_whole(model, path, faults)
    old_classes, old_tenants = (before.classes, before.tenants) if before else ((), ())
    classes = yield from read_list(
        model.lanes,
        LaneModel,
        to_class,
        old_classes,
        join(path, "lanes"),
        faults,
        named,
    )
    tenants = yield from read_list(
        model.tenants,
        TenantModel,
        to_tenant,
        old_tenants,
        join(path, "tenants"),
        faults,
        named,
    )
    faults.settle()
    try:
        return to_settings(model, classes, tenants), model
    except ValueError as error:  # the interface's own rules: the model is to be no wider than they are
        raise SettingsFormatError(
            [printable_line(f"{path or 'settings'}: cannot be used: {error}")]
        ) from None


def check_whole(model: SettingsModel, path: str, faults: ValidationErrors) -> None:
    """What one field says of another."""
    if not model.lanes:
        faults.add(join(path, "lanes"), "expected at least one")
    if model.index >= model.balancers:
        whole = f"expected a number below balancers, {int(model.balancers)}, got {int(model.index)}"
        faults.add(join(path, "index"), whole)
    if model.zones and int(model.zone) >= len(model.zones):
        whole = f"expected the place of one of {len(model.zones)} zones, from 0, got {int(model.zone)}"
        faults.add(join(path, "zone"), whole)
    check_names(model.zones, join(path, "zones"), "", faults)


def check_names(names: Sequence[str], path: str, field: str, faults: ValidationErrors) -> None:
    """No name may stand twice; an empty one is none."""
    if len(set(names)) == len(names):
        return
    first: dict[str, int] = {}
    for number, name in enumerate(names):
        if name and first.setdefault(name, number) != number:
            where = join(f"{path}[{number}]", field)
            faults.add(where, f"expected a name of its own, got {name!r} as at [{first[name]}]")


N = TypeVar("N", RequestClass, Tenant)


def read_list(
    raws: Sequence[Raw],
    kind: type[Any],
    make: Any,
    before: tuple[N, ...],
    path: str,
    faults: ValidationErrors,
    named: bool,
) -> Steps[tuple[N, ...]]:
    """One of the long lists, STEP items at a time."""
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(kind)
    made: list[N] = []
    by_name: dict[str, N] | None = None
    for start in range(0, len(raws), STEP):
        for number, raw in enumerate(raws[start : start + STEP], start):
            try:
                item = decoder.decode(raw)
            except (msgspec.DecodeError, RecursionError) as error:
                note(raw, kind, f"{path}[{number}]", faults, error)
                continue
            if named and not item.name:
                faults.add(f"{path}[{number}].name", "is missing; expected text")
            old = before[number] if number < len(before) else None
            if before and (old is None or old.name != item.name):
                if by_name is None:
                    by_name = {each.name: each for each in before}
                old = by_name.get(item.name)
            made.append(make(item, old))
        yield
    check_names([each.name for each in made], path, "name", faults)
    if len(made) == len(before) and all(map(is_, made, before)):
        return before
    return tuple(made)


def to_class(lane: LaneModel, old: RequestClass | None) -> RequestClass:
    give_up_us = int(lane.give_up_us)
    new = RequestClass(
        latency_objective_us=give_up_us if lane.aim_us is UNSET else int(lane.aim_us),
        client_timeout_us=give_up_us,
        priority_weight=lane.value,
        late_weight_share=lane.late_value,
        idempotency=EFFECTS[lane.effect],
        deduplication_scope=SCOPES[lane.group],
        deduplication_window_us=int(lane.window_us),
        ordered=bool(lane.sequential),
        streamed=bool(lane.streamed),
        latency_objective_stretch=lane.aim_stretch,
        name=lane.name,
    )
    return old if old is not None and old == new else new


def to_tenant(tenant: TenantModel, old: Tenant | None) -> Tenant:
    if (
        old is not None
        and old.quota_per_s == tenant.allowance_per_s
        and old.share == tenant.fraction
        and old.name == tenant.name
    ):
        return old
    return Tenant(tenant.allowance_per_s, tenant.fraction, tenant.name)


def to_settings(
    model: SettingsModel, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]
) -> Settings:
    caps, contract, goal, prices = model.caps, model.contract, model.objective_mix, model.prices
    return Settings(
        classes=classes,
        objective=ObjectiveWeights(goal.whole, goal.worst_window, goal.worst_class, goal.worst_tenant),
        prices=Prices(
            cross_zone=prices.cross_zone,
            waste=prices.waste,
            late_failure=prices.late_fail,
            connection=prices.connection,
            handshake=prices.handshake,
            health_check=prices.probe,
            peer_message=prices.peer,
            endpoint_list_lines=prices.membership_mode,
            origin=prices.origin,
            migrations=prices.moves,
            fleet=prices.fleet,
        ),
        weight_by_work=model.worth_by == "work",
        gateways=int(model.balancers),
        gateway_index=int(model.index),
        zone=int(model.zone),
        zones=max(1, len(model.zones)),
        endpoint_kinds=max(1, len(model.shapes)),
        tier=int(model.stage),
        tiers=max(1, len(model.tiers)),
        clients_mark_retries=bool(model.clients.marks_retry),
        max_attempts=int(caps.max_attempts),
        may_cancel=bool(caps.may_cancel),
        may_hedge=bool(caps.second_copies),
        load_dependent_weights=model.weights == "live",
        key_affinity=bool(model.family_info.warm_keys),
        endpoints_propagate_deadlines=bool(model.family_info.passes_deadline),
        endpoints_are_pushed=model.membership_mode == "pushed",
        max_poll_interval_us=int(contract.must_ask_in_us),
        max_retry_after_us=int(caps.max_retry_after_us) if caps.retry_after else 0,
        slow_start_capacity=contract.start_capacity,
        slow_start_us=int(contract.warm_after_us),
        overload_multiple=contract.tip_multiple,
        overload_window_us=int(contract.fall_us),
        rejected_may_have_run=bool(contract.full_unproven),
        ordered_key_delay_us=int(contract.key_quiet_us),
        drain_grace_us=int(contract.stop_sending_within_us),
        answer_slack_us=int(contract.answer_slack_us),
        tenants=tenants,
        over_quota_weight_share=model.over_share_worth,
        load_reports=LoadReportSettings(REPORT_MODES[model.report.how], tuple(model.report.fields)),
        may_check_health=bool(caps.probes),
        may_message_peers=bool(caps.peers),
        requests_per_connection=int(caps.multiplex),
        connect_timeout_us=int(caps.connect_timeout_us),
        idle_connection_timeout_us=int(caps.keepalive_us),
        max_open_requests=int(caps.most_held),
        cpu_us_per_s=caps.cpu_us_per_s,
        cpu_us_per_request=caps.cpu_us_per_request,
    )
