"""Comparison of results in pairs by seed, with bootstrap intervals."""

from __future__ import annotations

from pathlib import Path

import numpy as np

from lab.model.errors import UsageError
from lab.model.results import RESULTS_FILE, Result, read_results_file, results_of_policy
from lab.model.summary import COMPARED_METRICS, metric_value
from lab.tables import format_table

RESAMPLES = 10_000
CONFIDENCE_PERCENT = 95.0
MIN_PAIRS = 5  # with fewer pairs, the bootstrap interval is far too narrow
LOWER_IS_BETTER = frozenset({"late", "refused", "failed", "p99_ms"})
COMPARE_COLUMNS = ("figure", "pairs", "difference", "low", "high", "verdict")


def bootstrap_interval(differences: list[float], seed: int = 0) -> tuple[float, float, float]:
    """Return the mean of paired differences and the bounds of its 95 % bootstrap interval."""
    values = np.asarray(differences, dtype=np.float64)
    rng = np.random.default_rng(seed)
    means = values[rng.integers(len(values), size=(RESAMPLES, len(values)))].mean(axis=1)
    tail_percent = (100.0 - CONFIDENCE_PERCENT) / 2
    low, high = np.percentile(means, (tail_percent, 100.0 - tail_percent))
    return float(values.mean()), float(low), float(high)


def verdict(name: str, low: float, high: float) -> str:
    """Return "better" or "worse" if the interval excludes zero, "no verdict" otherwise."""
    if low <= 0.0 <= high:
        return "no verdict"
    return "better" if (low > 0.0) != (name in LOWER_IS_BETTER) else "worse"


def compare_results(baseline: list[Result], candidate: list[Result], label: str) -> list[tuple[str, ...]]:
    """Compare two lists of results by the seeds that both have.

    Args:
        baseline: Results that the candidate is compared with.
        candidate: Results to compare with the baseline.
        label: Text in front of each metric's name.

    Returns:
        Rows of a table with `COMPARE_COLUMNS`.
    """
    by_seed = {r["seed"]: r for r in baseline if "crash" not in r}
    rows: list[tuple[str, ...]] = []
    for name in COMPARED_METRICS:
        differences = []
        for candidate_result in candidate:
            baseline_result = by_seed.get(candidate_result["seed"])
            if baseline_result is None or "crash" in candidate_result:
                continue
            baseline_value, candidate_value = (
                metric_value(baseline_result, name),
                metric_value(candidate_result, name),
            )
            if baseline_value is not None and candidate_value is not None:
                differences.append(candidate_value - baseline_value)
        if len(differences) < MIN_PAIRS:
            rows.append((f"{label} {name}", str(len(differences)), "-", "-", "-", "too few pairs"))
            continue
        mean_difference, low, high = bootstrap_interval(differences)
        cells = [f"{value:+.4f}" for value in (mean_difference, low, high)]
        rows.append((f"{label} {name}", str(len(differences)), *cells, verdict(name, low, high)))
    return rows


def compare_folders(baseline: Path, candidate: Path) -> str:
    """Compare two folders of results, policy by policy, and return a table.

    Raises:
        UsageError: A folder has no results, or the folders cannot be compared.
    """
    baseline_header, baseline_results = _read_folder(baseline)
    candidate_header, candidate_results = _read_folder(candidate)
    if baseline_header.get("digest") != candidate_header.get("digest"):
        raise UsageError("the folders hold runs of different scenarios: expected runs of the same scenario")
    policies = dict.fromkeys(result["policy"] for result in baseline_results)
    common_policies = [policy for policy in policies if results_of_policy(candidate_results, policy)]
    if not common_policies:
        raise UsageError("the folders have no policy in common: expected at least one")
    rows: list[tuple[str, ...]] = []
    for policy in common_policies:
        rows += compare_results(
            results_of_policy(baseline_results, policy), results_of_policy(candidate_results, policy), policy
        )
    return format_table(COMPARE_COLUMNS, rows)


def _read_folder(folder: Path) -> tuple[Result, list[Result]]:
    header, results = read_results_file(folder / RESULTS_FILE)
    if header is None:
        raise UsageError(f"{folder}: expected a folder written by lab run")
    return header, results
