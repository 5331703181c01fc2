"""The fleet of a run, and that load_balancer does not import the lab."""

from __future__ import annotations

import re
from pathlib import Path

from lab import fleet


def test_a_rack_is_in_one_zone_and_an_address_identifies_its_server() -> None:
    for number in range(4200):
        assert fleet.server_number(fleet.server_host(number)) == number
    zones: dict[int, set[str]] = {}
    for number in range(4200):
        zones.setdefault(fleet.rack_of(number), set()).add(fleet.zone_of(number))
    assert all(len(found) == 1 for found in zones.values())
    assert len(zones) == 4200 // fleet.SERVERS_PER_RACK


def test_the_package_never_imports_the_lab() -> None:
    sources = list((Path(__file__).parents[2] / "load_balancer").rglob("*.py"))
    assert sources
    assert not [p for p in sources if re.search(r"^\s*(from|import) lab\b", p.read_text(), re.M)]
