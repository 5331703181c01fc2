"""The check, show and diff commands: their output and exit codes."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

import load_balancer
from load_balancer.cli import cli
from load_balancer.config.errors import ConfigError
from load_balancer.config.file import load_config
from tests.config.examples import EXAMPLE, INVALID_FILES, VALID, load


def run_command(*arguments: object) -> Result:
    return CliRunner().invoke(cli, list(map(str, arguments)))


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "config.json"


@pytest.fixture
def document() -> dict[str, Any]:
    """Return a copy of the valid document, which a test may change."""
    return copy.deepcopy(VALID)


@pytest.mark.parametrize(("text", "message"), INVALID_FILES, ids=range(len(INVALID_FILES)))
def test_check_prints_the_error_that_a_start_would_report(text: bytes, message: str, path: Path) -> None:
    path.write_bytes(text)
    with pytest.raises(ConfigError) as error:
        load_config({"ROUTER_CONFIG": str(path)})
    assert message in str(error.value)
    result = run_command("check", "--most", 1, path)
    assert (result.exit_code, result.stdout) == (2, "")
    assert result.stderr == f"load_balancer: {error.value}\n"


def test_check_exits_with_2_for_a_directory_and_for_a_missing_file(tmp_path: Path) -> None:
    assert run_command("check", tmp_path).exit_code == run_command("check", tmp_path / "none").exit_code == 2


def test_check_accepts_a_valid_file() -> None:
    assert run_command("check", EXAMPLE).exit_code == 0


def test_check_prints_the_first_errors(path: Path, document: dict[str, Any]) -> None:
    document["settings"]["lanes"][1]["aimUs"] = -1
    document["settings"]["caps"] |= {"peers": "no", "multiplex": 0}
    document["settings"]["tenants"][0] = {}
    document["limits"] = []
    path.write_text(json.dumps(document))
    errors = run_command("check", path).stderr.splitlines()
    for location in ("limits", "caps.multiplex", "caps.peers", "lanes[1].aimUs", "tenants[0].name"):
        (line,) = [line for line in errors if f"{location}: " in line]
        assert "expected" in line
    assert len(errors) == 5
    assert run_command("check", "--most", 2, path).stderr.splitlines() == errors[:2]


@pytest.fixture
def minimal_file(path: Path) -> Path:
    """Write a file with the required fields only and return its path."""
    minimal = {key: VALID[key] for key in ("name", "listen", "discovery")}
    path.write_text(json.dumps(minimal | {"settings": {"lanes": [{"name": "a", "giveUpUs": 9.0}]}}))
    return path


def test_show_prints_every_default(minimal_file: Path) -> None:
    shown = json.loads(run_command("show", minimal_file).stdout)
    assert shown["settings"]["lanes"][0]["aimUs"] == 9
    assert shown["limits"] == {"sockets": 1024, "memory_mb": 128}
    assert shown["settings"]["contract"]["mustAskInUs"] == 10_000_000


def test_show_prints_a_file_of_the_same_configuration(minimal_file: Path) -> None:
    for file in (minimal_file, EXAMPLE):
        reread = load(run_command("show", file).stdout)
        assert replace(reread, settings_digest="", cached_endpoint_list={}) == replace(
            load(file.read_bytes()), settings_digest="", cached_endpoint_list={}
        )


def test_diff_of_a_file_with_itself_lists_no_changes() -> None:
    output = run_command("diff", EXAMPLE, EXAMPLE).stdout.splitlines()
    assert output == [
        "request classes: 0 added, 0 removed, 0 changed, 3 unchanged",
        "tenants: 0 added, 0 removed, 0 changed, 2 unchanged",
    ]


@pytest.fixture
def changed_document(document: dict[str, Any]) -> dict[str, Any]:
    """Return the valid document with one class added, one changed, one tenant removed, and other changes."""
    classes, tenants = document["settings"]["lanes"], document["settings"]["tenants"]
    classes[2]["aimUs"] = 500_000
    classes.insert(0, {"name": "list-stops", "giveUpUs": 5})  # changes the index of all other classes
    del tenants[0]
    document["settings"]["caps"]["maxAttempts"] = 3
    document["limits"]["memory_mb"] = 96
    return document | {"seed": "1", "discovery": "127.0.0.3:1"}


def test_diff_lists_changes_and_whether_state_is_reset(path: Path, changed_document: dict[str, Any]) -> None:
    path.write_text(json.dumps(changed_document))
    lines = run_command("diff", EXAMPLE, path).stdout.splitlines()
    assert lines == [
        "request classes: 1 added, 0 removed, 1 changed, 2 unchanged",
        "  + list-stops",
        "  ~ buy-ticket: aimUs 600000 -> 500000; its state is reset",
        "tenants: 0 added, 1 removed, 0 changed, 1 unchanged",
        "  - harbour-line: its state is discarded",
        "other settings, applied immediately:",
        "  ~ caps.maxAttempts 4 -> 3",
        "applied immediately:",
        '  ~ discovery "127.0.0.2:8500" -> "127.0.0.3:1"',
        '  ~ peers [] -> ["127.0.0.1:2"]',
        "  ~ limits.memory_mb 192 -> 96",
        "applied at the next start only:",
        '  ~ seed "5eed" -> "1"',
    ]


def test_diff_lists_settings_that_need_a_restart(path: Path, changed_document: dict[str, Any]) -> None:
    settings = changed_document["settings"]
    settings["zones"] = [*settings.get("zones", []), "another"]
    path.write_text(json.dumps(changed_document | {"limits": {"sockets": 200}}))
    prefix = "rejected by a gateway running with OLD; these settings need a restart: "
    last_line = run_command("diff", EXAMPLE, path).stdout.splitlines()[-1]
    assert last_line == prefix + "limits.sockets, settings.zones"


def test_diff_exits_with_2_for_an_invalid_file(path: Path) -> None:
    path.write_text("{")
    assert run_command("diff", EXAMPLE, path).exit_code == 2


def test_version_is_printed() -> None:
    assert run_command("--version").stdout.split() == ["load_balancer,", "version", load_balancer.__version__]


def test_help_describes_commands_variables_and_signals() -> None:
    text = run_command("--help").stdout
    assert all(word in text for word in ("check", "show", "diff", "ROUTER_CONFIG", "SIGHUP", "SIGTERM"))
    for name in ("check", "show", "diff"):
        assert run_command(name, "--help").exit_code == 0


def test_a_gateway_starts_without_importing_click() -> None:
    code = "import sys, load_balancer.__main__; sys.exit('click' in sys.modules)"
    subprocess.run([sys.executable, "-c", code], check=True)
