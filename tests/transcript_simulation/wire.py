"""The wire vocabulary of the simulator, as far as the transcripts use it."""

from __future__ import annotations

from typing import Any, Protocol

LOG_PREFIX = "journal_line "  # begins the wire's log lines
ACTION_PREFIX = "> "  # before each action of a transcript
SECOND_US = 1_000_000  # microseconds

Json = dict[str, Any]


class WireBalancer(Protocol):
    """The balancer under test."""

    def handle_lines(self, now_us: int, lines: list[str]) -> list[str]:
        """Take one event, of several lines where it carries a table; returns all actions, log lines too."""


def format_line(name: str, **fields: object) -> str:
    """A wire line; a field that is None is left out."""
    return " ".join((name, *(f"{key}={value}" for key, value in fields.items() if value is not None)))
