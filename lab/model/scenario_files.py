"""Finds, reads and checks scenario files in TOML; errors name the key."""

from __future__ import annotations

import math
import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from lab.model.errors import ScenarioError
from lab.model.scenario import (
    FAULTS,
    ClientTerms,
    Congestion,
    DiscoveryTerms,
    Effect,
    Fault,
    Fleet,
    MachineType,
    NetworkTerms,
    Objective,
    Partition,
    Scenario,
    Section,
    TenantBurst,
    Traffic,
    TrafficClass,
    TrafficTenant,
    WarmUp,
    ZoneLoss,
)
from load_balancer.decisions.settings import DeduplicationScope

FOLDER = Path(__file__).parent.parent / "scenarios"
MIN_SECONDS = 10.0
SHARES_TOLERANCE = 0.005  # allows for shares that are rounded in the file
SECTIONS: dict[str, type[Section]] = {
    "": Scenario,
    "fleet": Fleet,
    "fleet.machines": MachineType,
    "fleet.choke": Congestion,
    "fleet.cold": WarmUp,
    "traffic": Traffic,
    "traffic.classes": TrafficClass,
    "traffic.tenants": TrafficTenant,
    "network": NetworkTerms,
    "discovery": DiscoveryTerms,
    "clients": ClientTerms,
    "goal": Objective,
}
FAULT_KINDS = {str(fault.__struct_config__.tag): fault for fault in FAULTS}


def find(name: str) -> Path:
    """Return the path that `name` is, or that of the file of this name in lab/scenarios."""
    path = Path(name)
    return path if path.suffix or path.exists() else FOLDER / f"{name}.toml"


def load(path: Path) -> Scenario:
    """Read and check a scenario file.

    Raises:
        ScenarioError: The file cannot be read or is not a valid scenario.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except UnicodeDecodeError:
        raise ScenarioError(f"{path.name}: expected UTF-8") from None
    except OSError as error:
        raise ScenarioError(f"{path.name}: cannot be read: {error.strerror}") from None
    return parse(text, path.name)


def parse(text: str, name: str) -> Scenario:
    """Return the scenario in a TOML text.

    Args:
        text: Content of the file.
        name: Name of the file, for errors.

    Raises:
        ScenarioError: The text is not a valid scenario; names the file, the key's path and what was expected.
    """
    try:
        raw = tomllib.loads(text)
        _check_finite(raw, "")
        scenario = msgspec.convert(raw, Scenario)
        _check(scenario)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: expected TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{name}: {_describe(raw, error)}") from None
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from None
    return scenario


def _expected_keys(raw: dict[str, Any], path: str) -> list[str]:
    """Return the keys that the section at a path may have."""
    section = SECTIONS.get(re.sub(r"\[\d+\]", "", path))
    if section_match := re.fullmatch(r"troubles\[(\d+)\]", path):
        section = FAULT_KINDS.get(raw["troubles"][int(section_match[1])].get("kind"))
    return [f.encode_name for f in msgspec.structs.fields(section)] if section else []


def _describe(raw: dict[str, Any], error: msgspec.ValidationError) -> str:
    """Return the path of a key and what was expected there, from msgspec's error."""
    reason, _, path = str(error).partition(" - at `")
    path = path.rstrip("`").removeprefix("$").removeprefix(".").replace("[...]", "")
    name = re.search("`(.*?)`", reason)
    separator = "." if path else ""
    if "missing required field" in reason and name:
        return f"{path}{separator}{name[1]}: expected a value, but there is none"
    if "unknown field" in reason and name:
        return f"{path}{separator}{name[1]}: expected one of the keys {', '.join(_expected_keys(raw, path))}"
    if path.endswith(".kind"):
        return f"{path}: expected one of {', '.join(FAULT_KINDS)}"
    if path.endswith((".effect", ".scope")):
        values = Effect if path.endswith(".effect") else DeduplicationScope
        return f"{path}: expected one of {', '.join(v.value for v in values)}"
    return f"{path or 'the file'}: {reason[:1].lower()}{reason[1:]}".replace("`", "")


def _check_finite(value: Any, path: str) -> None:
    """Raise a ScenarioError if a number at or below a path is infinite or not a number."""
    if isinstance(value, dict):
        for key, inner in value.items():
            _check_finite(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            _check_finite(inner, f"{path}[{index}]")
    elif isinstance(value, float) and not math.isfinite(value):
        raise ScenarioError(f"{path}: expected a finite number, got {value}")


def _check_pairs(value: Any, path: str) -> None:
    """Raise a ScenarioError if a pair [least, most] at or below a path is in the wrong order."""
    if isinstance(value, msgspec.Struct):
        for name, key in zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True):
            _check_pairs(getattr(value, name), f"{path}.{key}" if path else key)
    elif isinstance(value, tuple):
        if len(value) == 2 and all(isinstance(v, float | int) for v in value):
            if value[0] > value[1]:
                raise ScenarioError(f"{path}: expected [least, most], got {list(value)}")
        else:
            for index, inner in enumerate(value):
                _check_pairs(inner, f"{path}[{index}]")


def _check(scenario: Scenario) -> None:
    """Raise a ScenarioError for values that contradict each other."""
    _check_pairs(scenario, "")
    sections: tuple[tuple[str, tuple[MachineType | TrafficClass | TrafficTenant, ...]], ...] = (
        ("fleet.machines", scenario.fleet.machines),
        ("traffic.classes", scenario.traffic.classes),
        ("traffic.tenants", scenario.traffic.tenants),
    )
    for path, items in sections:
        if abs(sum(item.share for item in items) - 1.0) > SHARES_TOLERANCE:
            raise ScenarioError(f"{path}: expected shares that add up to 1")
    if len(set(scenario.zones)) != len(scenario.zones) or not scenario.zones:
        raise ScenarioError("fleet.regions: expected at least one zone, and each name once")
    if scenario.seconds < MIN_SECONDS:
        raise ScenarioError(f"seconds: expected at least {MIN_SECONDS:g}, got {scenario.seconds}")
    for index, fault in enumerate(scenario.faults):
        _check_fault(scenario, fault, f"troubles[{index}]")


def _check_fault(scenario: Scenario, fault: Fault, path: str) -> None:
    """Raise a ScenarioError if a fault begins too late or names an unknown zone, tenant or region."""
    if fault.start_s >= scenario.seconds:
        expected = f"expected less than seconds, {scenario.seconds}, got {fault.start_s}"
        raise ScenarioError(f"{path}.at_s: {expected}")
    match fault:
        case ZoneLoss() if fault.zone not in scenario.zones:
            raise ScenarioError(f"{path}.zone: expected one of {', '.join(scenario.zones)}")
        case TenantBurst():
            tenants = [tenant.name for tenant in scenario.traffic.tenants]
            if fault.tenant not in tenants:
                raise ScenarioError(f"{path}.tenant: expected one of {', '.join(tenants)}")
        case Partition() if not set(fault.regions) <= set(scenario.fleet.regions):
            raise ScenarioError(f"{path}.regions: expected some of {', '.join(scenario.fleet.regions)}")
