"""Knobs: constants that a run overrides."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab.model import experiment
from lab.model.knobs import apply_knobs, parse_knob
from load_balancer.decisions import circuit_breaker, outliers
from tests.lab.model.support import call_lab, parse_tiny


def test_a_knob_is_set_in_every_module_that_imports_the_constant(monkeypatch: pytest.MonkeyPatch) -> None:
    """A module that imports the constant by name keeps the old value if only the defining one changes."""
    for module in (outliers, circuit_breaker):
        monkeypatch.setattr(module, "RING_SIZE", circuit_breaker.RING_SIZE)  # restored after the test
    before = experiment.simulate(parse_tiny(), "rosedeal", 1)
    apply_knobs([parse_knob("choice.RING=5")])
    assert vars(outliers)["RING_SIZE"] == circuit_breaker.RING_SIZE == 5
    assert experiment.simulate(parse_tiny(), "rosedeal", 1) != before


@pytest.mark.parametrize(
    ("knob", "expected"),
    [
        ("circuit_breaker.RINGS=5", "load_balancer.decisions.circuit_breaker has no number RINGS"),
        ("choice.RINGS=5", "there is no constant choice.RINGS"),
        ("choice.Balancer=5", "expected MODULE.NAME=NUMBER"),
        ("evidence.RING=2.5", "expected int for RING"),
        ("choice.STEP=nan", "expected a finite number for STEP"),
        ("settings.RING=5", "load_balancer.decisions.settings has no number RING"),
    ],
)
def test_an_invalid_knob_is_reported_in_one_line(
    knob: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert call_lab("run", "ordinary", "--knob", knob, "--out", str(tmp_path)) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"lab: --knob {knob}: ")
    assert expected in line
