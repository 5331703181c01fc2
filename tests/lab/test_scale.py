"""A small scale run: that it completes, and that it ends its children when it is interrupted."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import psutil
import pytest

TINY = (
    "--servers=8",
    "--routes=4",
    "--tenants=4",
    "--hollow=4",
    "--real=1",
    "--sweep-s=0.2",
    "--seconds=0.5",
)


def start_scale_run(out: Path, *more: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lab",
            "scale",
            *TINY,
            "--rate=50",
            "--scenario=ordinary",
            "--out",
            str(out),
            *more,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_tiny_run_keeps_its_schedule_and_has_all_figures(tmp_path: Path) -> None:
    with start_scale_run(tmp_path, "--late-ms=1000") as child:
        out, err = child.communicate(timeout=110)
    assert child.returncode == 0, err + out
    result: dict[str, Any] = json.loads((tmp_path / "result.json").read_text())
    figures = result["figures"]
    assert result["schedule"]["kept"]
    assert not result["broken"]
    assert not result["over_bound"]
    assert set(figures["roles"]) == {"registry", "statements", "clients", "gateway", "hollow"}
    assert figures["roles"]["gateway"]["added"]["gateway"]["count"] > 0
    assert figures["roles"]["hollow"]["in_force"]["count"] > 0
    for kind in ("servers", "routes", "tenants", "gateways"):
        assert len(figures["points"][kind]) == 4
        assert all(figures["slopes"][kind].values())


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_its_children(signal_number: signal.Signals, tmp_path: Path) -> None:
    """Send the signal after the first line of progress, when the stand-ins and the clients run."""
    with start_scale_run(tmp_path) as child:
        assert child.stderr is not None
        assert child.stderr.readline()
        children = psutil.Process(child.pid).children(recursive=True)
        os.kill(child.pid, signal_number)
        _, err = child.communicate(timeout=60)
    assert child.returncode == 130
    assert "interrupted" in err.splitlines()[-1]
    assert len(children) >= 3
    assert not any(process.is_running() for process in children)
