"""Reads settings from JSON in steps, so that a gateway serves requests while it reads many tenants."""

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

_UNLIMITED_ERRORS = 1 << 30  # a maximum that is never reached

_Item = TypeVar("_Item", bound=RequestClass | Tenant)


@dataclass(frozen=True, slots=True)
class _ItemFormat(Generic[_Item]):
    """How the items of a list are decoded and converted.

    Attributes:
        model: The model of an item's JSON.
        convert: Converts a decoded item. Its second argument is the previous item of the same name, if any,
            which is returned if the two are equal.
    """

    model: type[Any]
    convert: Callable[[Any, _Item | None], _Item]


_REQUEST_CLASS = _ItemFormat(RequestClassModel, to_class)
_TENANT = _ItemFormat(TenantModel, to_tenant)


class _PreviousItems(Generic[_Item]):
    """The items of a list in the previous settings, looked up by index and then by name."""

    def __init__(self, items: tuple[_Item, ...]) -> None:
        self.items = items
        self._by_name: dict[str, _Item] | None = None  # built when a lookup by index fails

    def find(self, index: int, name: str) -> _Item | None:
        """Return the previous item of this name, if any; the item at `index` is tried first."""
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
        path: The JSON path of the settings in their document; empty if they are the whole document.
        previous: The settings in force. Equal request classes, equal tenants, and the whole tuple of an equal
            list are reused as the same objects.
        errors: Collects the errors; by default the first error is raised.
        names_required: Whether each request class and each tenant must have a name.

    Returns:
        The settings, and the model that they were converted from.

    Raises:
        SettingsFormatError: The settings are invalid.
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
        message = printable_line(f"{path or 'settings'}: invalid: {error}")
        raise SettingsFormatError([message]) from None


def _read_model(raw: Any, path: str, errors: ValidationErrors) -> Steps[SettingsModel]:
    """Decode and check the settings except for the items of the request classes and tenants."""
    model: SettingsModel | None = decode_value(raw, SettingsModel, path, errors)
    yield
    if model is None:  # the lists are decoded nevertheless, to report their errors too
        model = _decode_lists(raw)
        if not model.classes:
            return model
    _check_fields(model, path, errors)
    return model


def _decode_lists(raw: Any) -> SettingsModel:
    """Return a model with the lists that can be decoded, and defaults for all other fields."""
    ignored = ValidationErrors(_UNLIMITED_ERRORS)
    raw_fields = decode_value(raw, dict[str, Raw], "", ignored) or {}
    classes = decode_value(raw_fields.get(CLASSES_KEY, b"[]"), list[Raw], "", ignored)
    tenants = decode_value(raw_fields.get(TENANTS_KEY, b"[]"), list[Raw], "", ignored)
    return SettingsModel(classes=classes or [], tenants=tenants or [])


def _check_fields(model: SettingsModel, path: str, errors: ValidationErrors) -> None:
    """Check rules that involve several fields."""
    if not model.classes:
        errors.add(join_path(path, CLASSES_KEY), "expected at least one request class, got none")
    index = int(model.gateway_index)
    gateways = int(model.gateways)
    if model.gateway_index >= model.gateways:
        message = f"expected an index below {GATEWAYS_KEY} ({gateways}), got {index}"
        errors.add(join_path(path, GATEWAY_INDEX_KEY), message)
    if model.zones and int(model.zone) >= len(model.zones):
        message = f"expected an index below the number of zones ({len(model.zones)}), got {int(model.zone)}"
        errors.add(join_path(path, ZONE_KEY), message)
    _check_unique(model.zones, join_path(path, ZONES_KEY), "", errors)


def _check_unique(names: Sequence[str], list_path: str, field: str, errors: ValidationErrors) -> None:
    """Check that no name occurs twice; any number of items may have an empty name."""
    if len(set(names)) == len(names):
        return
    first_index: dict[str, int] = {}
    for index, name in enumerate(names):
        if name and first_index.setdefault(name, index) != index:
            path = join_path(f"{list_path}[{index}]", field)
            errors.add(path, f"expected a unique name, got {name!r}, already used at [{first_index[name]}]")


def read_list(
    raw_items: Sequence[Raw],
    item_format: _ItemFormat[_Item],
    previous: tuple[_Item, ...],
    path: str,
    errors: ValidationErrors,
    names_required: bool,
) -> Steps[tuple[_Item, ...]]:
    """Read a list of request classes or tenants; return `previous` itself if nothing has changed."""
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
                errors.add(f"{path}[{index}].name", "is missing; expected a string")
            items.append(item_format.convert(model, previous_items.find(index, model.name)))
        yield
    _check_unique([item.name for item in items], path, "name", errors)
    if len(items) == len(previous) and all(map(is_, items, previous)):
        return previous
    return tuple(items)
