"""Metrics of results, and tables of their means by policy."""

from __future__ import annotations

import numpy as np

from lab.model.results import Result
from lab.tables import format_table

COLUMNS = (
    "policy", "seeds", "G", "whole", "worst 10 s", "worst class", "worst tenant", "late", "refused", "failed",
    "p50 ms", "p99 ms", "attempts", "handshakes", "broken",
)  # fmt: skip
COMPARED_METRICS = (
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


def metric_value(result: Result, name: str) -> float | None:
    """Return one metric of a result, or None if the run has no value for it."""
    value = result["shares"].get(name) if name in result.get("shares", {}) else result.get(name)
    return None if value is None else float(value)


def mean_metric(results: list[Result], name: str) -> float | None:
    """Return a metric's mean over the results that have it, or None if no result has it."""
    values = [value for r in results if (value := metric_value(r, name)) is not None]
    return float(np.mean(values)) if values else None


def format_metric(value: float | None, decimals: int = 3) -> str:
    """Format a metric as text; None becomes "-"."""
    return "-" if value is None else f"{value:.{decimals}f}"


def format_summary(results: list[Result]) -> str:
    """Format a table with one row per policy: means over its seeds."""
    rows = []
    for policy in dict.fromkeys(r["policy"] for r in results):
        completed = [r for r in results if r["policy"] == policy and "crash" not in r]
        crashed = sum(r["policy"] == policy for r in results) - len(completed)
        shares = [format_metric(mean_metric(completed, name)) for name in COMPARED_METRICS[:8]]
        costs = [sum(r["costs"][kind] for r in completed) / sum(r["asked"] for r in completed)
                 if completed else None for kind in ("attempts", "handshakes")]  # fmt: skip
        broken = f"{sum(r['broken']['count'] > 0 for r in completed)} runs"
        broken += f", {crashed} crashed" if crashed else ""
        latencies = [format_metric(mean_metric(completed, name), 0) for name in ("p50_ms", "p99_ms")]
        rows.append((policy, str(len(completed)), *shares, *latencies, *map(format_metric, costs), broken))
    return format_table(COLUMNS, rows)


def format_violations(results: list[Result]) -> list[str]:
    """Format one line per policy and rule: the number of recorded violations and the first one."""
    violations_by_rule: dict[tuple[str, int], list[str]] = {}
    for result in sorted(results, key=lambda r: (r["policy"], r["seed"])):
        for violation in result.get("broken", {}).get("named", ()):
            where = f"seed {result['seed']}, {violation['at_s']:.3f} s, gateway {violation['gateway']}"
            violations_by_rule.setdefault((result["policy"], violation["rule"]), []).append(
                f"{where}: {violation['what']}"
            )
        if "crash" in result:
            violations_by_rule.setdefault((result["policy"], -1), []).append(
                f"seed {result['seed']}: {result['crash']}"
            )
    return [
        f"{policy}: {'crashed' if rule < 0 else f'rule {rule} broken'}, {len(texts)} recorded; {texts[0]}"
        for (policy, rule), texts in violations_by_rule.items()
    ]
