"""Data stored by earlier versions stays readable: lab results, knob names and the marker of a build.

Commit 49e7d98 wrote the fixtures. They must not be regenerated to make a test pass.
"""

from __future__ import annotations

import json
import os
import shlex
import shutil
import subprocess
import tomllib
from pathlib import Path
from typing import Any

import pytest

from lab import report
from lab.__main__ import lab
from lab.figures import fit_slopes
from lab.model import experiment, scenario_files, summary
from lab.model.knobs import apply_knobs, parse_knob
from lab.model.results import RESULTS_FILE, Result, read_results_file, results_of_policy, write_results_file

ROOT = Path(__file__).parents[2]
FIXTURES = ROOT / "tests" / "fixtures"
BEFORE = FIXTURES / "lab_run_before"
AFTER = FIXTURES / "lab_run_after"
EVIDENCE = FIXTURES / "lab_run_evidence"
SCALE = FIXTURES / "lab_scale"
TINY = FIXTURES / "tiny.toml"
ORDINARY = FIXTURES / "ordinary.toml"
KNOBS: dict[str, int | float] = json.loads((FIXTURES / "knobs.json").read_text(encoding="utf-8"))
CHARTS = {
    "policies-side-by-side": 1,
    "served-worth-over-time": 1,
    "latency-percentiles": 1,
    "load-by-server-and-zone": 2,
    "breakers-and-limits-over-time": 1,
    "broken-rules": 0,  # the stored runs broke no rule
    "cost-by-kind": 1,
}
KNOB_EFFECTS: dict[str, dict[str, float]] = json.loads(
    (FIXTURES / "knob_effects.json").read_text(encoding="utf-8")
)
EXIT_COMMAND_NOT_FOUND = 127


def call_lab(*arguments: str | Path) -> int:
    """Run a lab command in this process and return its exit code."""
    with pytest.raises(SystemExit) as ended:
        lab.main([str(argument) for argument in arguments])
    return int(ended.value.code or 0)


def read_results(folder: Path) -> tuple[Result, list[Result]]:
    """Return the header without the digest of the program, and the results."""
    header, results = read_results_file(folder / RESULTS_FILE)
    assert header is not None
    assert header.pop("program")
    return header, results


def count_charts(page: str) -> dict[str, int]:
    """Return the number of charts in each section of a report page."""
    sections = page.split('<section id="')[1:]
    return {section.partition('"')[0]: section.count("<svg") for section in sections}


def run_policy(path: Path, seeds: int, out: Path, *more: str) -> int:
    arguments = ["--policy", "rosedeal", "--seeds", str(seeds), "--jobs", "2", "--out", str(out)]
    return call_lab("run", path, *arguments, *more)


@pytest.fixture
def stored_after(tmp_path: Path) -> Path:
    """Return a copy of the stored folder that may be written to."""
    return Path(shutil.copytree(AFTER, tmp_path / "stored"))


# Results of `lab run`


def test_compare_reads_stored_folders(capsys: pytest.CaptureFixture[str]) -> None:
    assert call_lab("compare", BEFORE, AFTER) == 0
    assert capsys.readouterr().out == (FIXTURES / "lab_run_compared.txt").read_text(encoding="utf-8")


