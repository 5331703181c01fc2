"""Child processes with a bound on their memory."""

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
    """What a child prints as JSON; it is ended once it holds more than `memory_mb` megabytes."""
    previous_handler = signal.signal(
        signal.SIGTERM, signal.default_int_handler
    )  # so that the child is ended too
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
