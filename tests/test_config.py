"""The configuration file: whatever stands in it, a configuration or one line; what is equal is kept."""

from __future__ import annotations

import copy
import json
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

import load_balancer
from load_balancer.cli import command
from load_balancer.config.file import CONFIG_LIMIT, Config, ConfigError, load_config, read_steps
from load_balancer.config.reader import LINE_LIMIT, STEP, run_to_completion
from tests.sockets import entry
from tests.gateway.test_process_start import INVALID_CONFIGURATIONS

EXAMPLE = Path(__file__).parent.parent / "deploy" / "example.json"
VALID = json.loads(EXAMPLE.read_text())
VALID["known"]["endpoints"] = [entry("h0", "127.0.0.1:1")]
VALID["peers"] = ["127.0.0.1:2"]


def load(text: str | bytes, before: Config | None = None) -> Config:
    with tempfile.NamedTemporaryFile() as file:
        file.write(text if isinstance(text, bytes) else text.encode("utf-8", "surrogatepass"))
        file.flush()
        environ = {"ROUTER_CONFIG": file.name}
        return run_to_completion(read_steps(environ, before)) if before else load_config(environ)


def places(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    keys: Any = value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ()
    for key in keys:
        yield (*path, key)
        yield from places(value[key], (*path, key))


PLACES = list(places(VALID))
NUMBERS: list[Any] = [0, -1, 7, 0.5, 1e300, 10**400, float("nan"), float("-inf")]
TEXTS = ["", "odd\n", "\ud800", "9" * 5000 + ":9", "h:" + "9" * 5000, "-1f", "1e5", "99999999999999999999"]
ODD = [None, True, *NUMBERS, *TEXTS, [], {}, [{}], [[]], {"a": 1}]


@st.composite
def mutated(draw: st.DrawFn) -> str | bytes:
    raw = copy.deepcopy(VALID)
    for _ in range(draw(st.integers(0, 3))):
        *way, last = draw(st.sampled_from(PLACES))
        inner = raw
        try:
            for key in way:
                inner = inner[key]
            match draw(st.sampled_from(["put", "drop", "twice"])):
                case "drop":
                    del inner[last]
                case "twice" if isinstance(inner, list):
                    inner.append(inner[last])
                case _:
                    inner[last] = copy.deepcopy(draw(st.sampled_from(ODD)))
        except (KeyError, IndexError, TypeError):
            continue  # an earlier change took it away
    text = json.dumps(raw).encode()
    if draw(st.integers(0, 3)):
        return text
    at = draw(st.integers(0, len(text)))
    return text[:at] + draw(
        st.sampled_from([b"", b"NaN", b"\xff", b"[" * 5000, b"{}" + text[at:], text[at + 1 :]])
    )


@given(mutated())
@examples(max_examples=400, deadline=None, derandomize=True)
def test_whatever_stands_in_the_file_is_a_configuration_or_one_line(text: str | bytes) -> None:
    before = load(json.dumps(VALID))
    try:
        config = load(text)
    except ConfigError as error:
        assert str(error).isprintable() and len(str(error)) < LINE_LIMIT + 100
        with pytest.raises(ConfigError):
            load(text, before)
    else:
        again = load(text, before)  # reading beside a configuration gives what reading alone does
        assert replace(config, known={}) == again


def one_tenant_changed(tenants: int) -> tuple[dict[str, Any], dict[str, Any]]:
    raw = copy.deepcopy(VALID)
    raw["settings"]["tenants"] = [{"name": f"t{n}", "allowancePerS": n} for n in range(tenants)]
    new = copy.deepcopy(raw)
    new["settings"]["tenants"][3]["allowancePerS"] = 77
    return raw, new


def test_what_is_equal_is_kept_as_the_same_objects() -> None:
    raw, new = one_tenant_changed(1_000)
    before = load(json.dumps(raw))
    same, after = load(json.dumps(raw | {"discovery": "127.0.0.9:1"}), before), load(json.dumps(new), before)
    assert same.settings is before.settings and same.content == before.content
    assert same.names is before.names and same.discovery == ("127.0.0.9", 1)
    assert after.content != before.content and after.settings != before.settings
    assert after.settings.classes is before.settings.classes
    kept = [now is was for now, was in zip(after.settings.tenants, before.settings.tenants, strict=True)]
    assert kept.count(False) == 1 and not kept[3]
    for field in ("classes", "tenants", "zones", "kinds"):
        assert getattr(after.names, field) is getattr(before.names, field)
    new["settings"]["tenants"].reverse()
    turned = load(json.dumps(new), after)
    assert all(
        now is was for now, was in zip(turned.settings.tenants, after.settings.tenants[::-1], strict=True)
    )


def test_a_read_lets_others_run_between_few_items(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    raw, _ = one_tenant_changed(10 * STEP)
    path.write_text(json.dumps(raw))
    assert len(list(read_steps({"ROUTER_CONFIG": str(path)}))) > 10


def test_a_reload_follows_the_file_where_a_start_follows_the_environment(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID))
    told = {"ROUTER_DISCOVERY": "127.0.0.8:1", "ROUTER_LISTEN": "127.0.0.8:2", "ROUTER_NAME": "n8"}
    environ = {"ROUTER_CONFIG": str(path), **told}
    first = load_config(environ)
    again = run_to_completion(read_steps(environ, first))
    assert (first.discovery, again.discovery) == (("127.0.0.8", 1), ("127.0.0.2", 8500))
    assert (first.name, first.listen) == (again.name, again.listen) == ("n8", ("127.0.0.8", 2))


# The command line


def call(*arguments: object) -> Result:
    return CliRunner().invoke(command, list(map(str, arguments)))


CUT = EXAMPLE.read_bytes().partition(b'"multiplex"')[0]
FILES = [
    (CUT, f"not JSON: it ends in the middle at byte {len(CUT)}, in settings.caps"),
    (b'{"seed": NaN}', "seed: expected a finite number, got NaN"),
    (b'{"settings": {}, "name": "\xff"}', "name: expected text in Unicode"),
    (b'{"seed": "\\ud800", "settings": {}}', "in seed; expected an object"),
    (b"\xff\xfe\x00" * 1000, "not JSON: invalid character at byte 0; expected an object"),
    (b"[" * 1_000_000, "nested too deep; expected an object"),
    (b"[" * 5_000 + b"]" * 5_000, "nested too deep; expected an object"),
    (b"{" * (CONFIG_LIMIT + 1), f"is too large: expected at most {CONFIG_LIMIT} bytes"),
    *((json.dumps(raw).encode(), named) for raw, named in INVALID_CONFIGURATIONS if raw != ""),
]


@pytest.mark.parametrize(("text", "named"), FILES, ids=range(len(FILES)))
def test_each_kind_of_bad_file_is_one_line_that_names_path_and_expectation(
    text: bytes, named: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(text)
    with pytest.raises(ConfigError) as error:
        load_config({"ROUTER_CONFIG": str(path)})
    assert str(error.value).startswith(f"{path}") and named in str(error.value)
    done = call("check", "--most", 1, path)
    assert (done.exit_code, done.stdout) == (2, "")
    assert done.stderr == f"load_balancer: {error.value}\n"


def test_rubbish_of_64_mb_is_not_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    with path.open("wb") as file:
        file.truncate(64 * 1024 * 1024)
    with pytest.raises(ConfigError, match="too large"):
        next(read_steps({"ROUTER_CONFIG": str(path)}))
    assert call("check", tmp_path).exit_code == call("check", tmp_path / "none").exit_code == 2


def test_check_names_the_first_faults_and_passes_what_is_good(tmp_path: Path) -> None:
    assert call("check", EXAMPLE).exit_code == 0
    path, raw = tmp_path / "config.json", copy.deepcopy(VALID)
    raw["settings"]["lanes"][1]["aimUs"] = -1
    raw["settings"]["caps"] |= {"peers": "no", "multiplex": 0}
    raw["settings"]["tenants"][0] = {}
    raw["limits"] = []
    path.write_text(json.dumps(raw))
    faults = call("check", path).stderr.splitlines()
    for place in ("limits", "caps.multiplex", "caps.peers", "lanes[1].aimUs", "tenants[0].name"):
        (line,) = [line for line in faults if f"{place}: " in line]
        assert "expected" in line
    assert len(faults) == 5 and call("check", "--most", 2, path).stderr.splitlines() == faults[:2]


def test_show_writes_every_default_out_and_is_the_same_configuration(tmp_path: Path) -> None:
    short = {key: VALID[key] for key in ("name", "listen", "discovery")}
    path, raw = tmp_path / "config.json", short | {"settings": {"lanes": [{"name": "a", "giveUpUs": 9.0}]}}
    path.write_text(json.dumps(raw))
    shown = json.loads(call("show", path).stdout)
    assert shown["settings"]["lanes"][0]["aimUs"] == 9 and shown["limits"] == {"sockets": 1024}
    assert shown["settings"]["contract"]["mustAskInUs"] == 10_000_000
    for file in (path, EXAMPLE):
        again = load(call("show", file).stdout)
        assert replace(again, content="", known={}) == replace(load(file.read_bytes()), content="", known={})


def test_diff_names_what_is_touched_and_what_starts_anew(tmp_path: Path) -> None:
    path, raw = tmp_path / "new.json", copy.deepcopy(VALID)
    lanes, tenants = raw["settings"]["lanes"], raw["settings"]["tenants"]
    lanes[2]["aimUs"] = 500_000
    lanes.insert(0, {"name": "list-stops", "giveUpUs": 5})  # every other one has another place
    del tenants[0]
    raw["settings"]["caps"]["maxAttempts"] = 3
    raw |= {"seed": "1", "discovery": "127.0.0.3:1"}
    path.write_text(json.dumps(raw))
    same = call("diff", EXAMPLE, EXAMPLE).stdout.splitlines()
    assert same == [
        "routes: 0 added, 0 removed, 0 changed, 3 as before",
        "tenants: 0 added, 0 removed, 0 changed, 2 as before",
    ]
    lines = call("diff", EXAMPLE, path).stdout.splitlines()
    assert lines == [
        "routes: 1 added, 0 removed, 1 changed, 2 as before",
        "  + list-stops",
        "  ~ buy-ticket: aimUs 600000 -> 500000; its state starts anew",
        "tenants: 0 added, 1 removed, 0 changed, 1 as before",
        "  - harbour-line: its state is dropped",
        "other settings, in force at once:",
        "  ~ caps.maxAttempts 4 -> 3",
        "in force at once:",
        '  ~ discovery "127.0.0.2:8500" -> "127.0.0.3:1"',
        '  ~ peers [] -> ["127.0.0.1:2"]',
        "only at the next start:",
        '  ~ seed "5eed" -> "1"',
    ]
    raw["settings"]["zones"] = [*raw["settings"].get("zones", []), "another"]
    path.write_text(json.dumps(raw | {"limits": {"sockets": 200}}))
    refused = "refused by a gateway that runs with OLD, as only a new process can change it: "
    last = call("diff", EXAMPLE, path).stdout.splitlines()[-1]
    assert last == refused + "limits.sockets, settings.zones"
    path.write_text("{")
    assert call("diff", EXAMPLE, path).exit_code == 2


def test_the_command_line_tells_its_version_and_how_to_use_it() -> None:
    assert call("--version").stdout.split() == ["load_balancer,", "version", load_balancer.__version__]
    text = call("--help").stdout
    assert all(word in text for word in ("check", "show", "diff", "ROUTER_CONFIG", "SIGHUP", "SIGTERM"))
    for name in ("check", "show", "diff"):
        assert call(name, "--help").exit_code == 0


def test_a_gateway_starts_without_the_command_line() -> None:
    code = "import sys, load_balancer.__main__; sys.exit('click' in sys.modules)"
    subprocess.run([sys.executable, "-c", code], check=True)
