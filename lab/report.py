"""What a scale run found: its tables."""

from __future__ import annotations

from typing import Any

from lab.figures import FULL_CORE, UNITS
from lab.tables import table

ROLE_COLUMNS = (
    "role", "count", "MB", "cpu s/s", "kB/s", "messages/s", "in force ms p50", "p99", "most", "ready s",
    "added ms p50", "p99",
)  # fmt: skip
SCENARIO_COLUMNS = (
    "scenario", "changes", "hollow in force ms p50", "p99", "most", "gateway in force ms p50", "p99", "most",
    "not within 3 s", "added ms p50", "p99",
)  # fmt: skip
NO_FIGURES = "no figures: they are those of an overloaded rig"
SLOPE_COLUMNS = ("of", "by one of", "slope", "unit", "at zero", "residual/rise", "sizes")


def number(value: float | None) -> str:
    """Three digits, or whole; "-" for none."""
    if value is None:
        return "-"
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def problem_notes(found: dict[str, Any]) -> list[str]:
    """A line for each thing that speaks against the figures."""
    return [
        *(f"over the bound: {name}" for name in found["over_bound"]),
        *(f"broken: {what}" for what in found["broken"]),
        *(f"the schedule was not kept: {why}" for why in found["schedule"]["why"]),
    ]


def report(found: dict[str, Any]) -> str:
    """The tables: a line a role, a scenario, a slope. An overloaded rig has no figures, only the reasons."""
    notes = problem_notes(found)
    figures = found.get("figures")
    if figures is None:
        return "\n".join([*notes, NO_FIGURES])
    busiest = {name: role["busiest_cpu_s_per_s"] for name, role in figures["roles"].items()}
    notes += [f"{name}: one took {busy:.2f} of a core" for name, busy in busiest.items() if busy > FULL_CORE]
    tables = (
        table(ROLE_COLUMNS, [role_row(name, role) for name, role in figures["roles"].items()]),
        table(SCENARIO_COLUMNS, [scenario_row(name, day) for name, day in figures["scenarios"].items()]),
        table(SLOPE_COLUMNS, slope_rows(figures)),
    )
    return "\n".join(["\n\n".join(tables), *notes])


def role_row(name: str, role: dict[str, Any]) -> list[str]:
    """A line on a role."""
    force, straight = role.get("in_force") or {}, role.get("added") or {}
    cells = [
        role["resident_mb"],
        role["cpu_s_per_s"],
        role["bytes_per_s"] / 1e3,
        role["messages_per_s"],
        force.get("p50_ms"),
        force.get("p99_ms"),
        force.get("most_ms"),
        role.get("ready_s"),
        straight.get("p50_ms"),
        straight.get("p99_ms"),
    ]
    return [name, str(role["count"]), *map(number, cells)]


def scenario_row(name: str, scenario: dict[str, Any]) -> list[str]:
    """A line on a scenario."""
    cells = [
        (scenario[key] or {}).get(what)
        for key in ("hollow_in_force", "gateway_in_force")
        for what in ("p50_ms", "p99_ms", "most_ms")
    ]
    straight = scenario["added"] or {}
    cells += [scenario["gateway_not_in_force"], straight.get("p50_ms"), straight.get("p99_ms")]
    return [name, str(scenario["changes"]), *map(number, cells)]


def slope_rows(figures: dict[str, Any]) -> list[list[str]]:
    """A line on each slope."""
    rows = []
    for kind, lines in figures["slopes"].items():
        over = sum(bool(p.get("over_bound") or p.get("over_time")) for p in figures["points"][kind])
        if not lines:
            rows.append(["all", f"{kind}: no size ended whole"])
        for what, line in lines.items():
            title, factor, unit = UNITS[what]
            if line is None:
                rows.append([title, f"{kind}: too few sizes ended whole"])
                continue
            share, played = number(line["residual_share"]), str(len(line["sizes"]))
            slope, at_zero = number(line["slope"] * factor), number(line["at_zero"] * factor)
            played += f", {over} over" if over else ""
            rows.append([title, kind, slope, unit, at_zero, share, played])
    return rows
