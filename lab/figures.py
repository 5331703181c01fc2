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

SATURATED_CPU_SHARE = 0.9  # of one process: it may no longer do everything when it is due
METRICS = {
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
LatencySummary = dict[str, float] | None  # of a histogram


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
    in_force: LatencySummary | UnsetType = UNSET
    not_in_force: int | UnsetType = UNSET
    added: dict[str, Any] | None | UnsetType = UNSET
    list_read: LatencySummary | UnsetType = UNSET
    requests: dict[str, float] | UnsetType = UNSET


def fit_slopes(points: dict[str, list[Point]]) -> dict[str, Any]:
    """By what is counted and what is measured, a line through the sizes that were played whole."""
    fits: dict[str, Any] = {}
    for kind, all_points in points.items():
        completed = [
            point for point in all_points if not point.get("over_bound") and not point.get("over_time")
        ]
        fits[kind] = {
            metric: fit.fit_line(
                [point["size"] for point in completed], [point[metric] for point in completed]
            )
            for metric in METRICS
            if all_points and any(metric in point for point in completed)
        }
    return fits


def cpu_share(scenarios: Scenarios, names: Iterable[str]) -> float:
    """Processor seconds a second of some processes over all scenarios."""
    process_names = list(names)
    took_s = sum(scenario.took_s for scenario in scenarios.values())
    spent_s = sum(
        scenario.after.cpu_s[name] - scenario.before.cpu_s[name]
        for scenario in scenarios.values()
        for name in process_names
    )
    return spent_s / took_s if took_s else 0.0


def total_traffic(scenarios: Scenarios, scenario_traffic: Callable[[ScenarioRecord], Traffic]) -> Traffic:
    """Of all scenarios together."""
    traffics = [scenario_traffic(scenario) for scenario in scenarios.values()]
    return Traffic(sum(traffic.bytes for traffic in traffics), sum(traffic.messages for traffic in traffics))


def discovery_traffic(scenarios: Scenarios, gateway_kind: str) -> Traffic:
    """Between discovery and one kind of gateways."""

    def scenario_traffic(scenario: ScenarioRecord) -> Traffic:
        before, after = scenario.before.registry[gateway_kind], scenario.after.registry[gateway_kind]
        return Traffic(after.bytes - before.bytes, after.messages - before.messages)

    return total_traffic(scenarios, scenario_traffic)


def endpoint_traffic(scenarios: Scenarios, target: str) -> Traffic:
    """Between the statement servers and what comes from a target."""

    def scenario_traffic(scenario: ScenarioRecord) -> Traffic:
        before, after = scenario.before.statements[target], scenario.after.statements[target]
        return Traffic(after.bytes - before.bytes, after.requests - before.requests)

    return total_traffic(scenarios, scenario_traffic)


def client_traffic(scenarios: Scenarios, target: str) -> Traffic:
    """Between the clients and a target."""

    def scenario_traffic(scenario: ScenarioRecord) -> Traffic:
        if not scenario.targets:
            return Traffic(0, 0)
        result = scenario.targets[target]
        return Traffic(result.bytes, sum(result.counts.values()))

    return total_traffic(scenarios, scenario_traffic)


def make_role(scenarios: Scenarios, children: Sequence[Child], count: int, *traffics: Traffic) -> Role:
    """The figures that all roles have, each one's part of `count`."""
    took_s = sum(scenario.took_s for scenario in scenarios.values()) or 1.0
    return Role(
        count=count,
        processes=len(children),
        resident_mb=sum(child.resident_bytes() for child in children) / count / 1e6,
        cpu_s_per_s=cpu_share(scenarios, (child.name for child in children)) / count,
        busiest_cpu_s_per_s=max(cpu_share(scenarios, [child.name]) for child in children),
        bytes_per_s=sum(traffic.bytes for traffic in traffics) / took_s / count,
        messages_per_s=sum(traffic.messages for traffic in traffics) / took_s / count,
    )


def make_roles(rig: Rig, scenarios: Scenarios) -> dict[str, Role]:
    """All roles that the run had."""
    listed = {kind: discovery_traffic(scenarios, kind) for kind in ("real", "hollow")}
    served = {target: endpoint_traffic(scenarios, target) for target in TARGETS}
    sent = {target: client_traffic(scenarios, target) for target in TARGETS}
    roles = {
        "registry": make_role(scenarios, [rig.registry], 1, *listed.values()),
        "statements": make_role(scenarios, [rig.statements], 1, *served.values()),
        "clients": make_role(scenarios, [rig.clients], 1, *sent.values()),
    }
    if rig.real_gateways:
        traffics = (listed["real"], served["gateway"], sent["gateway"])
        roles["gateway"] = make_real_gateways_role(rig, scenarios, traffics)
    if rig.simulated_processes:
        roles["hollow"] = make_simulated_gateways_role(rig, scenarios, listed["hollow"])
    return roles


def make_real_gateways_role(rig: Rig, scenarios: Scenarios, traffics: Iterable[Traffic]) -> Role:
    """The role of the real gateways."""
    children = [gateway.child for gateway in rig.real_gateways]
    role = make_role(scenarios, children, len(rig.real_gateways), *traffics)
    role.ready_s = max(gateway.ready_s for gateway in rig.real_gateways)
    role.start_cpu_s = max(gateway.start_cpu_s for gateway in rig.real_gateways)
    role.in_force = merge_histograms(
        scenario.probes.latency for scenario in without_outage(scenarios)
    ).summary()
    role.not_in_force = sum(scenario.probes.unclosed for scenario in scenarios.values())
    role.added = added_latency([scenario.targets for scenario in scenarios.values()])
    return role


def make_simulated_gateways_role(rig: Rig, scenarios: Scenarios, traffic: Traffic) -> Role:
    """The role of the simulated gateways."""
    gateways = rig.plan.simulated
    role = make_role(scenarios, rig.simulated_processes, gateways, traffic)
    role.resident_mb -= rig.simulated_base_bytes / gateways / 1e6
    role.in_force = merge_histograms(
        scenario.in_force.latency for scenario in without_outage(scenarios)
    ).summary()
    all_pool_stats = [scenario.after.pool_stats for scenario in scenarios.values()][-1]
    role.list_read = merge_histograms(
        Histogram(pool_stats.list_read) for pool_stats in all_pool_stats
    ).summary()
    role.ready_s = (
        merge_histograms(Histogram(pool_stats.ready) for pool_stats in all_pool_stats).percentile_ms(99) / 1e3
    )
    counts = {
        counter: sum(pool_stats.counts[counter] for pool_stats in all_pool_stats)
        for counter in all_pool_stats[0].counts
    }
    spent_ns = sum(pool_stats.spent_ns for pool_stats in all_pool_stats)
    role.requests = {**counts, "request_us": spent_ns / 1e3 / max(1, counts["asked"])}
    return role


def without_outage(scenarios: Scenarios) -> list[ScenarioRecord]:
    """Those in which discovery is up throughout, if there are any: an outage would be most of every p99."""
    return [scenario for name, scenario in scenarios.items() if name != "outage"] or list(scenarios.values())


def merge_histograms(histograms: Iterable[Histogram]) -> Histogram:
    """All in one."""
    total = Histogram()
    for histogram in histograms:
        total.merge(histogram)
    return total


def added_latency(results: Sequence[dict[str, TargetResult]]) -> dict[str, Any] | None:
    """Latency through gateways and straight, and what gateways add, in milliseconds."""
    played = [targets for targets in results if targets]
    histograms = {
        target: merge_histograms(Histogram(targets[target].latency) for targets in played)
        for target in TARGETS
    }
    counts: dict[str, dict[str, int]] = {target: {} for target in TARGETS}
    for targets in played:
        for target in TARGETS:
            for outcome, count in targets[target].counts.items():
                counts[target][outcome] = counts[target].get(outcome, 0) + count
    latencies: dict[str, Any] = {
        target: {**(histograms[target].summary() or {}), "answers": counts[target]} for target in TARGETS
    }
    if not all(histograms[target].count for target in TARGETS):
        return latencies
    for percent in (50, 99):
        latencies[f"p{percent}_ms"] = histograms["gateway"].percentile_ms(percent) - histograms[
            "direct"
        ].percentile_ms(percent)
    return latencies


def check_schedule(problems: Problems, late_ms: float) -> dict[str, Any]:
    """Whether the run kept its schedule; what was too late is added to the problems."""
    late = {process: histogram.summary() for process, histogram in problems.late.items()}
    for process, summary in late.items():
        if summary is not None and summary["p99_ms"] > late_ms:
            problems.schedule.append(f"{process} were late by {summary['p99_ms']:.1f} ms at p99")
    return {"kept": not problems.schedule, "why": problems.schedule, "late": late, "bound_ms": late_ms}


def machine_info() -> dict[str, Any]:
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
        "added": added_latency([scenario.targets]),
    }


def build_result(
    rig: Rig, points: dict[str, list[Point]], scenarios: Scenarios, took_s: float
) -> dict[str, Any]:
    """All of a run; its figures are void where the schedule was not kept."""
    schedule = check_schedule(rig.problems, rig.plan.late_ms)
    last = list(scenarios.values())[-1:]
    bad = sum(counters.bad for scenario in last for counters in scenario.after.statements.values())
    if bad:
        rig.problems.broken.append(f"{bad} requests at the stand-ins were none of PROTOCOL's")
    roles = make_roles(rig, scenarios) if scenarios else {}
    figures = {
        "roles": msgspec.to_builtins(roles),
        "scenarios": {name: scenario_figures(scenario) for name, scenario in scenarios.items()},
        "points": points,
        "slopes": fit_slopes(points),
    }
    return {
        "plan": msgspec.to_builtins(rig.plan),
        "machine": machine_info(),
        "took_s": took_s,
        "schedule": schedule,
        "over_bound": rig.problems.over_bound,
        "broken": rig.problems.broken,
        "memory_most_mb": rig.children.peak_bytes / 1e6,
        "figures" if schedule["kept"] else "void": figures,
    }
