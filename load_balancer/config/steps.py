"""Long computations as generators that yield often, so that an event loop can run in between."""

from __future__ import annotations

from collections.abc import Generator
from typing import TypeVar

ITEMS_PER_STEP = 200  # list items processed between two yields, in well under a millisecond

Result = TypeVar("Result")
Steps = Generator[None, None, Result]


def run_to_completion(steps: Steps[Result]) -> Result:
    """Run all steps without a pause and return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result
