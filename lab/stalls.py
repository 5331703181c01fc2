"""How long the steps of a change hold up an event loop."""

from __future__ import annotations

import time
from typing import TypeVar

from lab.child import Histogram
from lab.gateway_messages import StepCost
from load_balancer.config.steps import Steps

T = TypeVar("T")


def read_clocks() -> tuple[int, int]:
    """Nanoseconds on the clock and of this thread on the processor."""
    return time.perf_counter_ns(), time.thread_time_ns()


class StallMonitor:
    """The time of each step by its name; a collection is part of the step it comes in.

    The processor's time beside it is without what a busy machine gives to others.
    """

    def __init__(self) -> None:
        self.hists: dict[str, Histogram] = {}
        self.max_cpu: dict[str, tuple[float, int]] = {}  # processor's milliseconds, and which step it was
        self.started = (0, 0)

    def record(self, name: str, started: tuple[int, int], step: int = 0) -> None:
        """Record a step that has begun at a time and ends now."""
        ended = read_clocks()
        self.hists.setdefault(name, Histogram()).record((ended[0] - started[0]) / 1e3)
        self.max_cpu[name] = max(self.max_cpu.get(name, (0.0, 0)), ((ended[1] - started[1]) / 1e6, step))

    def run_steps(self, name: str, steps: Steps[T]) -> T:
        """Run all steps and record each; returns their result."""
        step = 0
        while True:
            started = read_clocks()
            try:
                next(steps)
            except StopIteration as end:
                result: T = end.value
                return result
            finally:
                self.record(name, started, step)
                step += 1

    def on_collection(self, phase: str, info: dict[str, int]) -> None:
        """Record a garbage collection; a callback of `gc`."""
        if phase == "start":
            self.started = read_clocks()
        else:
            self.record(f"collection of generation {info['generation']}", self.started)

    def costs(self) -> dict[str, StepCost]:
        """The cost of each kind of step, by its name."""
        return {name: self._cost(name, hist) for name, hist in self.hists.items()}

    def _cost(self, name: str, hist: Histogram) -> StepCost:
        most_cpu_ms, step = self.max_cpu[name]
        return StepCost(
            count=hist.count,
            p50_ms=hist.percentile_ms(50),
            p99_ms=hist.percentile_ms(99),
            most_ms=hist.percentile_ms(100),
            most_cpu_ms=most_cpu_ms,
            step=step,
        )
