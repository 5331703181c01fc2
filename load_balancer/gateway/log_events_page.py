"""The page docs/events.md, made from the registry of log events."""

from __future__ import annotations

from collections.abc import Sequence
from logging import getLevelName

from load_balancer.gateway.log_events import (
    EVENTS,
    FIELDS,
    MAX_COUNTED_KEYS,
    RENAMED_EVENTS,
    RENAMED_FIELDS,
    RegisteredEvent,
)

INTRODUCTION = f"""# What the gateway logs

One line an event on standard error. With `ROUTER_LOG=json` a line is one JSON object: `time` (UTC), `level`,
`event` and the event's fields. Otherwise it is the local time, the level and the sentence below, then the
fields that the sentence does not hold, as `key=value`; a traceback stands below its line. What ends a start
is written with neither time nor level in the text form.

An event is written at once. What repeats within a second, that is the same event with the same values of the
fields under "counted by", is counted and written at the end of that second, once, with the fields of the last
and `repeated`; so it goes on, one line a second, until a second is without. {MAX_COUNTED_KEYS} such counts
are kept at a time; what is beyond them is counted by event and written once a second as `log.overflow`. What
is counted when the process ends is written then. Every event may carry `repeated`, and an error of the
gateway's own `exception`.

This page is made by `python -m load_balancer.gateway.event_log`; a test compares the two.
"""
RENAMING = """## Renamed

Events and fields that earlier versions logged by other names.
"""


def render_page() -> str:
    """Return the text of docs/events.md."""
    events = [_event_row(event) for event in EVENTS.values()]
    fields = [(_code(name), meaning) for name, meaning in FIELDS.items()]
    renamed = [(_code(old), _code(new)) for old, new in (RENAMED_EVENTS | RENAMED_FIELDS).items()]
    tables = (
        _table(("event", "level", "sentence", "when", "fields", "counted by"), events),
        _table(("field", "what it holds"), fields),
        f"{RENAMING}\n{_table(('old name', 'new name'), renamed)}",
    )
    return "\n".join((INTRODUCTION, *tables))


def _event_row(event: RegisteredEvent) -> tuple[str, ...]:
    return (
        _code(event.name),
        getLevelName(event.level).lower(),
        _code(event.sentence),
        event.meaning,
        _code_list(event.fields),
        _code_list(event.key),
    )


def _code_list(names: tuple[str, ...]) -> str:
    return ", ".join(map(_code, names)) or "-"


def _code(text: str) -> str:
    return f"`{text}`"


def _table(header: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = [header, ("---",) * len(header), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)
