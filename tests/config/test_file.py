"""Loading of the configuration file: errors are one line, and a reload reuses equal objects."""

from __future__ import annotations

import copy
import json
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from load_balancer.config.errors import MAX_MESSAGE_LENGTH, ConfigError
from load_balancer.config.file import load_config, load_config_steps
from load_balancer.config.gateway_config import Config
from load_balancer.config.steps import ITEMS_PER_STEP, run_to_completion
from tests.config.examples import INVALID_FILES, VALID, load, with_tenants

JsonPath = tuple[Any, ...]


def paths_within(value: Any, path: JsonPath = ()) -> Iterator[JsonPath]:
    keys: Any = value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ()
    for key in keys:
        yield (*path, key)
        yield from paths_within(value[key], (*path, key))


PATHS = list(paths_within(VALID))
NUMBERS: list[Any] = [0, -1, 7, 0.5, 1e300, 10**400, float("nan"), float("-inf")]
STRINGS = ["", "odd\n", "\ud800", "9" * 5000 + ":9", "h:" + "9" * 5000, "-1f", "1e5", "99999999999999999999"]
UNUSUAL_VALUES = [None, True, *NUMBERS, *STRINGS, [], {}, [{}], [[]], {"a": 1}]


@st.composite
def mutated_files(draw: st.DrawFn) -> str | bytes:
    document = copy.deepcopy(VALID)
    for _ in range(draw(st.integers(0, 3))):
        *parents, last_key = draw(st.sampled_from(PATHS))
        container = document
        try:
            for key in parents:
                container = container[key]
            match draw(st.sampled_from(["put", "drop", "twice"])):
                case "drop":
                    del container[last_key]
                case "twice" if isinstance(container, list):
                    container.append(container[last_key])
                case _:
                    container[last_key] = copy.deepcopy(draw(st.sampled_from(UNUSUAL_VALUES)))
        except (KeyError, IndexError, TypeError):
            continue  # an earlier mutation removed it
    text = json.dumps(document).encode()
    if draw(st.integers(0, 3)):
        return text
    offset = draw(st.integers(0, len(text)))
    return text[:offset] + draw(
        st.sampled_from([b"", b"NaN", b"\xff", b"[" * 5000, b"{}" + text[offset:], text[offset + 1 :]])
    )


@given(mutated_files())
@hypothesis_settings(max_examples=400, deadline=None, derandomize=True)
def test_any_file_content_is_a_valid_configuration_or_a_one_line_error(text: str | bytes) -> None:
    previous = load(json.dumps(VALID))
    try:
        config = load(text)
    except ConfigError as error:
        message = str(error)
        assert message.isprintable()
        assert len(message) < MAX_MESSAGE_LENGTH + 100
        with pytest.raises(ConfigError):
            load(text, previous)
    else:
        reread = load(text, previous)  # a reload gives the same configuration as a start
        assert replace(config, cached_endpoint_list={}) == reread


@pytest.fixture(scope="module")
def thousand_tenants() -> Config:
    return load(json.dumps(with_tenants(1_000)))


def with_one_tenant_changed() -> dict[str, Any]:
    document = with_tenants(1_000)
    document["settings"]["tenants"][3]["allowancePerS"] = 77
    return document


def test_equal_settings_reuse_the_previous_objects(thousand_tenants: Config) -> None:
    previous = thousand_tenants
    reloaded = load(json.dumps(with_tenants(1_000) | {"discovery": "127.0.0.9:1"}), previous)
    assert reloaded.settings is previous.settings
    assert reloaded.settings_digest == previous.settings_digest
    assert reloaded.names is previous.names
    assert reloaded.discovery == ("127.0.0.9", 1)


def test_a_changed_tenant_is_the_only_new_object(thousand_tenants: Config) -> None:
    previous = thousand_tenants
    config = load(json.dumps(with_one_tenant_changed()), previous)
    assert config.settings_digest != previous.settings_digest
    assert config.settings != previous.settings
    assert config.settings.classes is previous.settings.classes
    reused = [new is old for new, old in zip(config.settings.tenants, previous.settings.tenants, strict=True)]
    assert reused.count(False) == 1
    assert not reused[3]
    for field in ("classes", "tenants", "zones", "endpoint_kinds"):
        assert getattr(config.names, field) is getattr(previous.names, field)


def test_reordered_tenants_reuse_the_previous_objects(thousand_tenants: Config) -> None:
    document = with_one_tenant_changed()
    previous = load(json.dumps(document), thousand_tenants)
    document["settings"]["tenants"].reverse()
    config = load(json.dumps(document), previous)
    assert all(
        new is old for new, old in zip(config.settings.tenants, previous.settings.tenants[::-1], strict=True)
    )


def test_reading_yields_between_short_steps(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(with_tenants(10 * ITEMS_PER_STEP)))
    assert len(list(load_config_steps({"ROUTER_CONFIG": str(path)}))) > 10


def test_a_reload_ignores_the_override_of_the_discovery_address(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID))
    overrides = {"ROUTER_DISCOVERY": "127.0.0.8:1", "ROUTER_LISTEN": "127.0.0.8:2", "ROUTER_NAME": "n8"}
    environ = {"ROUTER_CONFIG": str(path), **overrides}
    first = load_config(environ)
    reread = run_to_completion(load_config_steps(environ, first))
    assert (first.discovery, reread.discovery) == (("127.0.0.8", 1), ("127.0.0.2", 8500))
    assert (first.name, first.listen) == (reread.name, reread.listen) == ("n8", ("127.0.0.8", 2))


@pytest.mark.parametrize(("text", "message"), INVALID_FILES, ids=range(len(INVALID_FILES)))
def test_an_invalid_file_is_a_one_line_error_with_path_and_expectation(
    text: bytes, message: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_bytes(text)
    with pytest.raises(ConfigError) as error:
        load_config({"ROUTER_CONFIG": str(path)})
    assert str(error.value).startswith(f"{path}")
    assert message in str(error.value)


def test_a_file_above_the_size_limit_is_not_read(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    with path.open("wb") as file:
        file.truncate(64 * 1024 * 1024)
    with pytest.raises(ConfigError, match="too large"):
        next(load_config_steps({"ROUTER_CONFIG": str(path)}))
