"""Settings from JSON, in steps, so that a gateway can serve requests while it reads thousands of tenants."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from operator import is_
from typing import Any, Generic, TypeVar

import msgspec
from msgspec import UNSET, Raw

from load_balancer.config.errors import SettingsFormatError, ValidationErrors, join_path, printable_line
from load_balancer.config.json_document import add_decode_errors, decode_value
from load_balancer.config.models import (
    CLASSES_KEY,
    DEDUPLICATION_SCOPES,
    ENDPOINTS_ARE_PUSHED,
    GATEWAY_INDEX_KEY,
    GATEWAYS_KEY,
    IDEMPOTENCY,
    LOAD_DEPENDENT_WEIGHTS,
    LOAD_REPORT_MODES,
    TENANTS_KEY,
    WEIGHT_BY_WORK,
    ZONE_KEY,
    ZONES_KEY,
    LoadReportModel,
    ObjectiveModel,
    PricesModel,
    RequestClassModel,
    SettingsModel,
    TenantModel,
)
from load_balancer.config.steps import ITEMS_PER_STEP, Steps
from load_balancer.decisions.settings import (
    LoadReportSettings,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)
from load_balancer.errors import SettingsError

_UNLIMITED = 1 << 30  # errors

_Item = TypeVar("_Item", bound=RequestClass | Tenant)


@dataclass(frozen=True, slots=True)
class _ItemFormat(Generic[_Item]):
    """How the items of a list are read: the model of their JSON, and what makes an item of it.

    `convert` takes the previous item of the same name too, and returns that very object if it is equal.
    """

    model: type[Any]
    convert: Callable[[Any, _Item | None], _Item]


class _PreviousItems(Generic[_Item]):
    """The items of a list as they were in force before, found by index or else by name."""

    def __init__(self, items: tuple[_Item, ...]) -> None:
        self.items = items
        self._by_name: dict[str, _Item] | None = None  # made at the first item that has moved

    def find(self, index: int, name: str) -> _Item | None:
        """Return the item with a name, looking at the index first; None if there was none."""
        if not self.items:
            return None
        if index < len(self.items):
            item = self.items[index]
            if item.name == name:
                return item
        if self._by_name is None:
            self._by_name = {each.name: each for each in self.items}
        return self._by_name.get(name)


def read_settings(
    raw: Any,
    path: str = "",
    previous: Settings | None = None,
    errors: ValidationErrors | None = None,
    names_required: bool = False,
) -> Steps[tuple[Settings, SettingsModel]]:
    """Read settings from JSON.

    Args:
        raw: The JSON text of the settings object.
        path: The path of the settings in their document; empty if they are a document of their own.
        previous: Settings in force; what is equal in them is taken over as the same object: a class, a
            tenant, or the whole tuple of a list.
        errors: Collects what is wrong; by default the first error is raised.
        names_required: Each class and each tenant must have a name.

    Raises:
        SettingsFormatError: The settings cannot be used.
    """
    errors = errors or ValidationErrors()
    model: SettingsModel | None = decode_value(raw, SettingsModel, path, errors)
    yield
    if model is not None:
        _check_fields(model, path, errors)
    else:  # the lists are read all the same, to find what else is wrong
        model = _decode_lists(raw)
        if model.classes:
            _check_fields(model, path, errors)
    classes = yield from read_list(
        model.classes,
        _REQUEST_CLASS,
        previous.classes if previous else (),
        join_path(path, CLASSES_KEY),
        errors,
        names_required,
    )
    tenants = yield from read_list(
        model.tenants,
        _TENANT,
        previous.tenants if previous else (),
        join_path(path, TENANTS_KEY),
        errors,
        names_required,
    )
    errors.raise_if_any()
    try:
        return to_settings(model, classes, tenants), model
    except SettingsError as error:  # a rule of Settings that the model does not have
        message = printable_line(f"{path or 'settings'}: cannot be used: {error}")
        raise SettingsFormatError([message]) from None


def _decode_lists(raw: Any) -> SettingsModel:
    """Return a model with the lists that can be decoded and the default for everything else."""
    ignored = ValidationErrors(_UNLIMITED)
    parts = decode_value(raw, dict[str, Raw], "", ignored) or {}
    classes = decode_value(parts.get(CLASSES_KEY, b"[]"), list[Raw], "", ignored)
    tenants = decode_value(parts.get(TENANTS_KEY, b"[]"), list[Raw], "", ignored)
    return SettingsModel(classes=classes or [], tenants=tenants or [])


def _check_fields(model: SettingsModel, path: str, errors: ValidationErrors) -> None:
    """Check what one field requires of another."""
    if not model.classes:
        errors.add(join_path(path, CLASSES_KEY), "expected at least one")
    index, gateways = int(model.gateway_index), int(model.gateways)
    if model.gateway_index >= model.gateways:
        message = f"expected a number below {GATEWAYS_KEY}, {gateways}, got {index}"
        errors.add(join_path(path, GATEWAY_INDEX_KEY), message)
    if model.zones and int(model.zone) >= len(model.zones):
        message = f"expected the place of one of {len(model.zones)} zones, from 0, got {int(model.zone)}"
        errors.add(join_path(path, ZONE_KEY), message)
    _check_unique(model.zones, join_path(path, ZONES_KEY), "", errors)


def _check_unique(names: Sequence[str], list_path: str, field: str, errors: ValidationErrors) -> None:
    """Check that no name occurs twice; any number of items may have an empty one."""
    if len(set(names)) == len(names):
        return
    first_index: dict[str, int] = {}
    for index, name in enumerate(names):
        if name and first_index.setdefault(name, index) != index:
            path = join_path(f"{list_path}[{index}]", field)
            errors.add(path, f"expected a name of its own, got {name!r} as at [{first_index[name]}]")


def read_list(
    raw_items: Sequence[Raw],
    item_format: _ItemFormat[_Item],
    previous: tuple[_Item, ...],
    path: str,
    errors: ValidationErrors,
    names_required: bool,
) -> Steps[tuple[_Item, ...]]:
    """Read one of the long lists; returns `previous` itself if nothing in it has changed."""
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(item_format.model)
    previous_items = _PreviousItems(previous)
    items: list[_Item] = []
    for start in range(0, len(raw_items), ITEMS_PER_STEP):
        for index, raw in enumerate(raw_items[start : start + ITEMS_PER_STEP], start):
            try:
                model = decoder.decode(raw)
            except (msgspec.DecodeError, RecursionError) as error:
                add_decode_errors(raw, item_format.model, f"{path}[{index}]", errors, error)
                continue
            if names_required and not model.name:
                errors.add(f"{path}[{index}].name", "is missing; expected text")
            items.append(item_format.convert(model, previous_items.find(index, model.name)))
        yield
    _check_unique([item.name for item in items], path, "name", errors)
    if len(items) == len(previous) and all(map(is_, items, previous)):
        return previous
    return tuple(items)


def to_class(model: RequestClassModel, previous: RequestClass | None) -> RequestClass:
    """Return the request class of a model: `previous` itself if it is equal."""
    client_timeout_us = int(model.client_timeout_us)
    objective_us = model.latency_objective_us
    request_class = RequestClass(
        latency_objective_us=client_timeout_us if objective_us is UNSET else int(objective_us),
        client_timeout_us=client_timeout_us,
        priority_weight=model.priority_weight,
        late_weight_share=model.late_weight_share,
        idempotency=IDEMPOTENCY[model.idempotency],
        deduplication_scope=DEDUPLICATION_SCOPES[model.deduplication_scope],
        deduplication_window_us=int(model.deduplication_window_us),
        ordered=bool(model.ordered),
        streamed=bool(model.streamed),
        latency_objective_stretch=model.latency_objective_stretch,
        name=model.name,
    )
    return previous if previous is not None and previous == request_class else request_class


def to_tenant(model: TenantModel, previous: Tenant | None) -> Tenant:
    """Return the tenant of a model: `previous` itself if it is equal."""
    if (
        previous is not None
        and previous.quota_per_s == model.quota_per_s
        and previous.share == model.share
        and previous.name == model.name
    ):
        return previous
    return Tenant(model.quota_per_s, model.share, model.name)


_REQUEST_CLASS = _ItemFormat(RequestClassModel, to_class)
_TENANT = _ItemFormat(TenantModel, to_tenant)


def to_settings(
    model: SettingsModel, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]
) -> Settings:
    """Return the settings of a model and its lists.

    Raises:
        SettingsError: No decision can be made from these settings.
    """
    capabilities, contract = model.capabilities, model.contract
    return Settings(
        classes=classes,
        objective=_to_objective(model.objective),
        prices=_to_prices(model.prices),
        weight_by_work=model.weight_basis == WEIGHT_BY_WORK,
        gateways=int(model.gateways),
        gateway_index=int(model.gateway_index),
        zone=int(model.zone),
        zones=max(1, len(model.zones)),
        endpoint_kinds=max(1, len(model.endpoint_kinds)),
        tier=int(model.tier),
        tiers=max(1, len(model.tiers)),
        clients_mark_retries=bool(model.clients.mark_retries),
        max_attempts=int(capabilities.max_attempts),
        may_cancel=bool(capabilities.may_cancel),
        may_hedge=bool(capabilities.may_hedge),
        load_dependent_weights=model.weights == LOAD_DEPENDENT_WEIGHTS,
        key_affinity=bool(model.endpoint_features.key_affinity),
        endpoints_propagate_deadlines=bool(model.endpoint_features.propagate_deadlines),
        endpoints_are_pushed=model.endpoint_list_mode == ENDPOINTS_ARE_PUSHED,
        max_poll_interval_us=int(contract.max_poll_interval_us),
        max_retry_after_us=int(capabilities.max_retry_after_us) if capabilities.sends_retry_after else 0,
        slow_start_capacity=contract.slow_start_capacity,
        slow_start_us=int(contract.slow_start_us),
        overload_multiple=contract.overload_multiple,
        overload_window_us=int(contract.overload_window_us),
        rejected_may_have_run=bool(contract.rejected_may_have_run),
        ordered_key_delay_us=int(contract.ordered_key_delay_us),
        drain_grace_us=int(contract.drain_grace_us),
        answer_slack_us=int(contract.answer_slack_us),
        tenants=tenants,
        over_quota_weight_share=model.over_quota_weight_share,
        load_reports=_to_load_reports(model.load_reports),
        may_check_health=bool(capabilities.may_check_health),
        may_message_peers=bool(capabilities.may_message_peers),
        requests_per_connection=int(capabilities.requests_per_connection),
        connect_timeout_us=int(capabilities.connect_timeout_us),
        idle_connection_timeout_us=int(capabilities.idle_connection_timeout_us),
        max_open_requests=int(capabilities.max_open_requests),
        cpu_us_per_s=capabilities.cpu_us_per_s,
        cpu_us_per_request=capabilities.cpu_us_per_request,
    )


def _to_objective(model: ObjectiveModel) -> ObjectiveWeights:
    return ObjectiveWeights(**msgspec.structs.asdict(model))


def _to_prices(model: PricesModel) -> Prices:
    return Prices(**msgspec.structs.asdict(model))


def _to_load_reports(model: LoadReportModel) -> LoadReportSettings:
    return LoadReportSettings(LOAD_REPORT_MODES[model.mode], tuple(model.fields))
