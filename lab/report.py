"""What a scale run found: its result and its table."""

from __future__ import annotations

import platform
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import psutil

from lab import fit
from lab.child import Hist
from lab.processes import Child
from lab.statements import SIDES
from lab.tables import table

if TYPE_CHECKING:
    from lab.scale import Run

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


def slopes(points: dict[str, list[dict[str, Any]]]) -> dict[str, Any]:
    """By what is counted and what is measured, a line through the sizes that were played whole."""
    found: dict[str, Any] = {}
    for kind, all_points in points.items():
        whole = [point for point in all_points if not point.get("over_bound") and not point.get("over_time")]
        found[kind] = {
            what: fit.line([point["size"] for point in whole], [point[what] for point in whole])
            for what in UNITS
            if all_points and any(what in point for point in whole)
        }
    return found


def rates(scenarios: dict[str, Any], names: list[str]) -> float:
    """Processor seconds a second of some processes over all scenarios."""
    took = sum(s["after"].at - s["before"].at for s in scenarios.values())
    spent = sum(s["after"].cpu_s[n] - s["before"].cpu_s[n] for s in scenarios.values() for n in names)
    return float(spent / took) if took else 0.0


def roles(run: Run, scenarios: dict[str, Any]) -> dict[str, Any]:
    """What each role took, over all scenarios; of gateways, each one's part."""
    took = sum(s["after"].at - s["before"].at for s in scenarios.values()) or 1.0

    def told(where: str, side: str, what: str) -> float:
        return float(
            sum(
                getattr(s["after"], where)[side][what] - getattr(s["before"], where)[side][what]
                for s in scenarios.values()
            )
        )

    def asked(side: str, what: str) -> float:
        sides = [s["sides"][side] for s in scenarios.values() if s["sides"]]
        return float(sum(t["bytes"] if what == "bytes" else sum(t["counts"].values()) for t in sides))

    def role(children: list[Child], count: int, bytes_: float, messages: float) -> dict[str, Any]:
        return {
            "count": count,
            "processes": len(children),
            "resident_mb": sum(child.resident() for child in children) / count / 1e6,
            "cpu_s_per_s": rates(scenarios, [child.name for child in children]) / count,
            "busiest_cpu_s_per_s": max(rates(scenarios, [child.name]) for child in children),
            "bytes_per_s": bytes_ / took / count,
            "messages_per_s": messages / took / count,
        }

    listed = {
        what: {side: told("registry", side, what) for side in ("real", "hollow")}
        for what in ("bytes", "messages")
    }
    served = {
        what: {side: told("statements", side, what) for side in SIDES} for what in ("bytes", "requests")
    }
    sent = {what: {side: asked(side, what) for side in SIDES} for what in ("bytes", "requests")}
    found = {
        "registry": role([run.registry], 1, sum(listed["bytes"].values()), sum(listed["messages"].values())),
        "statements": role(
            [run.statements], 1, sum(served["bytes"].values()), sum(served["requests"].values())
        ),
        "clients": role([run.clients], 1, sum(sent["bytes"].values()), sum(sent["requests"].values())),
    }
    if run.reals:
        found["gateway"] = role(
            [gateway.child for gateway in run.reals],
            len(run.reals),
            listed["bytes"]["real"] + served["bytes"]["gateway"] + sent["bytes"]["gateway"],
            listed["messages"]["real"] + served["requests"]["gateway"] + sent["requests"]["gateway"],
        )
        found["gateway"]["ready_s"] = max(gateway.ready_s for gateway in run.reals)
        found["gateway"]["start_cpu_s"] = max(gateway.start_cpu_s for gateway in run.reals)
        found["gateway"]["in_force"] = joined([s["probes"]["hist"] for s in calm(scenarios)]).summary()
        found["gateway"]["not_in_force"] = sum(s["probes"]["standing"] for s in scenarios.values())
        found["gateway"]["added"] = added([s["sides"] for s in scenarios.values()])
    if run.hollows:
        gateways = run.plan.hollow
        found["hollow"] = role(run.hollows, gateways, listed["bytes"]["hollow"], listed["messages"]["hollow"])
        found["hollow"]["resident_mb"] -= run.hollow_base / gateways / 1e6
        found["hollow"]["in_force"] = joined([s["force"]["hollow"] for s in calm(scenarios)]).summary()
        stats = [s["after"].hollow for s in scenarios.values()][-1]
        found["hollow"]["list_read"] = joined([Hist(told["list"]) for told in stats]).summary()
        ready = joined([Hist(told["ready"]) for told in stats])
        found["hollow"]["ready_s"] = ready.at(99) / 1e3
        counts = {what: sum(told["counts"][what] for told in stats) for what in stats[0]["counts"]}
        spent_ns = sum(told["spent_ns"] for told in stats)
        found["hollow"]["requests"] = {**counts, "request_us": spent_ns / 1e3 / max(1, counts["asked"])}
    return found


def calm(scenarios: dict[str, Any]) -> list[Any]:
    """Those in which discovery is up throughout, if there are any: an outage would be most of every p99."""
    return [s for name, s in scenarios.items() if name != "outage"] or list(scenarios.values())


def joined(hists: list[Hist]) -> Hist:
    total = Hist()
    for hist in hists:
        total.join(hist)
    return total


