"""Figures of results, and their means by policy."""

from __future__ import annotations

import numpy as np

from lab.model.results import Result
from lab.tables import format_table

COLUMNS = (
    "policy", "seeds", "G", "whole", "worst 10 s", "worst class", "worst tenant", "late", "refused", "failed",
    "p50 ms", "p99 ms", "attempts", "handshakes", "broken",
)  # fmt: skip
COMPARED = (
    "G",
    "whole",
    "worst_window",
    "worst_class",
    "worst_tenant",
    "late",
    "refused",
    "failed",
    "p99_ms",
)


def figure(result: Result, name: str) -> float | None:
    """One figure of a result; None where the day has none."""
    value = result["shares"].get(name) if name in result.get("shares", {}) else result.get(name)
    return None if value is None else float(value)


def mean(results: list[Result], name: str) -> float | None:
    """A figure's mean over the results that have it; None where none has."""
    values = [value for r in results if (value := figure(r, name)) is not None]
    return float(np.mean(values)) if values else None


def format_figure(value: float | None, places: int = 3) -> str:
    """A figure as text, "-" for none."""
    return "-" if value is None else f"{value:.{places}f}"


def summary(results: list[Result]) -> str:
    """One line a policy: means over its seeds."""
    rows = []
    for policy in dict.fromkeys(r["policy"] for r in results):
        whole = [r for r in results if r["policy"] == policy and "crash" not in r]
        crashed = sum(r["policy"] == policy for r in results) - len(whole)
        shares = [format_figure(mean(whole, name)) for name in COMPARED[:8]]
        costs = [sum(r["costs"][kind] for r in whole) / sum(r["asked"] for r in whole) if whole else None
                 for kind in ("attempts", "handshakes")]  # fmt: skip
        broken = f"{sum(r['broken']['count'] > 0 for r in whole)} days"
        broken += f", {crashed} crashed" if crashed else ""
        times = [format_figure(mean(whole, name), 0) for name in ("p50_ms", "p99_ms")]
        rows.append((policy, str(len(whole)), *shares, *times, *map(format_figure, costs), broken))
    return format_table(COLUMNS, rows)


def broken_rules(results: list[Result]) -> list[str]:
    """One line a policy and rule: how many, and the first with its time and gateway."""
    lines: dict[tuple[str, int], list[str]] = {}
    for result in sorted(results, key=lambda r: (r["policy"], r["seed"])):
        for broken in result.get("broken", {}).get("named", ()):
            where = f"seed {result['seed']}, {broken['at_s']:.3f} s, gateway {broken['gateway']}"
            lines.setdefault((result["policy"], broken["rule"]), []).append(f"{where}: {broken['what']}")
        if "crash" in result:
            lines.setdefault((result["policy"], -1), []).append(f"seed {result['seed']}: {result['crash']}")
    return [
        f"{policy}: {'crashed' if rule < 0 else f'rule {rule} broken'}, {len(texts)} named; {texts[0]}"
        for (policy, rule), texts in lines.items()
    ]
