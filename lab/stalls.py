"""Measures how long the steps of a settings change block an event loop."""

from __future__ import annotations

import time
from typing import TypeVar

from lab.child import Histogram
from lab.gateway_messages import StepCost
from load_balancer.config.steps import Steps

T = TypeVar("T")


def read_clocks() -> tuple[int, int]:
    """Return the wall clock and the CPU time of this thread, in nanoseconds."""
    return time.perf_counter_ns(), time.thread_time_ns()


class StallMonitor:
    """Records the wall time and CPU time of steps by name, and of garbage collections by generation.

    A garbage collection also counts towards the step during which it runs. Other processes on a busy
    machine lengthen the wall time of a step, but not its CPU time.

    Attributes:
        histograms: The wall times of the steps of each name.
        max_cpu: The largest CPU time in milliseconds of a step of each name, and the number of that step.
        started: The clocks when the current garbage collection started.
    """

    def __init__(self) -> None:
        self.histograms: dict[str, Histogram] = {}
        self.max_cpu: dict[str, tuple[float, int]] = {}
        self.started = (0, 0)

    def record(self, name: str, started: tuple[int, int], step: int = 0) -> None:
        """Record a step that started at the given clocks and ends now."""
        ended = read_clocks()
        self.histograms.setdefault(name, Histogram()).record((ended[0] - started[0]) / 1e3)
        self.max_cpu[name] = max(self.max_cpu.get(name, (0.0, 0)), ((ended[1] - started[1]) / 1e6, step))

    def run_steps(self, name: str, steps: Steps[T]) -> T:
        """Run all steps, record the time of each, and return their result."""
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
        """Record a garbage collection; `gc` calls this at its start and its end."""
        if phase == "start":
            self.started = read_clocks()
        else:
            self.record(f"collection of generation {info['generation']}", self.started)

    def costs(self) -> dict[str, StepCost]:
        """Return the cost of the recorded steps by name."""
        return {name: self._cost(name, histogram) for name, histogram in self.histograms.items()}

    def _cost(self, name: str, histogram: Histogram) -> StepCost:
        most_cpu_ms, step = self.max_cpu[name]
        return StepCost(
            count=histogram.count,
            p50_ms=histogram.percentile_ms(50),
            p99_ms=histogram.percentile_ms(99),
            most_ms=histogram.percentile_ms(100),
            most_cpu_ms=most_cpu_ms,
            step=step,
        )
