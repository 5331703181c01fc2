"""Result files: a JSON line with what all results have in common, then one JSON line per run."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from lab.model.errors import UsageError

RESULTS_FILE = "results.jsonl"

Result = dict[str, Any]


def read_results_file(path: Path) -> tuple[Result | None, list[Result]]:
    """Read the header and the results of a file; an incomplete last line is ignored.

    Returns:
        The header, None if the file does not exist or has no complete line, and the results.

    Raises:
        UsageError: A line is not a result.
    """
    header: Result | None = None
    results: list[Result] = []
    lines = path.read_bytes().split(b"\n") if path.exists() else []
    for index, line in enumerate(lines[:-1]):  # the last element is empty, or an incomplete line
        try:
            fields = json.loads(line)
            if index == 0:
                header = {"scenario": fields["scenario"], **fields}
            else:
                results.append({"policy": str(fields["policy"]), "seed": int(fields["seed"]), **fields})
        except (ValueError, KeyError, TypeError):
            raise UsageError(f"{path}: line {index + 1}: expected a result as JSON") from None
    return header, results


def write_results_file(path: Path, header: Result, results: Iterable[Result]) -> None:
    """Write the whole file, ordered by policy and seed, and replace the old one atomically."""
    ordered = sorted(results, key=lambda r: (r["policy"], r["seed"]))
    draft = path.with_suffix(".draft")
    draft.write_text("".join(json.dumps(line) + "\n" for line in (header, *ordered)), encoding="utf-8")
    draft.replace(path)


def results_of_policy(results: Iterable[Result], policy: str) -> list[Result]:
    """Return the results of one policy."""
    return [result for result in results if result["policy"] == policy]
