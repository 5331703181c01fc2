"""Computes the figures of a scale run that are stored in result.json."""

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

# A process that uses more of a core than this may fall behind its schedule.
SATURATED_CPU_SHARE = 0.9
# Title, factor and unit of each figure in the table of slopes; a stored figure times the factor has the unit.
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

Scenarios = dict[str, ScenarioRecord]  # by name, in the order in which they were played
LatencySummary = dict[str, float] | None  # summary of a histogram; None if it is empty


class Traffic(msgspec.Struct, frozen=True):
    """Bytes and messages between two roles.

    Of the traffic with discovery only what discovery sends is counted. A request and its answer are one
    message, with the bytes of both.
    """

    bytes: float
    messages: float


class Role(msgspec.Struct, kw_only=True):
    """The resources that one role used over all scenarios; for gateways, the mean of one gateway.

    Attributes:
        count: Members of the role.
        processes: Processes of the role; one process runs many simulated gateways.
        resident_mb: Resident memory per member.
        cpu_s_per_s: CPU seconds per second and member.
        busiest_cpu_s_per_s: CPU seconds per second of the busiest process.
        bytes_per_s: Bytes sent and received per second and member, as counted in `Traffic`.
        messages_per_s: Requests, and lists and changes from discovery, per second and member.
        ready_s: Time from start to ready: the longest of real gateways, p99 of simulated ones.
        start_cpu_s: Most CPU seconds that a gateway used until it was ready.
        in_force: Time until changes at discovery were in force. At real gateways this is the time until idle
            connections to a leaving endpoint were closed.
        not_in_force: Idle connections that were not closed in time after their endpoint began to leave.
        added: Latency with and without the gateways, and the latency that they add.
        list_read: Time to process an endpoint list.
        requests: Counts of simulated requests, and the time for each.
    """

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
    """Fit a line for each kind of size and each metric, through the sizes that stayed within the bounds."""
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
    """Return the CPU seconds per second that the named processes used over all scenarios."""
    process_names = list(names)
    took_s = sum(scenario.took_s for scenario in scenarios.values())
    spent_s = sum(
        scenario.after.cpu_s[name] - scenario.before.cpu_s[name]
        for scenario in scenarios.values()
        for name in process_names
    )
    return spent_s / took_s if took_s else 0.0


def total_traffic(scenarios: Scenarios, scenario_traffic: Callable[[ScenarioRecord], Traffic]) -> Traffic:
    """Return the sum of the traffic in all scenarios."""
    traffics = [scenario_traffic(scenario) for scenario in scenarios.values()]
    return Traffic(sum(traffic.bytes for traffic in traffics), sum(traffic.messages for traffic in traffics))


def discovery_traffic(scenarios: Scenarios, gateway_kind: str) -> Traffic:
    """Return the traffic from discovery to one kind of gateway."""

    def scenario_traffic(scenario: ScenarioRecord) -> Traffic:
        before, after = scenario.before.registry[gateway_kind], scenario.after.registry[gateway_kind]
        return Traffic(after.bytes - before.bytes, after.messages - before.messages)

    return total_traffic(scenarios, scenario_traffic)


def endpoint_traffic(scenarios: Scenarios, target: str) -> Traffic:
    """Return the traffic between endpoints and those that send to them: gateways, or clients directly."""

    def scenario_traffic(scenario: ScenarioRecord) -> Traffic:
        before, after = scenario.before.statements[target], scenario.after.statements[target]
        return Traffic(after.bytes - before.bytes, after.requests - before.requests)

    return total_traffic(scenarios, scenario_traffic)


def client_traffic(scenarios: Scenarios, target: str) -> Traffic:
    """Return the traffic between the clients and a target; requests of the warm-up count in bytes only."""

    def scenario_traffic(scenario: ScenarioRecord) -> Traffic:
        if not scenario.targets:
            return Traffic(0, 0)
        result = scenario.targets[target]
        return Traffic(result.bytes, sum(result.counts.values()))

    return total_traffic(scenarios, scenario_traffic)


def make_role(scenarios: Scenarios, children: Sequence[Child], count: int, *traffics: Traffic) -> Role:
    """Return a role with the figures that all roles have, divided by `count`."""
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
    """Return the roles of the run by name."""
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
    """Return the role of the real gateways."""
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
    """Return the role of the simulated gateways."""
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
    """Return the scenarios without an outage of discovery, or all if there are no others.

    The duration of an outage would dominate the p99 until changes are in force.
    """
    return [scenario for name, scenario in scenarios.items() if name != "outage"] or list(scenarios.values())


def merge_histograms(histograms: Iterable[Histogram]) -> Histogram:
    """Return one histogram with the durations of all."""
    total = Histogram()
    for histogram in histograms:
        total.merge(histogram)
    return total


def added_latency(results: Sequence[dict[str, TargetResult]]) -> dict[str, Any] | None:
    """Return the latency through gateways and without them, and the difference, in milliseconds."""
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
    """Return whether the run kept its schedule; processes that were too late are added to the problems."""
    late = {process: histogram.summary() for process, histogram in problems.late.items()}
    for process, summary in late.items():
        if summary is not None and summary["p99_ms"] > late_ms:
            problems.schedule.append(f"{process} were behind schedule by {summary['p99_ms']:.1f} ms at p99")
    return {"kept": not problems.schedule, "why": problems.schedule, "late": late, "bound_ms": late_ms}


def machine_info() -> dict[str, Any]:
    """Describe the machine of the run."""
    return {
        "cores": psutil.cpu_count(),
        "memory_mb": int(psutil.virtual_memory().total / 1e6),
        "python": platform.python_version(),
    }


def scenario_figures(scenario: ScenarioRecord) -> dict[str, Any]:
    """Return the figures of one scenario."""
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
    """Return the result of a run; its figures are stored as "void" if the schedule was not kept."""
    schedule = check_schedule(rig.problems, rig.plan.late_ms)
    last = list(scenarios.values())[-1:]
    bad = sum(counters.bad for scenario in last for counters in scenario.after.statements.values())
    if bad:
        rig.problems.broken.append(f"{bad} requests at the stand-ins did not follow the protocol")
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
