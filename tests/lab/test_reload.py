"""A tiny reload run."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any


def test_a_tiny_reload_run_says_how_soon_changes_are_in_force(tmp_path: Path) -> None:
    tiny = (
        "--servers=8",
        "--routes=4",
        "--tenants=4",
        "--real=1",
        "--hollow=2",
        "--rate=50",
        "--seconds=0.5",
    )
    more = ("--every-s=0.2", "--changes=6", "--late-ms=1000", "--out", str(tmp_path))
    ended = subprocess.run(
        [sys.executable, "-m", "lab", "reload", *tiny, *more], capture_output=True, text=True, timeout=110
    )
    assert ended.returncode == 0, ended.stderr + ended.stdout
    found: dict[str, Any] = json.loads((tmp_path / "result.json").read_text())
    figures = found["figures"]
    assert not found["broken"]
    assert not found["over_bound"]
    assert "pause_over_5_ms" in figures
    assert figures["changes"]["in_force"]["from_signal"]["count"] == figures["changes"]["count"] == 3
    assert figures["many"]["in_force"]["from_signal"]["count"] == 6
    assert 0 < figures["many"]["in_force"]["from_signal"]["p50_ms"] < 30_000
    assert figures["many"]["memory"]["real-0"]["line"]["sizes"][-1] == 6
    steps = figures["hollow"]["steps"]
    assert steps["handle(SettingsChanged)"]["count"] == 2 * 6
    assert all(0 < step["most_cpu_ms"] < 1_000 for step in steps.values())
