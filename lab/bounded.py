"""Runs a child process with a bound on its memory."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from typing import Any

import psutil

POLL_S = 0.05


def run_bounded(arguments: list[str], memory_mb: int) -> dict[str, Any]:
    """Run a Python module as a child process and return the JSON object that it prints.

    The child is killed once its resident memory exceeds `memory_mb` megabytes. If it is killed or fails, the
    result holds the reason under "failed".
    """
    # SIGTERM raises KeyboardInterrupt, so that the child is killed too.
    previous_handler = signal.signal(signal.SIGTERM, signal.default_int_handler)
    with subprocess.Popen([sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True) as child:
        try:
            process = psutil.Process(child.pid)
            while child.poll() is None:
                if process.memory_info().rss > memory_mb * 1e6:
                    return {"failed": f"over the bound of {memory_mb} MB"}
                time.sleep(POLL_S)
            assert child.stdout is not None
            output = child.stdout.read()
            return (
                dict(json.loads(output)) if child.returncode == 0 else {"failed": f"exit {child.returncode}"}
            )
        except psutil.NoSuchProcess:
            return {"failed": "ended too early"}
        finally:
            if child.poll() is None:
                child.kill()
            signal.signal(signal.SIGTERM, previous_handler)
