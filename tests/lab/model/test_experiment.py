"""Runs over seeds and policies, cut off and continued."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from lab.model import experiment
from lab.model.errors import UsageError
from lab.model.knobs import parse_knob
from lab.model.policies import POLICIES
from lab.model.results import FILE
from tests.lab.model.support import RELEASE, TINY, call_lab, parse_tiny


def test_results_are_equal_whatever_the_jobs_and_the_order(tmp_path: Path) -> None:
    (tmp_path / "tiny.toml").write_text(TINY)
    texts = []
    for jobs, names in (("1", ("random", "rosedeal")), ("3", ("rosedeal", "random"))):
        policies = [part for name in names for part in ("--policy", name)]
        out = tmp_path / jobs
        arguments = ("--seeds", "2", "--jobs", jobs, "--out", str(out))
        assert call_lab("run", str(tmp_path / "tiny.toml"), *policies, *arguments) == 0
        texts.append((out / FILE).read_bytes())
    assert texts[0] == texts[1]
    assert texts[0].count(b"\n") == 5


def test_a_run_that_was_cut_off_goes_on_from_what_it_has(
    tmp_path: Path, played_runs: list[tuple[str, int]]
) -> None:
    plan = experiment.Plan(parse_tiny(), ("random", "round-robin"), 2)
    heard: list[object] = []
    experiment.run(plan, tmp_path, 1, heard.append)
    path = tmp_path / FILE
    whole = path.read_bytes()
    lines = whole.splitlines(keepends=True)
    assert len(played_runs) == len(heard) == 4
    for cut in (len(lines[0]) // 2, sum(map(len, lines[:3])), sum(map(len, lines[:3])) + 100):
        played_runs.clear()
        path.write_bytes(whole[:cut])
        experiment.run(plan, tmp_path, 1, heard.append)
        assert path.read_bytes() == whole
        assert len(played_runs) == (4 if cut < len(lines[0]) else 2)
    played_runs.clear()
    assert len(experiment.run(plan, tmp_path, 1, heard.append)) == 4
    assert not played_runs


@pytest.mark.usefixtures("played_runs")
def test_results_of_other_days_or_knobs_are_not_mixed(tmp_path: Path) -> None:
    experiment.run(experiment.Plan(parse_tiny(), ("random",), 1), tmp_path, 1, lambda _result: None)
    for plan in (
        experiment.Plan(parse_tiny(RELEASE), ("random",), 1),
        experiment.Plan(parse_tiny(), ("random",), 1, (parse_knob("choice.STEP=0.5"),)),
    ):
        with pytest.raises(UsageError, match="expected an --out of its own"):
            experiment.run(plan, tmp_path, 1, lambda _result: None)


def test_a_policy_that_raises_is_named_and_the_run_goes_on(
    tmp_path: Path, played_runs: list[tuple[str, int]], monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:  # fmt: skip
    monkeypatch.setitem(POLICIES, "random", lambda _settings, seed: random.Random(seed))
    (tmp_path / "tiny.toml").write_text(TINY)
    arguments = ("--policy", "random", "--policy", "round-robin", "--seeds", "1", "--out", str(tmp_path))
    assert call_lab("run", str(tmp_path / "tiny.toml"), *arguments) == 1
    assert "random: crashed, 1 named; seed 1: AttributeError" in capsys.readouterr().out
    assert len(played_runs) == 2
