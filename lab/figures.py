"""The figures of a scale run, as result.json holds them."""

from __future__ import annotations

import platform
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
import psutil
from msgspec import UNSET, UnsetType

from lab import fit
from lab.child import Histogram
from lab.messages import TargetResult
from lab.processes import Child
from lab.records import Point, Problems, ScenarioRecord
from lab.rig import Rig
from lab.statements import TARGETS

FULL_CORE = 0.9  # of one process: it may no longer do everything when it is due
UNITS = {
    "resident_bytes": ("resident memory", 1e-3, "kB"),
    "ready_s": ("start to ready", 1e3, "ms"),
    "start_cpu_s": ("processor at start", 1e3, "ms"),
    "settings_bytes": ("settings", 1.0, "B"),
    "list_bytes": ("list", 1.0, "B"),
    "request_cpu_s": ("processor a request", 1e6, "us"),
    "registry_cpu_s_per_s": ("discovery's processor", 1e6, "us/s"),
    "registry_bytes_per_s": ("discovery's bytes", 1.0, "B/s"),
    "registry_messages_per_s": ("discovery's messages", 1.0, "/s"),
    "hollow_bytes": ("hollow's memory", 1e-3, "kB"),
    "hollow_cpu_s_per_s": ("hollow's processor", 1e6, "us/s"),
}

Scenarios = dict[str, ScenarioRecord]
Summary = dict[str, float] | None  # of a histogram


class Traffic(msgspec.Struct, frozen=True):
    """What a role has sent and received."""

    bytes: float
    messages: float


class Role(msgspec.Struct, kw_only=True):
    """What one role took, over all scenarios; of gateways, each one's part."""

    count: int
    processes: int
    resident_mb: float
    cpu_s_per_s: float
    busiest_cpu_s_per_s: float
    bytes_per_s: float
    messages_per_s: float
    ready_s: float | UnsetType = UNSET
    start_cpu_s: float | UnsetType = UNSET
    in_force: Summary | UnsetType = UNSET
    not_in_force: int | UnsetType = UNSET
    added: dict[str, Any] | None | UnsetType = UNSET
    list_read: Summary | UnsetType = UNSET
    requests: dict[str, float] | UnsetType = UNSET


def slopes(points: dict[str, list[Point]]) -> dict[str, Any]:
    """By what is counted and what is measured, a line through the sizes that were played whole."""
    found: dict[str, Any] = {}
    for kind, all_points in points.items():
        whole = [point for point in all_points if not point.get("over_bound") and not point.get("over_time")]
        found[kind] = {
            what: fit.fit_line([point["size"] for point in whole], [point[what] for point in whole])
            for what in UNITS
            if all_points and any(what in point for point in whole)
        }
    return found


def busy_share(scenarios: Scenarios, names: Iterable[str]) -> float:
    """Processor seconds a second of some processes over all scenarios."""
    wanted = list(names)
    took_s = sum(s.took_s for s in scenarios.values())
    spent_s = sum(s.after.cpu_s[n] - s.before.cpu_s[n] for s in scenarios.values() for n in wanted)
    return spent_s / took_s if took_s else 0.0


def total_traffic(scenarios: Scenarios, count: Callable[[ScenarioRecord], Traffic]) -> Traffic:
    """Of all scenarios together."""
    counted = [count(scenario) for scenario in scenarios.values()]
    return Traffic(sum(t.bytes for t in counted), sum(t.messages for t in counted))


def discovery_traffic(scenarios: Scenarios, gateway_kind: str) -> Traffic:
    """Between discovery and one kind of gateways."""

    def count(scenario: ScenarioRecord) -> Traffic:
        before, after = scenario.before.registry[gateway_kind], scenario.after.registry[gateway_kind]
        return Traffic(after.bytes - before.bytes, after.messages - before.messages)

    return total_traffic(scenarios, count)


