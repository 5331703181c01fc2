"""Invalid arguments of the lab's commands."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab.__main__ import lab


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("scales",),
        ("scale",),
        ("scale", "--out", "x", "--servers", "0"),
        ("scale", "--out", "x", "--servers", "many"),
        ("scale", "--out", "x", "--scenario", "flood"),
        ("scale", "--out", "/proc/none/x"),
        ("scale", "--out", "x", "--memory-mb", "99999999"),
        ("reload",),
        ("reload", "--out", "x", "--every-s", "0"),
        ("reload", "--out", "x", "--memory-mb", "99999999"),
        ("reload", "--out", "/proc/none/x"),
        ("module", "--size", "1x2"),
        ("module", "--out", "/none/x"),
    ],
)
def test_invalid_arguments_print_one_line_and_exit_with_code_2(
    arguments: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A mistake in the arguments must print neither a traceback nor click's usage text."""
    monkeypatch.chdir(tmp_path)
    with pytest.raises(SystemExit) as ended:
        lab.main(list(arguments))
    captured = capsys.readouterr()
    assert ended.value.code == 2
    assert not captured.out
    (line,) = captured.err.splitlines()
    assert line.startswith("lab: ")
