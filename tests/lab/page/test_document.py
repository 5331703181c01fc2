"""The report page: sections, pictures, escaping, errors."""

from __future__ import annotations

from html.parser import HTMLParser
from pathlib import Path

import pytest

from lab.model import experiment
from lab.model.policies import POLICIES
from lab.model.results import RESULTS_FILE, write_results_file
from lab.page import document
from tests.lab.model.mutants import AnswersTwice
from tests.lab.model.support import RELEASE, call_lab, parse_tiny


class Outline(HTMLParser):
    """Collects sections, pictures and ids, and asserts that tags are properly nested."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.open: list[str] = []
        self.sections: list[str | None] = []
        self.pictures: dict[str | None, int] = {}
        self.ids: list[str | None] = []
        self.feed(text)
        self.close()
        assert self.open == []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag != "meta":
            self.open.append(tag)
        self.ids += [value for name, value in attrs if name == "id"]
        if tag == "section":
            self.sections.append(dict(attrs)["id"])
        if tag == "svg":
            self.pictures[self.sections[-1]] = self.pictures.get(self.sections[-1], 0) + 1

    def handle_endtag(self, tag: str) -> None:
        assert self.open.pop() == tag

    def handle_startendtag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        pass


@pytest.mark.usefixtures("played_runs")
def test_a_report_has_a_picture_in_each_section_and_no_external_reference(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The page must be complete in one file, and the same each time it is written."""
    monkeypatch.setitem(POLICIES, "random", AnswersTwice)
    plan = experiment.ExperimentPlan(parse_tiny(RELEASE), ("rosedeal", "random"), 2)
    experiment.run_plan(plan, tmp_path, 1, lambda _result: None)
    assert call_lab("report", str(tmp_path)) == 0
    text = (tmp_path / document.PAGE_FILE).read_text()
    outline = Outline(text)
    assert outline.sections == [
        "policies-side-by-side", "served-worth-over-time", "latency-percentiles", "load-by-server-and-zone",
        "breakers-and-limits-over-time", "broken-rules", "cost-by-kind",
    ]  # fmt: skip
    assert set(outline.pictures) == set(outline.sections)
    assert len(set(outline.ids)) == len(outline.ids)
    assert "was answered twice" in text
    assert "the operators' benchmark is authoritative" in text
    assert not any(
        word in text for word in ("mathdefault", "src=", "@import", "<script", "<link", 'href="http')
    )
    assert call_lab("report", str(tmp_path)) == 0
    assert (tmp_path / document.PAGE_FILE).read_text() == text


@pytest.mark.usefixtures("played_runs")
def test_a_report_escapes_names_and_mentions_a_line_left_out(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Names come from scenario files and may hold HTML, TeX or control characters."""
    name = "<i>$_{&amp;\0"
    path = tmp_path / RESULTS_FILE
    result = experiment.simulate(parse_tiny(), "random", 1) | {"policy": name, "zones": [name, name]}
    crash = {"policy": name, "seed": 2, "crash": name}
    write_results_file(path, {"scenario": name, "knobs": [name], "program": name}, [result, crash])
    path.write_bytes(path.read_bytes() + b'{"policy": "ran')
    assert call_lab("report", str(tmp_path)) == 0
    text = (tmp_path / document.PAGE_FILE).read_text()
    assert Outline(text).sections
    assert "<i>" not in text
    assert "&lt;i&gt;$_{&amp;amp;" in text
    note = "results.jsonl: the last line is incomplete and was ignored"
    assert capsys.readouterr().err == f"lab: {note}\n"
    assert note in text


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, "expected a folder with results that lab run has written"),
        ('{"scenario": "x"}\n', "expected a folder with results that lab run has written"),
        ('{"scenario": "x"}\n{"poli\n{}\n', "line 2: expected a result as JSON"),
        ('{"scenario": "x"}\n{"policy": "a", "seed": 1}\n', "expected results in this program's format"),
    ],
)
def test_a_report_without_usable_results_fails_with_one_line(
    text: str | None, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    if text is not None:
        (tmp_path / RESULTS_FILE).write_text(text)
    assert call_lab("report", str(tmp_path)) == 2
    assert call_lab("report", str(tmp_path / "none")) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2
    assert expected in lines[0]
    assert all(line.startswith("lab: ") for line in lines)
    assert not (tmp_path / document.PAGE_FILE).exists()
