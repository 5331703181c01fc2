"""Settings from JSON, in steps, so that a gateway can serve requests while it reads thousands of tenants."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from operator import is_
from typing import Any, Generic, TypeVar

import msgspec
from msgspec import Raw

from load_balancer.config.errors import SettingsFormatError, ValidationErrors, join_path, printable_line
from load_balancer.config.json_document import add_decode_errors, decode_value
from load_balancer.config.models import (
    CLASSES_KEY,
    GATEWAY_INDEX_KEY,
    GATEWAYS_KEY,
    TENANTS_KEY,
    ZONE_KEY,
    ZONES_KEY,
    RequestClassModel,
    SettingsModel,
    TenantModel,
)
from load_balancer.config.settings_conversion import to_class, to_settings, to_tenant
from load_balancer.config.steps import ITEMS_PER_STEP, Steps
from load_balancer.decisions.settings import RequestClass, Settings, Tenant
from load_balancer.errors import SettingsError

_UNLIMITED_ERRORS = 1 << 30  # errors

_Item = TypeVar("_Item", bound=RequestClass | Tenant)


@dataclass(frozen=True, slots=True)
class _ItemFormat(Generic[_Item]):
    """How the items of a list are read.

    Attributes:
        model: The model of an item's JSON.
        convert: Makes an item from its model and the previous item of the same name, if any; returns that
            previous object if the two are equal.
    """

    model: type[Any]
    convert: Callable[[Any, _Item | None], _Item]


_REQUEST_CLASS = _ItemFormat(RequestClassModel, to_class)
_TENANT = _ItemFormat(TenantModel, to_tenant)


class _PreviousItems(Generic[_Item]):
    """The items of a list as they were in force before, found by index or else by name."""

    def __init__(self, items: tuple[_Item, ...]) -> None:
        self.items = items
        self._by_name: dict[str, _Item] | None = None  # built when the first item has changed its index

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
        previous: Settings in force; equal parts are reused as the same object: a class, a tenant,
            or the whole tuple of a list.
        errors: Collects the errors; by default the first error is raised.
        names_required: Each class and each tenant must have a name.

    Raises:
        SettingsFormatError: The settings cannot be used.
    """
    errors = errors or ValidationErrors()
    model = yield from _read_model(raw, path, errors)
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
    except SettingsError as error:  # `Settings` checks more than the model does
        message = printable_line(f"{path or 'settings'}: cannot be used: {error}")
        raise SettingsFormatError([message]) from None


def _read_model(raw: Any, path: str, errors: ValidationErrors) -> Steps[SettingsModel]:
    """Decode and check everything but the items of the long lists."""
    model: SettingsModel | None = decode_value(raw, SettingsModel, path, errors)
    yield
    if model is None:  # the lists are read all the same, to report their errors too
        model = _decode_lists(raw)
        if not model.classes:
            return model
    _check_fields(model, path, errors)
    return model


def _decode_lists(raw: Any) -> SettingsModel:
    """Return a model with the lists that can be decoded and the default for everything else."""
    ignored = ValidationErrors(_UNLIMITED_ERRORS)
    raw_fields = decode_value(raw, dict[str, Raw], "", ignored) or {}
    classes = decode_value(raw_fields.get(CLASSES_KEY, b"[]"), list[Raw], "", ignored)
    tenants = decode_value(raw_fields.get(TENANTS_KEY, b"[]"), list[Raw], "", ignored)
    return SettingsModel(classes=classes or [], tenants=tenants or [])


def _check_fields(model: SettingsModel, path: str, errors: ValidationErrors) -> None:
    """Check rules that involve several fields."""
    if not model.classes:
        errors.add(join_path(path, CLASSES_KEY), "expected at least one")
    index = int(model.gateway_index)
    gateways = int(model.gateways)
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