def statement_traffic(scenarios: Scenarios, target: str) -> Traffic:
    """Between the statement servers and what comes from a target."""

    def count(scenario: ScenarioRecord) -> Traffic:
        before, after = scenario.before.statements[target], scenario.after.statements[target]
        return Traffic(after.bytes - before.bytes, after.requests - before.requests)

    return total_traffic(scenarios, count)


def client_traffic(scenarios: Scenarios, target: str) -> Traffic:
    """Between the clients and a target."""

    def count(scenario: ScenarioRecord) -> Traffic:
        if not scenario.targets:
            return Traffic(0, 0)
        result = scenario.targets[target]
        return Traffic(result.bytes, sum(result.counts.values()))

    return total_traffic(scenarios, count)


def make_role(scenarios: Scenarios, children: Sequence[Child], count: int, *traffic: Traffic) -> Role:
    """The figures that all roles have, each one's part of `count`."""
    took_s = sum(s.took_s for s in scenarios.values()) or 1.0
    return Role(
        count=count,
        processes=len(children),
        resident_mb=sum(child.resident_bytes() for child in children) / count / 1e6,
        cpu_s_per_s=busy_share(scenarios, (child.name for child in children)) / count,
        busiest_cpu_s_per_s=max(busy_share(scenarios, [child.name]) for child in children),
        bytes_per_s=sum(t.bytes for t in traffic) / took_s / count,
        messages_per_s=sum(t.messages for t in traffic) / took_s / count,
    )


def make_roles(rig: Rig, scenarios: Scenarios) -> dict[str, Role]:
    """All roles that the run had."""
    listed = {kind: discovery_traffic(scenarios, kind) for kind in ("real", "hollow")}
    served = {target: statement_traffic(scenarios, target) for target in TARGETS}
    sent = {target: client_traffic(scenarios, target) for target in TARGETS}
    roles = {
        "registry": make_role(scenarios, [rig.registry], 1, *listed.values()),
        "statements": make_role(scenarios, [rig.statements], 1, *served.values()),
        "clients": make_role(scenarios, [rig.clients], 1, *sent.values()),
    }
    if rig.real_gateways:
        traffic = (listed["real"], served["gateway"], sent["gateway"])
        roles["gateway"] = real_gateways(rig, scenarios, traffic)
    if rig.simulated_processes:
        roles["hollow"] = simulated_gateways(rig, scenarios, listed["hollow"])
    return roles


def real_gateways(rig: Rig, scenarios: Scenarios, traffic: Iterable[Traffic]) -> Role:
    """The role of the real gateways."""
    children = [gateway.child for gateway in rig.real_gateways]
    role = make_role(scenarios, children, len(rig.real_gateways), *traffic)
    role.ready_s = max(gateway.ready_s for gateway in rig.real_gateways)
    role.start_cpu_s = max(gateway.start_cpu_s for gateway in rig.real_gateways)
    role.in_force = join(s.probes.latency for s in without_outage(scenarios)).summary()
    role.not_in_force = sum(s.probes.unclosed for s in scenarios.values())
    role.added = added([s.targets for s in scenarios.values()])
    return role


def simulated_gateways(rig: Rig, scenarios: Scenarios, traffic: Traffic) -> Role:
    """The role of the simulated gateways."""
    gateways = rig.plan.simulated
    role = make_role(scenarios, rig.simulated_processes, gateways, traffic)
    role.resident_mb -= rig.simulated_base_bytes / gateways / 1e6
    role.in_force = join(s.in_force.latency for s in without_outage(scenarios)).summary()
    stats = [s.after.pool_stats for s in scenarios.values()][-1]
    role.list_read = join(Histogram(one.list_read) for one in stats).summary()
    role.ready_s = join(Histogram(one.ready) for one in stats).percentile_ms(99) / 1e3
    counts = {what: sum(one.counts[what] for one in stats) for what in stats[0].counts}
    spent_ns = sum(one.spent_ns for one in stats)
    role.requests = {**counts, "request_us": spent_ns / 1e3 / max(1, counts["asked"])}
    return role


