"""How long the steps of a change hold up an event loop."""

from __future__ import annotations

import time
from typing import TypeVar

from lab.child import Histogram
from lab.gateway_messages import StepCost
from load_balancer.config.steps import Steps

T = TypeVar("T")


def now() -> tuple[int, int]:
    """Nanoseconds on the clock and of this thread on the processor."""
    return time.perf_counter_ns(), time.thread_time_ns()


class StallMonitor:
    """The time of each step by its name; a collection is part of the step it comes in.

    The processor's time beside it is without what a busy machine gives to others.
    """

    def __init__(self) -> None:
        self.hists: dict[str, Histogram] = {}
        self.longest: dict[str, tuple[float, int]] = {}  # processor's milliseconds, and which step it was
        self.began = (0, 0)

    def note(self, name: str, began: tuple[int, int], step: int = 0) -> None:
        """Record a step that has begun at a time and ends now."""
        done = now()
        self.hists.setdefault(name, Histogram()).record((done[0] - began[0]) / 1e3)
        self.longest[name] = max(self.longest.get(name, (0.0, 0)), ((done[1] - began[1]) / 1e6, step))

    def take(self, name: str, steps: Steps[T]) -> T:
        """Run all steps and record each; returns their result."""
        step = 0
        while True:
            began = now()
            try:
                next(steps)
            except StopIteration as end:
                result: T = end.value
                return result
            finally:
                self.note(name, began, step)
                step += 1

    def collecting(self, phase: str, info: dict[str, int]) -> None:
        """Record a garbage collection; a callback of `gc`."""
        if phase == "start":
            self.began = now()
        else:
            self.note(f"collection of generation {info['generation']}", self.began)

    def result(self) -> dict[str, StepCost]:
        """The cost of each kind of step, by its name."""
        return {name: self._cost(name, hist) for name, hist in self.hists.items()}

    def _cost(self, name: str, hist: Histogram) -> StepCost:
        most_cpu_ms, step = self.longest[name]
        return StepCost(
            count=hist.count,
            p50_ms=hist.percentile_ms(50),
            p99_ms=hist.percentile_ms(99),
            most_ms=hist.percentile_ms(100),
            most_cpu_ms=most_cpu_ms,
            step=step,
        )
