"""Versions of the settings, and the ids that decide which state is kept from one version to the next.

State is stored by the id of a class or tenant, not by its index in the settings. A class or tenant whose name
and fields are unchanged keeps its id and therefore its state; any other gets a new id without state.
"""

from __future__ import annotations

from collections.abc import Generator, Sequence
from dataclasses import dataclass

from load_balancer.decisions.settings import RequestClass, Settings, Tenant

ITEMS_PER_STEP = 500  # Number of classes or tenants that are compared between two yields.

_Item = RequestClass | Tenant


@dataclass(slots=True, frozen=True)
class SettingsVersion:
    """One version of the settings, with ids for its classes and tenants that do not depend on their index.

    Attributes:
        number: Number of the version, from 1.
        settings: The settings of this version.
        class_ids: Ids of the classes, in the order of the settings.
        tenant_ids: Ids of the tenants, in the order of the settings; a single id if there are no tenants.
        next_id: The first id that no version has used.
    """

    number: int
    settings: Settings
    class_ids: tuple[int, ...]
    tenant_ids: tuple[int, ...]
    next_id: int


def initial_version(settings: Settings) -> SettingsVersion:
    """Return the first version, in which ids are equal to indices."""
    class_count = len(settings.classes)
    tenant_count = max(1, len(settings.tenants))
    next_id = max(class_count, tenant_count)
    return SettingsVersion(1, settings, tuple(range(class_count)), tuple(range(tenant_count)), next_id)


def next_version(previous: SettingsVersion, settings: Settings) -> Generator[None, None, SettingsVersion]:
    """Return the version that follows `previous`; yield between steps, as the work takes milliseconds."""
    next_id = previous.next_id
    old = previous.settings
    class_ids, next_id = yield from _carry_ids(old.classes, previous.class_ids, settings.classes, next_id)
    tenant_ids, next_id = yield from _carry_ids(old.tenants, previous.tenant_ids, settings.tenants, next_id)
    if not settings.tenants:  # Without tenants, all requests belong to a single, unnamed one.
        if old.tenants:
            tenant_ids = (next_id,)
            next_id += 1
        else:
            tenant_ids = previous.tenant_ids
    return SettingsVersion(previous.number + 1, settings, class_ids, tenant_ids, next_id)


def _carry_ids(
    old: Sequence[_Item], old_ids: tuple[int, ...], new: Sequence[_Item], next_id: int
) -> Generator[None, None, tuple[tuple[int, ...], int]]:
    """Return the ids of the new items and the next unused id.

    An item with the same name and fields as an old one keeps its id; one without a name gets a new id.
    """
    if new is old:
        return old_ids, next_id
    old_by_name: dict[str, tuple[_Item, int]] = {}
    for index, item in enumerate(old):
        old_by_name[item.name] = (item, old_ids[index])
        if index % ITEMS_PER_STEP == 0:
            yield
    new_ids: list[int] = []
    for index, item in enumerate(new, len(old)):
        old_item, item_id = old_by_name.get(item.name, (None, 0))
        if not item.name or (old_item is not item and old_item != item):
            item_id = next_id
            next_id += 1
        new_ids.append(item_id)
        if index % ITEMS_PER_STEP == 0:
            yield
    return tuple(new_ids), next_id
