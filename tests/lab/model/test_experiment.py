"""Runs over seeds and policies, including interrupted ones that resume."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from lab.model import experiment
from lab.model.errors import UsageError
from lab.model.knobs import parse_knob
from lab.model.policies import POLICIES
from lab.model.results import RESULTS_FILE
from tests.lab.model.support import RELEASE, TINY, call_lab, parse_tiny


def test_results_do_not_depend_on_jobs_or_policy_order(tmp_path: Path) -> None:
    """Worker processes finish in any order; the stored file must not show it."""
    (tmp_path / "tiny.toml").write_text(TINY)
    texts = []
    for jobs, policy_names in (("1", ("random", "rosedeal")), ("3", ("rosedeal", "random"))):
        policy_options = [part for name in policy_names for part in ("--policy", name)]
        out = tmp_path / jobs
        arguments = ("--seeds", "2", "--jobs", jobs, "--out", str(out))
        assert call_lab("run", str(tmp_path / "tiny.toml"), *policy_options, *arguments) == 0
        texts.append((out / RESULTS_FILE).read_bytes())
    assert texts[0] == texts[1]
    assert texts[0].count(b"\n") == 5


def test_an_interrupted_run_resumes_from_its_stored_results(
    tmp_path: Path, played_runs: list[tuple[str, int]]
) -> None:
    """The file is cut within its header, after two results or within a third; only missing runs are run."""
    plan = experiment.ExperimentPlan(parse_tiny(), ("random", "round-robin"), 2)
    reported: list[object] = []
    experiment.run_plan(plan, tmp_path, 1, reported.append)
    path = tmp_path / RESULTS_FILE
    complete = path.read_bytes()
    lines = complete.splitlines(keepends=True)
    assert len(played_runs) == len(reported) == 4
    for cut in (len(lines[0]) // 2, sum(map(len, lines[:3])), sum(map(len, lines[:3])) + 100):
        played_runs.clear()
        path.write_bytes(complete[:cut])
        experiment.run_plan(plan, tmp_path, 1, reported.append)
        assert path.read_bytes() == complete
        assert len(played_runs) == (4 if cut < len(lines[0]) else 2)
    played_runs.clear()
    assert len(experiment.run_plan(plan, tmp_path, 1, reported.append)) == 4
    assert not played_runs


@pytest.mark.usefixtures("played_runs")
def test_results_of_another_scenario_or_other_knobs_are_not_mixed(tmp_path: Path) -> None:
    """Figures of different scenarios or knobs in one file would be averaged together."""
    experiment.run_plan(
        experiment.ExperimentPlan(parse_tiny(), ("random",), 1), tmp_path, 1, lambda _result: None
    )
    for plan in (
        experiment.ExperimentPlan(parse_tiny(RELEASE), ("random",), 1),
        experiment.ExperimentPlan(parse_tiny(), ("random",), 1, (parse_knob("choice.STEP=0.5"),)),
    ):
        with pytest.raises(UsageError, match="expected an --out of its own"):
            experiment.run_plan(plan, tmp_path, 1, lambda _result: None)


def test_a_policy_that_raises_is_reported_and_other_runs_continue(
    tmp_path: Path, played_runs: list[tuple[str, int]], monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:  # fmt: skip
    monkeypatch.setitem(POLICIES, "random", lambda _settings, seed: random.Random(seed))
    (tmp_path / "tiny.toml").write_text(TINY)
    arguments = ("--policy", "random", "--policy", "round-robin", "--seeds", "1", "--out", str(tmp_path))
    assert call_lab("run", str(tmp_path / "tiny.toml"), *arguments) == 1
    assert "random: crashed, 1 recorded; seed 1: AttributeError" in capsys.readouterr().out
    assert len(played_runs) == 2