def added(sides: list[Any]) -> dict[str, Any] | None:
    """Through gateways against straight, in milliseconds."""
    hists = {side: joined([Hist(told[side]["latency"]) for told in sides if told]) for side in SIDES}
    counts: dict[str, dict[str, int]] = {side: {} for side in SIDES}
    for told in sides:
        for side in SIDES if told else ():
            for what, count in told[side]["counts"].items():
                counts[side][what] = counts[side].get(what, 0) + count
    found: dict[str, Any] = {
        side: {**(hists[side].summary() or {}), "answers": counts[side]} for side in SIDES
    }
    if not all(hists[side].count for side in SIDES):
        return found
    for percent in (50, 99):
        found[f"p{percent}_ms"] = hists["gateway"].at(percent) - hists["direct"].at(percent)
    return found


def check_schedule(run: Run) -> dict[str, Any]:
    late = {who: hist.summary() for who, hist in run.late.items()}
    for who, summary in late.items():
        if summary is not None and summary["p99_ms"] > run.plan.late_ms:
            run.why.append(f"{who} were late by {summary['p99_ms']:.1f} ms at p99")
    return {"kept": not run.why, "why": run.why, "late": late, "bound_ms": run.plan.late_ms}


def result(
    run: Run, points: dict[str, list[dict[str, Any]]], scenarios: dict[str, Any], took_s: float
) -> dict[str, Any]:
    kept = check_schedule(run)
    bad = sum(side["bad"] for s in list(scenarios.values())[-1:] for side in s["after"].statements.values())
    if bad:
        run.broken.append(f"{bad} requests at the stand-ins were none of PROTOCOL's")
    figures = {
        "roles": roles(run, scenarios) if scenarios else {},
        "scenarios": {
            name: {
                "changes": s["changes"],
                "machine_cpu_share": s["machine_cpu_share"],
                "hollow_in_force": s["force"]["hollow"].summary(),
                "hollow_skipped": s["force"]["skipped"],
                "gateway_in_force": s["probes"]["hist"].summary(),
                "gateway_not_in_force": s["probes"]["standing"],
                "probes": s["probes"]["probes"],
                "added": added([s["sides"]]),
            }
            for name, s in scenarios.items()
        },
        "points": points,
        "slopes": slopes(points),
    }
    return {
        "plan": asdict(run.plan),
        "machine": {
            "cores": psutil.cpu_count(),
            "memory_mb": int(psutil.virtual_memory().total / 1e6),
            "python": platform.python_version(),
        },
        "took_s": took_s,
        "schedule": kept,
        "over_bound": run.over,
        "broken": run.broken,
        "memory_most_mb": run.children.most_bytes / 1e6,
        "figures" if kept["kept"] else "void": figures,
    }


ROLE_COLUMNS = (
    "role", "count", "MB", "cpu s/s", "kB/s", "messages/s", "in force ms p50", "p99", "most", "ready s",
    "added ms p50", "p99",
)  # fmt: skip
SCENARIO_COLUMNS = (
    "scenario", "changes", "hollow in force ms p50", "p99", "most", "gateway in force ms p50", "p99", "most",
    "not within 3 s", "added ms p50", "p99",
)  # fmt: skip
SLOPE_COLUMNS = ("of", "by one of", "slope", "unit", "at zero", "residual/rise", "sizes")


def number(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def report(found: dict[str, Any]) -> str:
    """The table: a line a role, then a line a slope. An overloaded rig has no figures, only the reasons."""
    notes = [
        *(f"over the bound: {name}" for name in found["over_bound"]),
        *(f"broken: {what}" for what in found["broken"]),
        *(f"the schedule was not kept: {why}" for why in found["schedule"]["why"]),
    ]
    figures = found.get("figures")
    if figures is None:
        return "\n".join([*notes, "no figures: they are those of an overloaded rig"])
    busiest = {name: role["busiest_cpu_s_per_s"] for name, role in figures["roles"].items()}
    notes += [f"{name}: one took {busy:.2f} of a core" for name, busy in busiest.items() if busy > FULL_CORE]
    rows = []
    for name, role in figures["roles"].items():
        force, straight = role.get("in_force") or {}, role.get("added") or {}
        cells = [
            role["resident_mb"], role["cpu_s_per_s"], role["bytes_per_s"] / 1e3, role["messages_per_s"],
            force.get("p50_ms"), force.get("p99_ms"), force.get("most_ms"), role.get("ready_s"),
            straight.get("p50_ms"), straight.get("p99_ms"),
        ]  # fmt: skip
        rows.append([name, str(role["count"]), *map(number, cells)])
    lines = []
    for kind, by in figures["slopes"].items():
        over = sum(bool(p.get("over_bound") or p.get("over_time")) for p in figures["points"][kind])
        if not by:
            lines.append(["all", f"{kind}: no size ended whole"])
        for what, line in by.items():
            title, factor, unit = UNITS[what]
            if line is None:
                lines.append([title, f"{kind}: too few sizes ended whole"])
                continue
            share, played = number(line["residual_share"]), str(len(line["sizes"]))
            slope, at_zero = number(line["slope"] * factor), number(line["at_zero"] * factor)
            lines.append(
                [title, kind, slope, unit, at_zero, share, played + (f", {over} over" if over else "")]
            )
    days = []
    for name, day in figures["scenarios"].items():
        cells = [
            (day[key] or {}).get(what)
            for key in ("hollow_in_force", "gateway_in_force")
            for what in ("p50_ms", "p99_ms", "most_ms")
        ]
        straight = day["added"] or {}
        cells += [day["gateway_not_in_force"], straight.get("p50_ms"), straight.get("p99_ms")]
        days.append([name, str(day["changes"]), *map(number, cells)])
    tables = (table(ROLE_COLUMNS, rows), table(SCENARIO_COLUMNS, days), table(SLOPE_COLUMNS, lines))
    return "\n".join(["\n\n".join(tables), *notes])
