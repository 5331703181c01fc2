"""Comparison of results in pairs by seed."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from lab.model import comparison
from lab.model.results import RESULTS_FILE, write_results_file
from tests.lab.model.support import call_lab


def test_bootstrap_interval_matches_the_normal_approximation() -> None:
    """Equal differences give an interval of zero width; many different ones give 1.96 standard errors."""
    assert comparison.bootstrap_interval([0.25] * 8) == (0.25, 0.25, 0.25)
    values = [0.5 + (1.0 if n % 2 else -1.0) for n in range(400)]  # mean 0.5, standard deviation 1
    mean, low, high = comparison.bootstrap_interval(values)
    assert mean == pytest.approx(0.5)
    assert low == pytest.approx(0.5 - 1.96 / 20, abs=0.01)
    assert high == pytest.approx(0.598, abs=0.01)
    assert comparison.bootstrap_interval(values) == (mean, low, high)


@pytest.mark.parametrize(
    ("name", "low", "high", "expected"),
    [
        ("G", 0.01, 0.02, "better"),
        ("G", -0.02, -0.01, "worse"),
        ("refused", 0.01, 0.02, "worse"),
        ("p99_ms", -9.0, -1.0, "better"),
        ("G", -0.01, 0.02, "no verdict"),
        ("G", 0.0, 0.02, "no verdict"),
    ],
)
def test_a_verdict_requires_an_interval_that_excludes_zero(
    name: str, low: float, high: float, expected: str
) -> None:
    assert comparison.verdict(name, low, high) == expected


def test_folders_are_compared_in_pairs_by_seed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Seeds that only one folder has are left out, and too few pairs or another scenario give no verdict."""

    def fill(name: str, offsets: dict[int, float]) -> str:
        folder = tmp_path / name
        folder.mkdir()
        results = [
            {"policy": "random", "seed": seed, "G": seed / 10 + offset, "shares": {"late": 0.1}}
            for seed, offset in offsets.items()
        ]
        write_results_file(folder / RESULTS_FILE, {"scenario": "x", "digest": "1"}, results)
        return str(folder)

    baseline = fill("one", dict.fromkeys(range(1, 9), 0.0))
    candidate = fill("two", {n: 0.02 + n % 2 / 100 for n in range(3, 12)})
    assert call_lab("compare", baseline, candidate) == 0
    rows = {line.split()[1]: line.split() for line in capsys.readouterr().out.splitlines()[1:]}
    assert rows["G"][2:4] == ["6", "+0.0250"]
    assert rows["G"][6] == "better"
    assert rows["late"][6:] == ["no", "verdict"]
    assert rows["whole"][6:] == ["too", "few", "pairs"]
    (tmp_path / "none").mkdir()
    assert call_lab("compare", baseline, str(tmp_path / "none")) == 2
    header = json.loads((tmp_path / "one" / RESULTS_FILE).read_text().splitlines()[0])
    write_results_file(tmp_path / "two" / RESULTS_FILE, header | {"digest": "2"}, [])
    assert call_lab("compare", baseline, candidate) == 2
    assert capsys.readouterr().err.count("lab: ") == 2
