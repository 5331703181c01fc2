"""The tables of a scale run's result."""

from __future__ import annotations

from typing import Any

from lab.figures import METRICS, SATURATED_CPU_SHARE
from lab.tables import format_table

ROLE_COLUMNS = (
    "role", "count", "MB", "cpu s/s", "kB/s", "messages/s", "in force ms p50", "p99", "most", "ready s",
    "added ms p50", "p99",
)  # fmt: skip
SCENARIO_COLUMNS = (
    "scenario", "changes", "hollow in force ms p50", "p99", "most", "gateway in force ms p50", "p99", "most",
    "not within 3 s", "added ms p50", "p99",
)  # fmt: skip
NO_FIGURES = "no figures: the rig was overloaded"
SLOPE_COLUMNS = ("of", "by one of", "slope", "unit", "at zero", "residual/rise", "sizes")


def format_number(value: float | None) -> str:
    """Format a number with three digits, or as an integer from 1000 on; None becomes "-"."""
    if value is None:
        return "-"
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def problem_notes(result: dict[str, Any]) -> list[str]:
    """Return a line for each exceeded bound, violation and reason why the schedule was not kept."""
    return [
        *(f"over the bound: {name}" for name in result["over_bound"]),
        *(f"broken: {problem}" for problem in result["broken"]),
        *(f"the schedule was not kept: {why}" for why in result["schedule"]["why"]),
    ]


def format_result(result: dict[str, Any]) -> str:
    """Return tables of roles, scenarios and slopes, and notes; only the notes if the rig was overloaded."""
    notes = problem_notes(result)
    figures = result.get("figures")
    if figures is None:
        return "\n".join([*notes, NO_FIGURES])
    busiest = {name: role["busiest_cpu_s_per_s"] for name, role in figures["roles"].items()}
    notes += [
        f"{name}: one process used {cpu_share:.2f} of a core"
        for name, cpu_share in busiest.items()
        if cpu_share > SATURATED_CPU_SHARE
    ]
    tables = (
        format_table(ROLE_COLUMNS, [role_row(name, role) for name, role in figures["roles"].items()]),
        format_table(
            SCENARIO_COLUMNS,
            [scenario_row(name, scenario) for name, scenario in figures["scenarios"].items()],
        ),
        format_table(SLOPE_COLUMNS, slope_rows(figures)),
    )
    return "\n".join(["\n\n".join(tables), *notes])


def role_row(name: str, role: dict[str, Any]) -> list[str]:
    """Return the table row of a role."""
    in_force, added = role.get("in_force") or {}, role.get("added") or {}
    cells = [
        role["resident_mb"],
        role["cpu_s_per_s"],
        role["bytes_per_s"] / 1e3,
        role["messages_per_s"],
        in_force.get("p50_ms"),
        in_force.get("p99_ms"),
        in_force.get("most_ms"),
        role.get("ready_s"),
        added.get("p50_ms"),
        added.get("p99_ms"),
    ]
    return [name, str(role["count"]), *map(format_number, cells)]


def scenario_row(name: str, scenario: dict[str, Any]) -> list[str]:
    """Return the table row of a scenario."""
    cells = [
        (scenario[key] or {}).get(percentile)
        for key in ("hollow_in_force", "gateway_in_force")
        for percentile in ("p50_ms", "p99_ms", "most_ms")
    ]
    added = scenario["added"] or {}
    cells += [scenario["gateway_not_in_force"], added.get("p50_ms"), added.get("p99_ms")]
    return [name, str(scenario["changes"]), *map(format_number, cells)]


def slope_rows(figures: dict[str, Any]) -> list[list[str]]:
    """Return the table rows of the slopes."""
    rows = []
    for kind, fits in figures["slopes"].items():
        over_bound_count = sum(
            bool(point.get("over_bound") or point.get("over_time")) for point in figures["points"][kind]
        )
        if not fits:
            rows.append(["all", f"{kind}: no size stayed within the bounds"])
        for metric, fit in fits.items():
            title, factor, unit = METRICS[metric]
            if fit is None:
                rows.append([title, f"{kind}: too few sizes stayed within the bounds"])
                continue
            residual_share, sizes = format_number(fit["residual_share"]), str(len(fit["sizes"]))
            slope, at_zero = format_number(fit["slope"] * factor), format_number(fit["at_zero"] * factor)
            sizes += f", {over_bound_count} over the bounds" if over_bound_count else ""
            rows.append([title, kind, slope, unit, at_zero, residual_share, sizes])
    return rows
