"""A reload run at a small size."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any


def test_small_reload_run_reports_how_soon_changes_are_in_force(tmp_path: Path) -> None:
    """Each change must be seen by probes of the real gateway, and be applied by each simulated gateway."""
    size_options = (
        "--servers=8",
        "--routes=4",
        "--tenants=4",
        "--real=1",
        "--hollow=2",
        "--rate=50",
        "--seconds=0.5",
    )
    run_options = ("--every-s=0.2", "--changes=6", "--late-ms=1000", "--out", str(tmp_path))
    completed = subprocess.run(
        [sys.executable, "-m", "lab", "reload", *size_options, *run_options],
        capture_output=True,
        text=True,
        timeout=110,
    )
    assert completed.returncode == 0, completed.stderr + completed.stdout
    result: dict[str, Any] = json.loads((tmp_path / "result.json").read_text())
    figures = result["figures"]
    assert not result["broken"]
    assert not result["over_bound"]
    assert "pause_over_5_ms" in figures
    assert figures["changes"]["in_force"]["from_signal"]["count"] == figures["changes"]["count"] == 3
    assert figures["many"]["in_force"]["from_signal"]["count"] == 6
    assert 0 < figures["many"]["in_force"]["from_signal"]["p50_ms"] < 30_000
    assert figures["many"]["memory"]["real-0"]["line"]["sizes"][-1] == 6
    steps = figures["hollow"]["steps"]
    assert steps["handle(SettingsChanged)"]["count"] == 2 * 6
    assert all(0 < step["most_cpu_ms"] < 1_000 for step in steps.values())
