"""Straight lines through figures at several sizes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import numpy as np

MIN_SIZES = 3  # for a line with a residual


def fit_line(sizes: Sequence[float], figures: Sequence[float]) -> dict[str, Any] | None:
    """Least squares: slope in the figures' unit for one more, at zero, and how far the figures lie off.

    `residual` is the root of the mean square in the figures' unit, `residual_share` its part of the rise that
    the line has over the sizes; above 1 there is no slope to speak of. None for too few sizes.
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
