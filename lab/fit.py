"""Fits straight lines to figures that were measured at several sizes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import numpy as np

# Through two points a line always passes exactly, so that its residual would mean nothing.
MIN_SIZES = 3


def fit_line(sizes: Sequence[float], figures: Sequence[float]) -> dict[str, Any] | None:
    """Fit a line to `figures` over `sizes` by least squares.

    Returns:
        None for fewer than MIN_SIZES distinct sizes, else an object with these keys besides `sizes` and
        `figures`: `slope` is the rise for each unit of size, and `at_zero` the line's value at size 0.
        `residual` is the root mean square of the distances between the figures and the line. All three are in
        the figures' unit. `residual_share` is the residual divided by the line's rise over the range of
        sizes, or None where the line is flat; above 1 the slope means little.
    """
    if len(set(sizes)) < MIN_SIZES:
        return None
    x, y = np.asarray(sizes, dtype=float), np.asarray(figures, dtype=float)
    centred = x - x.mean()
    slope = float((centred * (y - y.mean())).sum() / (centred**2).sum())
    at_zero = float(y.mean() - slope * x.mean())
    residual = float(np.sqrt(((y - at_zero - slope * x) ** 2).mean()))
    rise = abs(slope) * float(np.ptp(x))
    return {
        "slope": slope,
        "at_zero": at_zero,
        "residual": residual,
        "residual_share": residual / rise if rise else None,
        "sizes": list(sizes),
        "figures": list(figures),
    }
