"""Results compared in pairs by seed, with bootstrap intervals."""

from __future__ import annotations

from pathlib import Path

import numpy as np

from lab.model.errors import UsageError
from lab.model.results import FILE, Result, of_policy, read
from lab.model.summary import COMPARED, figure
from lab.tables import format_table

RESAMPLES = 10_000
CONFIDENCE = 95.0  # %
LEAST_PAIRS = 5  # fewer resampled give an interval that is far too narrow
LOWER_IS_BETTER = frozenset({"late", "refused", "failed", "p99_ms"})
COMPARE_COLUMNS = ("figure", "pairs", "difference", "low", "high", "verdict")


def interval(differences: list[float], seed: int = 0) -> tuple[float, float, float]:
    """Mean of paired differences, and the bounds of its bootstrap 95 % interval."""
    values = np.asarray(differences, dtype=np.float64)
    rng = np.random.default_rng(seed)
    means = values[rng.integers(len(values), size=(RESAMPLES, len(values)))].mean(axis=1)
    rest = (100.0 - CONFIDENCE) / 2
    low, high = np.percentile(means, (rest, 100.0 - rest))
    return float(values.mean()), float(low), float(high)


def verdict(name: str, low: float, high: float) -> str:
    """Better or worse, only where the interval excludes zero."""
    if low <= 0.0 <= high:
        return "no verdict"
    return "better" if (low > 0.0) != (name in LOWER_IS_BETTER) else "worse"


def compare(first: list[Result], second: list[Result], label: str) -> list[tuple[str, ...]]:
    """Rows on the second against the first, of the seeds that both have."""
    by_seed = {r["seed"]: r for r in first if "crash" not in r}
    rows: list[tuple[str, ...]] = []
    for name in COMPARED:
        differences = []
        for result in second:
            other = by_seed.get(result["seed"])
            if other is None or "crash" in result:
                continue
            a, b = figure(other, name), figure(result, name)
            if a is not None and b is not None:
                differences.append(b - a)
        if len(differences) < LEAST_PAIRS:
            rows.append((f"{label} {name}", str(len(differences)), "-", "-", "-", "too few pairs"))
            continue
        middle, low, high = interval(differences)
        cells = [f"{value:+.4f}" for value in (middle, low, high)]
        rows.append((f"{label} {name}", str(len(differences)), *cells, verdict(name, low, high)))
    return rows


def compare_folders(first: Path, second: Path) -> str:
    """The second against the first, policy by policy.

    Raises:
        UsageError: They cannot be compared.
    """
    header, results = _read_folder(first)
    other_header, other_results = _read_folder(second)
    if header.get("digest") != other_header.get("digest"):
        raise UsageError("the folders hold runs of different scenarios: expected the same")
    policies = dict.fromkeys(result["policy"] for result in results)
    both = [policy for policy in policies if of_policy(other_results, policy)]
    if not both:
        raise UsageError("the folders have no policy in common: expected at least one")
    rows: list[tuple[str, ...]] = []
    for policy in both:
        rows += compare(of_policy(results, policy), of_policy(other_results, policy), policy)
    return format_table(COMPARE_COLUMNS, rows)


def _read_folder(folder: Path) -> tuple[Result, list[Result]]:
    header, results = read(folder / FILE)
    if header is None:
        raise UsageError(f"{folder}: expected a folder that lab run has written")
    return header, results
