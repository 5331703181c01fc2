"""Errors in scenario files name the key and what was expected."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.lab.model.support import RELEASE, TINY, call_lab


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("gateways = 2", 'gateways = "two"', "fleet.gateways: expected int, got str"),
        ("gateways = 2\n", "", "fleet.gateways: expected a value, but there is none"),
        ("servers = 4", "servers = 0", "fleet.servers: expected int >= 1"),
        (
            "servers = 4",
            "servers = 4\nserverz = 4",
            "fleet.serverz: expected one of the keys gateways, servers, regions, machines",
        ),
        ("errors = 0.1", "errors = nan", "fleet.errors: expected a finite number, got nan"),
        (
            "[20.0, 40.0]",
            "[40.0, 20.0]",
            "traffic.classes[0].work_ms: expected [least, most], got [40.0, 20.0]",
        ),
        ("share = 0.6", "share = 0.7", "traffic.classes: expected shares that add up to 1"),
        ('"unsafe"', '"rash"', "traffic.classes[1].effect: expected one of safe, keyed, unsafe"),
        ("seconds = 10.0", "seconds = 3", "seconds: expected at least 10, got 3.0"),
        ('kind = "release"', 'kind = "flood"', "troubles[0].kind: expected one of slow, silent, lost"),
        ("at_s = 2.0", 'at_s = "soon"', "troubles[0].at_s: expected float, got str"),
        ("at_s = 2.0", "at_s = 20.0", "troubles[0].at_s: expected less than seconds, 10.0, got 20.0"),
        ("waves = 1", "wavez = 1", "troubles[0].wavez: expected one of the keys at_s, for_s, part, waves"),
        ("[fleet]", "[fleet", "expected TOML: "),
    ],
)
def test_a_scenario_error_names_the_key_and_what_was_expected(
    old: str, new: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "scenario.toml"
    assert old in TINY + RELEASE
    path.write_text((TINY + RELEASE).replace(old, new))
    assert call_lab("run", str(path), "--out", str(tmp_path / "out")) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"lab: scenario.toml: {expected}")
