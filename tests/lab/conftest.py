"""Fixtures shared by the tests of the lab."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from lab.model import experiment


@pytest.fixture
def played_runs(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, int]]:
    """Play runs in this process, and record the policy and seed of each."""
    runs: list[tuple[str, int]] = []

    def play_sequentially(
        plan: experiment.ExperimentPlan, tasks: list[tuple[str, int]], _jobs: int
    ) -> Iterator[dict[str, Any]]:
        for task in tasks:
            runs.append(task)
            yield experiment.simulate(plan.scenario, *task)

    monkeypatch.setattr(experiment, "simulate_all", play_sequentially)
    return runs
