"""Expects the tests that KNOWN-RED.txt lists to fail; pytest prints them after the run (`-rx`)."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

KNOWN_FAILURES = Path(__file__).parents[1] / "KNOWN-RED.txt"
ENTRY = re.compile(r"^ +test: (\S+)", re.MULTILINE)


def known_failures(text: str) -> set[str]:
    """Return the ids of the tests that a list of known failures names."""
    return set(ENTRY.findall(text))


def is_known_failure(node_id: str, known: set[str]) -> bool:
    """Return whether a test is listed, by its own id or by that of all its parameters."""
    return node_id in known or node_id.partition("[")[0] in known


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes fails the run, so that it is taken off the list."""
    known = known_failures(KNOWN_FAILURES.read_text())
    for item in items:
        if is_known_failure(item.nodeid, known):
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))
