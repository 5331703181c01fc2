"""The part of the simulator's wire vocabulary that the transcripts use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

LOG_PREFIX = "journal_line "  # the start of a log line on the wire
ACTION_PREFIX = "> "  # the start of an action's line in a transcript
SECOND_US = 1_000_000

Json = dict[str, Any]
EventHandler = Callable[..., None]
"""Gives the balancer one event, as its wire lines, and applies the actions that it returns."""


class WireBalancer(Protocol):
    """The balancer under test, which takes events and returns actions as wire lines."""

    def handle_lines(self, now_us: int, lines: list[str]) -> list[str]:
        """Handle one event, of several lines if it has a table; return the actions and log lines."""


def format_line(name: str, **fields: object) -> str:
    """Return a wire line without the fields that are None."""
    return " ".join((name, *(f"{key}={value}" for key, value in fields.items() if value is not None)))
