"""Plays a run for the command line: handles interrupts, writes the result file, chooses the exit code."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click
import uvloop

from lab.processes import ChildError
from lab.rig import ReportProgress

EXIT_FAILED = 1
EXIT_OVERLOADED = 3  # The schedule was not kept, so the figures are void.
EXIT_INTERRUPTED = 130

T = TypeVar("T")


def run_to_folder(
    out: Path,
    play: Callable[[ReportProgress], Coroutine[Any, Any, dict[str, Any]]],
    make_report: Callable[[dict[str, Any]], str],
) -> int:
    """Play a run, write its result to `out`/result.json and print its report.

    Progress goes to standard error.

    Args:
        out: The directory for the result; created if missing.
        play: Plays the run; called with the function that reports its progress.
        make_report: Returns the printed report of a result.

    Returns:
        The exit code.

    Raises:
        click.BadParameter: The directory cannot be created.
    """
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise click.BadParameter(f"{out} cannot be created: {error.strerror}") from None
    started_s = time.monotonic()

    def report_progress(text: str) -> None:
        print(f"[{time.monotonic() - started_s:6.1f} s] {text}", file=sys.stderr, flush=True)

    try:
        result = run_interruptible(play(report_progress))
    except ChildError as error:
        print(f"lab: {error}; see {out / 'logs'}", file=sys.stderr)
        return EXIT_FAILED
    if result is None:
        print("lab: interrupted; every child has ended", file=sys.stderr)
        return EXIT_INTERRUPTED
    (out / "result.json").write_text(json.dumps(result, indent=1) + "\n", encoding="utf-8")
    print(make_report(result))
    if not result["schedule"]["kept"]:
        return EXIT_OVERLOADED
    return EXIT_FAILED if result["over_bound"] or result["broken"] else 0


def run_interruptible(play: Coroutine[Any, Any, T]) -> T | None:
    """Return the result of `play`, or None if SIGINT or SIGTERM cancelled it; its cleanup still runs."""

    async def main() -> T | None:
        loop, task = asyncio.get_running_loop(), asyncio.ensure_future(play)

        def interrupt() -> None:
            for signal_number in (signal.SIGINT, signal.SIGTERM):  # no second signal interrupts the cleanup
                loop.add_signal_handler(signal_number, lambda: None)
            task.cancel()

        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, interrupt)
        try:
            return await task
        except asyncio.CancelledError:
            return None

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