def without_outage(scenarios: Scenarios) -> list[ScenarioRecord]:
    """Those in which discovery is up throughout, if there are any: an outage would be most of every p99."""
    return [s for name, s in scenarios.items() if name != "outage"] or list(scenarios.values())


def join(hists: Iterable[Histogram]) -> Histogram:
    """All in one."""
    total = Histogram()
    for hist in hists:
        total.merge(hist)
    return total


def added(results: Sequence[dict[str, TargetResult]]) -> dict[str, Any] | None:
    """Latency through gateways and straight, and what gateways add, in milliseconds."""
    played = [targets for targets in results if targets]
    hists = {target: join(Histogram(targets[target].latency) for targets in played) for target in TARGETS}
    counts: dict[str, dict[str, int]] = {target: {} for target in TARGETS}
    for targets in played:
        for target in TARGETS:
            for what, count in targets[target].counts.items():
                counts[target][what] = counts[target].get(what, 0) + count
    found: dict[str, Any] = {
        target: {**(hists[target].summary() or {}), "answers": counts[target]} for target in TARGETS
    }
    if not all(hists[target].count for target in TARGETS):
        return found
    for percent in (50, 99):
        found[f"p{percent}_ms"] = hists["gateway"].percentile_ms(percent) - hists["direct"].percentile_ms(
            percent
        )
    return found


def check_schedule(problems: Problems, late_ms: float) -> dict[str, Any]:
    """Whether the run kept its schedule; what was too late is added to the problems."""
    late = {who: hist.summary() for who, hist in problems.late.items()}
    for who, summary in late.items():
        if summary is not None and summary["p99_ms"] > late_ms:
            problems.schedule.append(f"{who} were late by {summary['p99_ms']:.1f} ms at p99")
    return {"kept": not problems.schedule, "why": problems.schedule, "late": late, "bound_ms": late_ms}


def machine() -> dict[str, Any]:
    """Where the run was made."""
    return {
        "cores": psutil.cpu_count(),
        "memory_mb": int(psutil.virtual_memory().total / 1e6),
        "python": platform.python_version(),
    }


def scenario_figures(scenario: ScenarioRecord) -> dict[str, Any]:
    """The figures of one scenario."""
    return {
        "changes": scenario.changes,
        "machine_cpu_share": scenario.machine_cpu_share,
        "hollow_in_force": scenario.in_force.latency.summary(),
        "hollow_skipped": scenario.in_force.skipped,
        "gateway_in_force": scenario.probes.latency.summary(),
        "gateway_not_in_force": scenario.probes.unclosed,
        "probes": scenario.probes.count,
        "added": added([scenario.targets]),
    }


def result(rig: Rig, points: dict[str, list[Point]], scenarios: Scenarios, took_s: float) -> dict[str, Any]:
    """All of a run; its figures are void where the schedule was not kept."""
    schedule = check_schedule(rig.problems, rig.plan.late_ms)
    last = list(scenarios.values())[-1:]
    bad = sum(counters.bad for s in last for counters in s.after.statements.values())
    if bad:
        rig.problems.broken.append(f"{bad} requests at the stand-ins were none of PROTOCOL's")
    roles = make_roles(rig, scenarios) if scenarios else {}
    found = {
        "roles": msgspec.to_builtins(roles),
        "scenarios": {name: scenario_figures(scenario) for name, scenario in scenarios.items()},
        "points": points,
        "slopes": slopes(points),
    }
    return {
        "plan": msgspec.to_builtins(rig.plan),
        "machine": machine(),
        "took_s": took_s,
        "schedule": schedule,
        "over_bound": rig.problems.over_bound,
        "broken": rig.problems.broken,
        "memory_most_mb": rig.children.peak_bytes / 1e6,
        "figures" if schedule["kept"] else "void": found,
    }
