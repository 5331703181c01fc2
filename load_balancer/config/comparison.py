"""Describes the effects on a running gateway of replacing one configuration by another."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from functools import reduce
from operator import getitem
from typing import Any

import msgspec

from load_balancer.config.effective_config import EffectiveConfig, JsonObject
from load_balancer.config.models import CLASSES_KEY, TENANTS_KEY
from load_balancer.config.steps import run_to_completion
from load_balancer.decisions.settings_version import SettingsVersion, initial_version, next_version

APPLIED_IMMEDIATELY = ("discovery", "peers", "peers_all", "limits.memory_mb")
APPLIED_AT_START = ("seed",)


@dataclass(frozen=True, slots=True)
class ItemChanges:
    """The differences between two lists of request classes or of tenants, by name.

    Attributes:
        added: Names that only the new configuration has.
        removed: Names that only the old configuration has.
        changed: The fields that differ with both values, by the name of the item.
        unchanged_count: Number of items that are equal in both.
        state_reset: Names in both configurations whose state is reset.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]
    changed: Mapping[str, str]
    unchanged_count: int
    state_reset: frozenset[str]

    def summary(self, title: str) -> str:
        """Return one line with the number of changes of each kind."""
        return (
            f"{title}: {len(self.added)} added, {len(self.removed)} removed, {len(self.changed)} changed, "
            f"{self.unchanged_count} unchanged"
        )

    def details(self) -> Iterator[str]:
        """Yield a line for each added, removed or changed item."""
        for name in self.added:
            yield f"  + {name}"
        for name in self.removed:
            yield f"  - {name}: its state is discarded"
        for name, fields in self.changed.items():
            state = "is reset" if name in self.state_reset else "is kept"
            yield f"  ~ {name}: {fields}; its state {state}"


def compare_configs(
    old: EffectiveConfig, new: EffectiveConfig, max_lines: int, restart_only: Sequence[str]
) -> Iterator[str]:
    """Yield a line for each effect of replacing `old` by `new`.

    Args:
        old: The configuration in force.
        new: The configuration that replaces it.
        max_lines: Maximum number of lines for the request classes and for the tenants, without the summary.
        restart_only: Paths of the settings that differ and can only be changed by a restart.
    """
    old_version = initial_version(old.config.settings)
    new_version = run_to_completion(next_version(old_version, new.config.settings))
    old_settings = dict(old.document["settings"])
    new_settings = dict(new.document["settings"])
    for title, key, ids in (
        ("request classes", CLASSES_KEY, _class_ids),
        ("tenants", TENANTS_KEY, _tenant_ids),
    ):
        item_changes = _compare_items(
            old_settings.pop(key), new_settings.pop(key), ids(old_version), ids(new_version)
        )
        yield item_changes.summary(title)
        yield from _truncated(list(item_changes.details()), max_lines)
    yield from _section("other settings, applied immediately", _changed_fields(old_settings, new_settings))
    for title, paths in (
        ("applied immediately", APPLIED_IMMEDIATELY),
        ("applied at the next start only", APPLIED_AT_START),
    ):
        changes = _changed_fields(_select(old.document, paths), _select(new.document, paths))
        yield from _section(title, changes)
    if restart_only:
        reason = "rejected by a gateway running with OLD; these settings need a restart"
        yield f"{reason}: {', '.join(restart_only)}"


def _compare_items(
    old_items: Sequence[JsonObject],
    new_items: Sequence[JsonObject],
    old_ids: Mapping[str, int],
    new_ids: Mapping[str, int],
) -> ItemChanges:
    old_by_name = {item["name"]: item for item in old_items}
    new_by_name = {item["name"]: item for item in new_items}
    added = tuple(name for name in new_by_name if name not in old_by_name)
    removed = tuple(name for name in old_by_name if name not in new_by_name)
    in_both = [name for name in new_by_name if name in old_by_name]
    changed = {
        name: ", ".join(_changed_fields(old_by_name[name], new_by_name[name]))
        for name in in_both
        if old_by_name[name] != new_by_name[name]
    }
    return ItemChanges(
        added=added,
        removed=removed,
        changed=changed,
        unchanged_count=len(in_both) - len(changed),
        state_reset=frozenset(name for name in in_both if old_ids.get(name) != new_ids.get(name)),
    )


def _class_ids(version: SettingsVersion) -> dict[str, int]:
    names = [each.name for each in version.settings.classes]
    return dict(zip(names, version.class_ids, strict=True))


def _tenant_ids(version: SettingsVersion) -> dict[str, int]:
    names = [each.name for each in version.settings.tenants]
    return dict(zip(names, version.tenant_ids, strict=False))  # there is one id even without tenants


def _changed_fields(old: JsonObject, new: JsonObject, path: str = "") -> Iterator[str]:
    """Yield the path of each field that differs, with both values."""
    for key in new:
        field_path = f"{path}.{key}" if path else key
        if isinstance(old[key], dict) and isinstance(new[key], dict):
            yield from _changed_fields(old[key], new[key], field_path)
        elif old[key] != new[key]:
            yield f"{field_path} {_to_json(old[key])} -> {_to_json(new[key])}"


def _to_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _select(document: JsonObject, paths: Iterable[str]) -> JsonObject:
    return {path: reduce(getitem, path.split("."), document) for path in paths}


def _truncated(lines: Sequence[str], max_lines: int) -> Iterator[str]:
    yield from lines[:max_lines]
    omitted_count = len(lines) - max_lines
    if omitted_count > 0:
        yield f"  ... and {omitted_count} more (--all lists them)"


def _section(title: str, changes: Iterable[str]) -> Iterator[str]:
    """Yield a title and a line for each change, or nothing if there are none."""
    lines = [f"  ~ {change}" for change in changes]
    if lines:
        yield f"{title}:"
        yield from lines
