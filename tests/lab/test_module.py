"""The command that measures one Balancer without sockets."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from lab.__main__ import lab


def test_module_command_measures_the_balancer(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    with pytest.raises(SystemExit) as ended:
        lab.main(["module", "--size", "6x2x3", "--repeat", "2", "--out", str(tmp_path / "out.json")])
    assert ended.value.code == 0
    assert "6x2x3" in capsys.readouterr().out
    (size,) = json.loads((tmp_path / "out.json").read_text())["sizes"]
    assert size["calm"]["refused_share"] < 0.05 < size["shedding"]["refused_share"]
    assert size["runs"] == 2
    assert size["memory_list_bytes"] > 0
    assert size["restart_ms"] > 0


def test_size_over_the_memory_bound_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        lab.main(["module", "--size", "6x2x3", "--memory-mb", "1"])
    assert ended.value.code == 1
    assert "over the bound" in capsys.readouterr().out
