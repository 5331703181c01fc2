"""Weights with additive increase and multiplicative decrease, and their sum over the listed endpoints."""

from __future__ import annotations

MIN_WEIGHT = 0.05  # Also the lower bound of listed weights in the estimate of requests in flight.
MAX_WEIGHT = 1.0
WEIGHT_INCREASE = 0.02  # Added for a prompt, successful answer.
WEIGHT_DECREASE_FACTOR = 0.7  # Factor for a failure or a slow answer.
WEIGHT_UNIT = 2**57  # Weights times this are integers, whose sum stays exact however often weights change.


class WeightTotal:
    """The sum of the controller's weights of all listed endpoints.

    Attributes:
        units: The sum, in units of 1 / `WEIGHT_UNIT`.
    """

    __slots__ = ("units",)

    def __init__(self) -> None:
        self.units = 0

    def replace(self, old_weight: float, new_weight: float) -> None:
        """Update the sum when one weight changes."""
        self.units += int(new_weight * WEIGHT_UNIT) - int(old_weight * WEIGHT_UNIT)

    def mean(self, count: int) -> float:
        """Return the mean of `count` weights; `MAX_WEIGHT` if there are none."""
        return self.units / WEIGHT_UNIT / count if count else MAX_WEIGHT


def next_weight(weight: float, failed_or_slow: bool) -> float:
    """Return an endpoint's weight after an outcome: increased if it was good, else decreased."""
    if failed_or_slow:
        return max(MIN_WEIGHT, weight * WEIGHT_DECREASE_FACTOR)
    return min(MAX_WEIGHT, weight + WEIGHT_INCREASE)
