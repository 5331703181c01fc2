"""What a reload run found: its table and notes."""

from __future__ import annotations

from typing import Any

from lab.report import NO_FIGURES, number, problem_notes
from lab.tables import table

LATENCIES = ("p50_ms", "p99_ms", "most_ms")
TARGET_TITLES = (("gateway", "requests"), ("direct", "straight"), ("loop", "loop alone"))
MEMORY_TITLES = (("first", "first_bytes"), ("a tenth", "after_a_tenth_bytes"), ("last", "last_bytes"))
COLUMNS = ("what", "count", "p50 ms", "p99", "most", "processor most")


def report(found: dict[str, Any]) -> str:
    """The table; an overloaded rig has no figures, only the reasons."""
    notes = problem_notes(found)
    figures = found.get("figures")
    if figures is None:
        return "\n".join([*notes, NO_FIGURES])
    rows = [*request_rows(figures), *change_rows(figures)]
    return "\n".join([table(COLUMNS, rows), *notes, *pace_notes(figures), *memory_notes(figures)])


def row(what: str, summary: dict[str, Any] | None) -> list[str]:
    """A line on a latency."""
    found = summary or {}
    cells = [number(found.get(key)) for key in (*LATENCIES, "most_cpu_ms")]
    return [what, str(found.get("count", "-")), *cells]


def request_rows(figures: dict[str, Any]) -> list[list[str]]:
    """Lines on requests with and without changes, and on the difference."""
    rows = [
        row(f"{title} {when}", figures[phase][who])
        for phase, when in (("quiet", "without changes"), ("changes", "with changes"))
        for who, title in TARGET_TITLES
        if phase in figures
    ]
    added = figures.get("added", {})
    return rows + [row(f"{title}: added", added[who]) for who, title in TARGET_TITLES if who in added]


def change_rows(figures: dict[str, Any]) -> list[list[str]]:
    """Lines on how soon changes were in force, and on their steps at simulated gateways."""
    rows = [
        row(f"in force {what.replace('_', ' ')}, {title}", summary)
        for phase, title in (("changes", "with requests"), ("many", "one after the other"))
        for what, summary in figures.get(phase, {}).get("in_force", {}).items()
    ]
    steps = figures.get("hollow", {}).get("steps", {})
    return rows + [row(f"hollow: {name}", step) for name, step in steps.items()]


def pace_notes(figures: dict[str, Any]) -> list[str]:
    """What changes cost in pauses and processor time."""
    notes = []
    if "pause_over_5_ms" in figures:
        day = figures["changes"]
        notes.append(f"changes every {day['every_s']:g} s: {number(day['times_daily'])} times the daily rate")
        notes.append(f"pause_over_5_ms: {str(figures['pause_over_5_ms']).lower()}")
        notes.append(f"loop_over_5_ms: {str(figures['loop_over_5_ms']).lower()}")
    if "alone" in figures:
        cost = figures["alone"]
        each_ms = cost["cpu_s_each"] * 1e3
        notes.append(f"processor a change: {each_ms:.1f} ms; file: {cost['file_bytes']} bytes")
        notes.append(cost["arithmetic"])
    return notes


def memory_notes(figures: dict[str, Any]) -> list[str]:
    """The memory of each gateway, before and after changes."""
    notes = []
    for name, held in figures.get("many", {}).get("memory", {}).items():
        steps = ", ".join(f"{title} {held[key] / 1e6:.1f} MB" for title, key in MEMORY_TITLES)
        line, slope = held["line"], "too few samples"
        if line is not None:
            slope = f"{line['slope']:.0f} bytes a change (residual {line['residual']:.0f} bytes)"
        notes.append(f"memory of {name}: {steps}; {slope}")
    if "hollow" in figures:
        simulated = figures["hollow"]
        notes.append(
            f"memory of a hollow gateway: {simulated['bytes_each'] / 1e6:.1f} MB, "
            f"{simulated['bytes_each_after'] / 1e6:.1f} MB after {simulated['changes']} changes"
        )
    return notes
