"""The decisions are those of the recorded transcripts, and the transcripts cover what they should."""

from __future__ import annotations

import json
from collections import Counter
from functools import cache
from itertools import pairwise
from pathlib import Path

import pytest

from tests.decision_transcripts import LIMIT_CONSTANT, MismatchError, load, recorded, replay
from tests.transcript_simulation.days import DAYS
from tests.transcript_simulation.wire import LOG, MARK, Json

NAMES = [day.name for day in DAYS]
PATHS = recorded()
# The balancer never emits `snapshot`, `ask_load`, `hang_up` and `broadcast_to`.
ACTIONS = ("pass_on", "notify_me", "bounce", "surrender", "retract", "track")
EVENTS = ("incoming", "dropped", "streaming", "reminder", "pong", "inbox", "settings")
VERDICTS = ("200", "502", "429", "408", "521", "520", "444", "409")
LIST_EVENTS = ("diff", "snapshot", "disk", "error")
STATUSES = ("Ready", "Terminating", "Gone")


def fields_of(lines: list[str], name: str) -> list[dict[str, str]]:
    """The fields of all lines of one name."""
    found = [line for line in lines if line.startswith(f"{name} ")]
    return [dict(part.split("=", 1) for part in line.split()[1:]) for line in found]


@cache
def logged(path: Path) -> tuple[str, ...]:
    """The log lines of a replay in which every action was as recorded; a MismatchError is not kept."""
    return tuple(replay(load(path)))


def all_lines() -> list[str]:
    """The lines of all transcripts."""
    return [line for path in PATHS for line in load(path)]


def settings_of(path: Path) -> list[Json]:
    """A transcript's settings, in the order in which they were in force."""
    lines = load(path)
    first = json.loads(lines[0].partition(" bootInfo=")[2])
    changes = [line.removeprefix("settings ") for line in lines if line.startswith("settings ")]
    return [first, *map(json.loads, changes)]


def changes_between(before: Json, after: Json) -> list[str]:
    """What one change of the settings did, in words to count."""
    found: list[str] = []
    for kind in ("lanes", "tenants"):
        old = {each["name"]: each for each in before.get(kind, [])}
        new = {each["name"]: each for each in after.get(kind, [])}
        found += [f"{kind} added"] if new.keys() - old.keys() else []
        found += [f"{kind} removed"] if old.keys() - new.keys() else []
        found += [f"{kind} changed"] if any(old[n] != new[n] for n in old.keys() & new.keys()) else []
    return found + (["prices changed"] if before.get("prices") != after.get("prices") else [])


def test_every_day_has_its_transcript() -> None:
    assert sorted(NAMES) == [path.name.removesuffix(".txt.gz") for path in PATHS]


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.name)
def test_decisions_are_as_recorded(path: Path) -> None:
    logged(path)


def test_transcripts_hold_every_kind_of_event_and_action() -> None:
    lines = all_lines()
    names = Counter(line.split(" ", 1)[0] for line in lines if not line.startswith(MARK))
    actions = Counter(line.split(" ")[1] for line in lines if line.startswith(MARK))
    assert set(actions) == set(ACTIONS)
    assert all(actions[name] >= 20 for name in ACTIONS)
    assert all(names[name] >= 20 for name in EVENTS)
    assert MARK + LOG.strip() not in {line[: len(MARK + LOG) - 1] for line in lines}


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
    """A request that is refused without any attempt, as the very first answer to its arrival."""
    lines = all_lines()
    pairs = pairwise(lines)
    refused = sum(a.startswith("incoming ") and b.startswith(f"{MARK}bounce ") for a, b in pairs)
    assert refused >= 500


def test_transcripts_hold_breakers_that_open_and_close() -> None:
    """One closes only from half-open, and a cooldown is doubled only where one opens from half-open."""
    log = [line for path in PATHS for line in logged(path) if "circuit_breaker.changed" in line]
    assert sum("state=open" in line for line in log) >= 20
    assert sum("state=closed" in line for line in log) >= 10
    assert sum("cooldown_s=2.0" in line for line in log) >= 3
    assert sum("request_class=" in line for line in log) >= 1


def difference(path: Path) -> str:
    """Return how the replay of a transcript differs from it, empty if it does not."""
    try:
        replay(load(path))
    except MismatchError as error:
        return str(error)
    return ""


def test_a_small_change_of_a_constant_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    module, name = LIMIT_CONSTANT
    monkeypatch.setattr(module, name, 2.9)
    differences = [difference(path) for path in PATHS]
    noticed = [text for text in differences if text]
    assert all(text.startswith("batch ") for text in noticed)
    assert len(noticed) >= 2


def test_a_changed_line_is_named_by_its_batch() -> None:
    lines = load(PATHS[0])
    place = next(n for n, line in enumerate(lines) if line.startswith(f"{MARK}pass_on "))
    batch = sum(line.startswith("begin_batch ") for line in lines[:place])
    lines[place] += "0"
    with pytest.raises(MismatchError, match=rf"^batch {batch} at \d+ us, after 'incoming "):
        replay(lines)
