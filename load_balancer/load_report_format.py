"""The text form of a load report: `name:value` pairs separated by commas."""

from __future__ import annotations

import math


def parse_load_report(text: str) -> tuple[tuple[str, float], ...]:
    """Return the names and values of a load report.

    Load reports are only hints, so a pair whose value is not a finite number is skipped.
    """
    pairs: list[tuple[str, float]] = []
    for entry in text.split(","):
        name, _, value = entry.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):
            pairs.append((name, number))
    return tuple(pairs)