def test_compare_accepts_a_stored_and_a_new_folder(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_policy(TINY, 5, tmp_path / "new") == 0
    capsys.readouterr()
    assert call_lab("compare", BEFORE, tmp_path / "new") == 0
    rows = capsys.readouterr().out.splitlines()[1:]
    assert [row.split()[:3] for row in rows] == [["rosedeal", name, "5"] for name in summary.COMPARED_METRICS]
    assert all(row.split()[3:6] == ["+0.0000"] * 3 for row in rows)


@pytest.mark.parametrize(("folder", "knobs"), [(BEFORE, "none turned"), (AFTER, "choice.RING=20")])
def test_report_draws_a_stored_folder(
    folder: Path, knobs: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    copy = Path(shutil.copytree(folder, tmp_path / "stored"))
    assert call_lab("report", copy) == 0
    captured = capsys.readouterr()
    assert captured.out == f"{copy / 'report.html'}\n"
    assert captured.err == ""
    page = (copy / "report.html").read_text(encoding="utf-8")
    assert "<h1>Fleet model: tiny</h1>" in page
    assert f"Policies: 2; seeds: 5; knobs: {knobs};" in page
    assert count_charts(page) == CHARTS
    assert page.index(">rosedeal</span>") < page.index(">random</span>")  # policies keep their order


def test_results_of_another_program_are_not_continued(
    stored_after: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Runs of two programs in one file would be compared as if one program had made them."""
    path = stored_after / RESULTS_FILE
    header, results = read_results_file(path)
    assert header is not None
    write_results_file(path, header | {"program": "0" * 16}, results)
    before = path.read_bytes()
    assert run_policy(TINY, 5, stored_after, "--knob", "choice.RING=20") == 2
    assert "holds runs of another program: expected an --out of its own" in capsys.readouterr().err
    assert path.read_bytes() == before


def test_equal_seeds_give_the_stored_results(tmp_path: Path) -> None:
    expected = json.loads((FIXTURES / "lab_run_expected.json").read_text(encoding="utf-8"))
    assert run_policy(ORDINARY, 2, tmp_path) == 0
    header, results = read_results(tmp_path)
    assert header == expected["header"]
    assert results == expected["results"]


def test_shipped_scenario_equals_the_stored_one() -> None:
    assert scenario_files.load(scenario_files.find("ordinary")) == scenario_files.load(ORDINARY)


# Stored knob names


@pytest.mark.parametrize(
    ("knob", "seeds", "folder"), [("choice.RING=20", 5, AFTER), ("evidence.MINIMUM=2", 1, EVIDENCE)]
)
def test_a_stored_knob_changes_the_constant_as_before(
    knob: str, seeds: int, folder: Path, tmp_path: Path
) -> None:
    assert run_policy(TINY, seeds, tmp_path, "--knob", knob) == 0
    header, results = read_results(tmp_path)
    stored_header, stored = read_results(folder)
    assert header == stored_header
    assert header["knobs"] == [knob]
    assert results == results_of_policy(stored, "rosedeal")
    unchanged = results_of_policy(read_results(BEFORE)[1], "rosedeal")
    assert all(result not in unchanged for result in results)


@pytest.mark.parametrize("name", KNOBS)
def test_each_stored_knob_name_is_accepted(name: str) -> None:
    value = KNOBS[name]
    knob = parse_knob(f"{name}={value}")
    assert knob.text == f"{name}={value}"
    assert type(knob.value) is type(value)


@pytest.mark.parametrize("text", KNOB_EFFECTS)
def test_each_stored_knob_has_its_stored_effect(text: str) -> None:
    """Covers the names in knobs.json that change the first seed of tiny.toml when halved or doubled."""
    knob, name = parse_knob(text), text.partition("=")[0]
    apply_knobs([knob])
    try:
        result = experiment.simulate(scenario_files.load(TINY), "rosedeal", 1)
    finally:
        apply_knobs([parse_knob(f"{name}={KNOBS[name]}")])
    assert {figure: result.get(figure) for figure in KNOB_EFFECTS[text]} == KNOB_EFFECTS[text]


# Results of `lab scale`


@pytest.fixture
def stored_scale() -> dict[str, Any]:
    return dict(json.loads((SCALE / "result.json").read_text(encoding="utf-8")))


def test_a_stored_scale_result_gives_its_table(stored_scale: dict[str, Any]) -> None:
    assert report.format_result(stored_scale) + "\n" == (SCALE / "table.txt").read_text(encoding="utf-8")


def test_slopes_are_reproduced_from_the_stored_points(stored_scale: dict[str, Any]) -> None:
    figures = stored_scale["figures"]
    fits = fit_slopes(figures["points"])
    assert fits.keys() == figures["slopes"].keys()
    for kind, lines in figures["slopes"].items():
        assert fits[kind].keys() == lines.keys()
        for what, line in lines.items():
            assert fits[kind][what]["slope"] == pytest.approx(line["slope"])


def test_report_rejects_a_scale_folder(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    copy = Path(shutil.copytree(SCALE, tmp_path / "stored"))
    assert call_lab("report", copy) == 2
    expected = "expected a folder with results that lab run has written"
    assert capsys.readouterr().err == f"lab: {copy}: {expected}\n"


# The finished build


@pytest.fixture
def build_folder(tmp_path: Path) -> Path:
    """Make a checkout with a finished build, and stand-ins for commands, which record their arguments."""
    commands = tmp_path / "commands"
    commands.mkdir()
    for name in ("rm", "python3", "cp"):
        path = commands / name
        path.write_text(f'#!/bin/sh\necho "{name} $*" >> {shlex.quote(str(tmp_path / "called"))}\n')
        path.chmod(0o755)
    compare = shutil.which("cmp")
    assert compare is not None
    (commands / "cmp").symlink_to(compare)
    folder = tmp_path / "checkout"
    (folder / ".venv" / "bin").mkdir(parents=True)
    shutil.copy(ROOT / "requirements.txt", folder / "requirements.txt")
    shutil.copy(ROOT / "requirements.txt", folder / ".venv" / "built")
    return folder


def run_build(folder: Path) -> tuple[int, list[str]]:
    """Run the build command; return its exit code and the commands it called, except cmp."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["build"]
    path = str(folder.parent / "commands")
    environment = {**os.environ, "PATH": path}
    done = subprocess.run(["/bin/sh", "-c", command], cwd=folder, env=environment, capture_output=True)
    called = folder.parent / "called"
    return done.returncode, called.read_text().splitlines() if called.exists() else []


def test_finished_build_is_not_repeated(build_folder: Path) -> None:
    """Repeating the build command must not install the same packages again."""
    assert run_build(build_folder) == (0, [])
    marker = build_folder / ".venv" / "built"
    assert marker.read_bytes() == (build_folder / "requirements.txt").read_bytes()


@pytest.mark.parametrize("marker", [None, "", "an-older-list==1\n"])
def test_build_without_its_marker_starts_over(build_folder: Path, marker: str | None) -> None:
    """Without a marker equal to requirements.txt, the virtual environment is incomplete or outdated."""
    path = build_folder / ".venv" / "built"
    path.unlink()
    if marker is not None:
        path.write_text(marker)
    code, called = run_build(build_folder)
    assert code == EXIT_COMMAND_NOT_FOUND  # the stand-in for python3 creates no .venv/bin/pip
    assert called == ["rm -rf .venv", "python3 -m venv .venv"]
