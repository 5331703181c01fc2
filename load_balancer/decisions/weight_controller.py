"""Weights by additive increase and multiplicative decrease, and their exact sum over the listed endpoints."""

from __future__ import annotations

MIN_WEIGHT = 0.05  # also the lower bound for listed weights
MAX_WEIGHT = 1.0
WEIGHT_INCREASE = 0.02  # added by a good answer
WEIGHT_DECREASE_FACTOR = 0.7  # factor for a failure or a slow answer
WEIGHT_UNIT = 2**57  # weights times this are whole numbers, whose sum is exact however often they change


class WeightTotal:
    """Sum of the controller's weights of all listed endpoints.

    Attributes:
        units: The sum in units of 1 / `WEIGHT_UNIT`.
    """

    __slots__ = ("units",)

    def __init__(self) -> None:
        self.units = 0

    def replace(self, old_weight: float, new_weight: float) -> None:
        """Change one weight in the sum."""
        self.units += int(new_weight * WEIGHT_UNIT) - int(old_weight * WEIGHT_UNIT)

    def mean(self, count: int) -> float:
        """Return the mean of so many weights; the largest weight where there are none."""
        return self.units / WEIGHT_UNIT / count if count else MAX_WEIGHT


def next_weight(weight: float, failed_or_slow: bool) -> float:
    """Return an endpoint's weight after an answer: a little more after a good one, else cut."""
    if failed_or_slow:
        return max(MIN_WEIGHT, weight * WEIGHT_DECREASE_FACTOR)
    return min(MAX_WEIGHT, weight + WEIGHT_INCREASE)
