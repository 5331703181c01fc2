"""Record, replay and compare transcripts of the balancer's decisions on seeded simulated days.

A transcript is text in the simulator's wire vocabulary, so that it does not depend on any name of the
package. It has a `launch` line, then batches: a `begin_batch` line with the clock, the lines of one event,
and the resulting actions, which start with `> `. A line `settings <json>` changes the settings. Log lines are
left out. A difference is a changed decision: record again only if the change is intended, and say so in the
commit.

    python -m tests.decision_transcripts record   # write tests/transcripts/ again
    python -m tests.decision_transcripts check    # replay and compare
    python -m tests.decision_transcripts coverage # lines of the decision modules that the replay runs
"""

from __future__ import annotations

import gzip
import sys
from collections.abc import Iterator
from pathlib import Path
from types import FrameType
from typing import Any

from load_balancer import decisions

# Only the code from here to the end of WireBalancer depends on the package's Python names.
from load_balancer.config.steps import run_to_completion
from load_balancer.decisions import concurrency_limit
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.events import EndpointListReceived, SettingsChanged
from load_balancer.decisions.settings_version import initial_version, next_version
from load_balancer.simulator.codec import PARSERS, format_action, parse_settings, split_line
from load_balancer.simulator.codec import parse_endpoint as parse_list_entry
from load_balancer.simulator.vocabulary import LIST_KINDS
from tests.transcript_simulation.days import DAYS
from tests.transcript_simulation.simulation import Simulation
from tests.transcript_simulation.wire import ACTION_PREFIX, LOG_PREFIX

DECISION_FILES = tuple(
    str(path)
    for path in sorted(Path(str(decisions.__file__)).parent.glob("*.py"))
    if path.stem not in ("__init__", "actions", "endpoint", "events", "settings")
)
# A constant of load shedding; the replay must notice a small change of it.
CHANGED_CONSTANT = (concurrency_limit, "LIMIT_DECREASE_STEPS")


class WireBalancer:
    """The balancer under test, which takes events and returns actions as wire lines."""

    def __init__(self, launch: str) -> None:
        """Start a balancer with the seed and the settings of a `launch` line."""
        fields = split_line(launch)[1]
        settings = parse_settings(fields["bootInfo"])
        self.balancer = Balancer(settings, int(fields["prng"]))
        self.version = initial_version(settings)

    def handle_lines(self, now_us: int, lines: list[str]) -> list[str]:
        """Handle one event, of several lines if it has a table; return the actions and log lines."""
        name, fields = split_line(lines[-1]) if not lines[-1].startswith("settings ") else ("settings", {})
        event: Any
        if name == "settings":
            settings = parse_settings(lines[-1].removeprefix("settings "))
            self.version = run_to_completion(next_version(self.version, settings))
            event = SettingsChanged(self.version)
        elif name == "registry":
            entries = (parse_list_entry(split_line(line)[1]) for line in lines[1:-1])
            event = EndpointListReceived(LIST_KINDS[fields["how"]], tuple(entries))
        else:
            event = PARSERS[name](fields)
        return [format_action(action) for action in self.balancer.handle(now_us, event)]


TRANSCRIPT_DIRECTORY = Path(__file__).parent / "transcripts"


class MismatchError(AssertionError):
    """The balancer's actions differ from the transcript; the message names the first such batch."""


# Replay


def read_events(lines: list[str]) -> Iterator[tuple[int, int, list[str], list[str]]]:
    """Yield for each event the number of its batch, the clock, its lines and the recorded actions."""
    batch, now_us, event = 0, 0, list[str]()
    for number, line in enumerate(lines):
        if line.startswith(ACTION_PREFIX):
            continue
        if line.startswith("begin_batch "):
            batch, now_us = batch + 1, int(line.rpartition("=")[2])
            continue
        event.append(line)
        if line.startswith(("inventory ", "host ")):
            continue
        next_number = number + 1
        while next_number < len(lines) and lines[next_number].startswith(ACTION_PREFIX):
            next_number += 1
        yield (
            batch,
            now_us,
            event,
            [line.removeprefix(ACTION_PREFIX) for line in lines[number + 1 : next_number]],
        )
        event = []


def replay(lines: list[str]) -> list[str]:
    """Feed a transcript's events to a new balancer and return its log lines.

    Raises:
        MismatchError: At the first event whose actions differ from the recorded ones.
    """
    balancer = WireBalancer(lines[0])
    log_lines: list[str] = []
    for batch, now_us, event, expected in read_events(lines[1:]):
        actions = balancer.handle_lines(now_us, event)
        log_lines += [line for line in actions if line.startswith(LOG_PREFIX)]
        actual = [line for line in actions if not line.startswith(LOG_PREFIX)]
        if actual != expected:
            location = f"batch {batch} at {now_us} us, after '{event[-1]}'"
            raise MismatchError(f"{location}: recorded {expected}, decided {actual}")
    return log_lines


def load_transcript(path: Path) -> list[str]:
    """Return the lines of a recorded transcript."""
    return gzip.decompress(path.read_bytes()).decode().splitlines()


def transcript_paths() -> list[Path]:
    """Return the paths of the recorded transcripts, sorted by name."""
    return sorted(TRANSCRIPT_DIRECTORY.glob("*.txt.gz"))


# The command


def record() -> None:
    """Write all transcripts again."""
    TRANSCRIPT_DIRECTORY.mkdir(exist_ok=True)
    for day in DAYS:
        text = "\n".join(Simulation(day, WireBalancer).run()) + "\n"
        data = gzip.compress(text.encode(), compresslevel=9, mtime=0)
        (TRANSCRIPT_DIRECTORY / f"{day.name}.txt.gz").write_bytes(data)
        print(f"{day.name}: {text.count(chr(10))} lines, {len(data)} bytes")


def check() -> None:
    """Replay all transcripts.

    Raises:
        MismatchError: A transcript's actions differ from the recorded ones.
    """
    for path in transcript_paths():
        replay(load_transcript(path))
        print(f"{path.name}: all actions as recorded")


def code_lines(path: str) -> set[int]:
    """Return the numbers of the lines with code in a module's functions."""
    line_numbers: set[int] = set()
    pending = [compile(Path(path).read_text(), path, "exec")]
    while pending:
        code = pending.pop()
        pending += [constant for constant in code.co_consts if hasattr(constant, "co_code")]
        if "__module__" not in code.co_names and code.co_name != "<module>":  # neither class nor module body
            line_numbers |= {
                number for _, _, number in code.co_lines() if number and number != code.co_firstlineno
            }
    return line_numbers


def coverage() -> None:
    """Print the share of the decision modules' lines that the replay runs, and the lines not run."""
    run_lines = {name: set[int]() for name in DECISION_FILES}

    def trace(frame: FrameType, kind: str, _: object) -> Any:
        lines = run_lines.get(frame.f_code.co_filename)
        if lines is not None and kind == "line":
            lines.add(frame.f_lineno)
        return trace if lines is not None else None

    sys.settrace(trace)
    for path in transcript_paths():
        replay(load_transcript(path))
    sys.settrace(None)
    for name, lines in run_lines.items():
        runnable = code_lines(name)
        share = len(runnable & lines) / len(runnable)
        print(f"{Path(name).name}: {share:.1%} of {len(runnable)} lines, not run: {sorted(runnable - lines)}")


if __name__ == "__main__":
    {"record": record, "check": check, "coverage": coverage}[sys.argv[1]]()
