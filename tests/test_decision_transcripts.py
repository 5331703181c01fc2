"""Tests that the decisions equal the recorded transcripts, and of what the transcripts cover."""

from __future__ import annotations

import json
from collections import Counter
from functools import cache
from itertools import pairwise
from pathlib import Path

import pytest

from tests.decision_transcripts import (
    CHANGED_CONSTANT,
    MismatchError,
    load_transcript,
    replay,
    transcript_paths,
)
from tests.transcript_simulation.days import DAYS
from tests.transcript_simulation.wire import ACTION_PREFIX, LOG_PREFIX, Json

NAMES = [day.name for day in DAYS]
PATHS = transcript_paths()
# The balancer never emits `snapshot`, `ask_load`, `hang_up` and `broadcast_to`.
ACTIONS = ("pass_on", "notify_me", "bounce", "surrender", "retract", "track")
EVENTS = ("incoming", "dropped", "streaming", "reminder", "pong", "inbox", "settings")
VERDICTS = ("200", "502", "429", "408", "521", "520", "444", "409")
LIST_EVENTS = ("diff", "snapshot", "disk", "error")
STATUSES = ("Ready", "Terminating", "Gone")


def fields_of(lines: list[str], name: str) -> list[dict[str, str]]:
    """Return the fields of each line with the given name."""
    matching = [line for line in lines if line.startswith(f"{name} ")]
    return [dict(part.split("=", 1) for part in line.split()[1:]) for line in matching]


@cache
def replay_log(path: Path) -> tuple[str, ...]:
    """Return the log lines of a replay, from the cache after the first call unless that raised an error."""
    return tuple(replay(load_transcript(path)))


def all_lines() -> list[str]:
    """Return the lines of all transcripts."""
    return [line for path in PATHS for line in load_transcript(path)]


def settings_of(path: Path) -> list[Json]:
    """Return a transcript's settings, in the order in which they were in force."""
    lines = load_transcript(path)
    first = json.loads(lines[0].partition(" bootInfo=")[2])
    changes = [line.removeprefix("settings ") for line in lines if line.startswith("settings ")]
    return [first, *map(json.loads, changes)]


def changes_between(current: Json, changed: Json) -> list[str]:
    """Return the kinds of differences between two settings, one text for each kind."""
    changes: list[str] = []
    for kind in ("lanes", "tenants"):
        old = {each["name"]: each for each in current.get(kind, [])}
        new = {each["name"]: each for each in changed.get(kind, [])}
        changes += [f"{kind} added"] if new.keys() - old.keys() else []
        changes += [f"{kind} removed"] if old.keys() - new.keys() else []
        changes += [f"{kind} changed"] if any(old[n] != new[n] for n in old.keys() & new.keys()) else []
    return changes + (["prices changed"] if current.get("prices") != changed.get("prices") else [])


def test_every_day_has_its_transcript() -> None:
    assert sorted(NAMES) == [path.name.removesuffix(".txt.gz") for path in PATHS]


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.name)
def test_decisions_are_as_recorded(path: Path) -> None:
    replay_log(path)


def test_transcripts_hold_every_kind_of_event_and_action() -> None:
    lines = all_lines()
    event_counts = Counter(line.split(" ", 1)[0] for line in lines if not line.startswith(ACTION_PREFIX))
    action_counts = Counter(line.split(" ")[1] for line in lines if line.startswith(ACTION_PREFIX))
    assert set(action_counts) == set(ACTIONS)
    assert all(action_counts[name] >= 20 for name in ACTIONS)
    assert all(event_counts[name] >= 20 for name in EVENTS)
    assert ACTION_PREFIX + LOG_PREFIX.strip() not in {
        line[: len(ACTION_PREFIX + LOG_PREFIX) - 1] for line in lines
    }


def test_transcripts_hold_every_outcome_and_list_event() -> None:
    lines = all_lines()
    outcomes = Counter(fields["verdict"] for fields in fields_of(lines, "outcome"))
    lists = Counter(fields["how"] for fields in fields_of(lines, "registry"))
    statuses = Counter(fields["status"] for fields in fields_of(lines, "host"))
    assert all(outcomes[verdict] >= 5 for verdict in VERDICTS)
    assert all(lists[how] >= 1 for how in LIST_EVENTS)
    assert all(statuses[status] >= 10 for status in STATUSES)
    assert sum("pressure" in fields for fields in fields_of(lines, "outcome")) >= 500


def test_transcripts_hold_every_change_of_the_settings() -> None:
    found: Counter[str] = Counter()
    for path in PATHS:
        settings = settings_of(path)
        for before, after in pairwise(settings):
            found.update(changes_between(before, after))
    kinds = {f"{kind} {how}" for kind in ("lanes", "tenants") for how in ("added", "removed", "changed")}
    assert set(found) == kinds | {"prices changed"}
    assert all(count >= 5 for count in found.values())


def test_transcripts_hold_shed_requests() -> None:
    """A shed request is rejected without any attempt: the rejection is the first action on its arrival."""
    lines = all_lines()
    pairs = pairwise(lines)
    rejected = sum(a.startswith("incoming ") and b.startswith(f"{ACTION_PREFIX}bounce ") for a, b in pairs)
    assert rejected >= 500


def test_transcripts_hold_breakers_that_open_and_close() -> None:
    """A breaker closes only from half-open, and its cooldown doubles only when it reopens from half-open."""
    log_lines = [line for path in PATHS for line in replay_log(path) if "circuit_breaker.changed" in line]
    assert sum("state=open" in line for line in log_lines) >= 20
    assert sum("state=closed" in line for line in log_lines) >= 10
    assert sum("cooldown_s=2.0" in line for line in log_lines) >= 3
    assert sum("request_class=" in line for line in log_lines) >= 1


def difference(path: Path) -> str:
    """Return how the replay of a transcript differs from it, empty if it does not."""
    try:
        replay(load_transcript(path))
    except MismatchError as error:
        return str(error)
    return ""


def test_a_small_change_of_a_constant_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    module, name = CHANGED_CONSTANT
    monkeypatch.setattr(module, name, 2.9)
    differences = [difference(path) for path in PATHS]
    noticed = [text for text in differences if text]
    assert all(text.startswith("batch ") for text in noticed)
    assert len(noticed) >= 2


def test_a_changed_line_is_named_by_its_batch() -> None:
    lines = load_transcript(PATHS[0])
    index = next(n for n, line in enumerate(lines) if line.startswith(f"{ACTION_PREFIX}pass_on "))
    batch = sum(line.startswith("begin_batch ") for line in lines[:index])
    lines[index] += "0"
    with pytest.raises(MismatchError, match=rf"^batch {batch} at \d+ us, after 'incoming "):
        replay(lines)
