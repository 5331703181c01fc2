"""The table and notes of a reload run's result."""

from __future__ import annotations

from typing import Any

from lab.report import NO_FIGURES, format_number, problem_notes
from lab.tables import format_table

LATENCY_KEYS = ("p50_ms", "p99_ms", "most_ms")
TARGET_TITLES = (("gateway", "requests"), ("direct", "direct requests"), ("loop", "readiness polls"))
MEMORY_TITLES = (("first", "first_bytes"), ("a tenth", "after_a_tenth_bytes"), ("last", "last_bytes"))
COLUMNS = ("what", "count", "p50 ms", "p99", "most", "CPU most")


def format_result(result: dict[str, Any]) -> str:
    """Return the table and notes; only the notes on problems if the rig was overloaded."""
    notes = problem_notes(result)
    figures = result.get("figures")
    if figures is None:
        return "\n".join([*notes, NO_FIGURES])
    rows = [*request_rows(figures), *change_rows(figures)]
    return "\n".join([format_table(COLUMNS, rows), *notes, *pace_notes(figures), *memory_notes(figures)])


def latency_row(title: str, summary: dict[str, Any] | None) -> list[str]:
    """Return the table row of a latency."""
    figures = summary or {}
    cells = [format_number(figures.get(key)) for key in (*LATENCY_KEYS, "most_cpu_ms")]
    return [title, str(figures.get("count", "-")), *cells]


def request_rows(figures: dict[str, Any]) -> list[list[str]]:
    """Return the rows of requests without and with changes, and of the latency that changes add."""
    rows = [
        latency_row(f"{title} {phase_title}", figures[phase][target])
        for phase, phase_title in (("quiet", "without changes"), ("changes", "with changes"))
        for target, title in TARGET_TITLES
        if phase in figures
    ]
    added = figures.get("added", {})
    return rows + [
        latency_row(f"{title}: added", added[target]) for target, title in TARGET_TITLES if target in added
    ]


def change_rows(figures: dict[str, Any]) -> list[list[str]]:
    """Return the rows of the times until changes were in force, and of their steps at simulated gateways."""
    rows = [
        latency_row(f"in force {interval.replace('_', ' ')}, {title}", summary)
        for phase, title in (("changes", "with requests"), ("many", "one after the other"))
        for interval, summary in figures.get(phase, {}).get("in_force", {}).items()
    ]
    steps = figures.get("hollow", {}).get("steps", {})
    return rows + [latency_row(f"hollow: {name}", step) for name, step in steps.items()]


def pace_notes(figures: dict[str, Any]) -> list[str]:
    """Return lines on the rate of changes, their pauses and their CPU time."""
    notes = []
    if "pause_over_5_ms" in figures:
        changes = figures["changes"]
        notes.append(
            f"changes every {changes['every_s']:g} s: "
            f"{format_number(changes['times_daily'])} times the daily rate"
        )
        notes.append(f"pause_over_5_ms: {str(figures['pause_over_5_ms']).lower()}")
        notes.append(f"loop_over_5_ms: {str(figures['loop_over_5_ms']).lower()}")
    if "alone" in figures:
        isolated = figures["alone"]
        each_ms = isolated["cpu_s_each"] * 1e3
        notes.append(f"CPU time per change: {each_ms:.1f} ms; file: {isolated['file_bytes']} bytes")
        notes.append(isolated["arithmetic"])
    return notes


def memory_notes(figures: dict[str, Any]) -> list[str]:
    """Return a line on the memory of each gateway before and after changes."""
    notes = []
    for name, memory in figures.get("many", {}).get("memory", {}).items():
        measurements = ", ".join(f"{title} {memory[key] / 1e6:.1f} MB" for title, key in MEMORY_TITLES)
        fit, slope = memory["line"], "too few samples"
        if fit is not None:
            slope = f"{fit['slope']:.0f} bytes per change (residual {fit['residual']:.0f} bytes)"
        notes.append(f"memory of {name}: {measurements}; {slope}")
    if "hollow" in figures:
        simulated = figures["hollow"]
        notes.append(
            f"memory of a simulated gateway: {simulated['bytes_each'] / 1e6:.1f} MB, "
            f"{simulated['bytes_each_after'] / 1e6:.1f} MB after {simulated['changes']} changes"
        )
    return notes
