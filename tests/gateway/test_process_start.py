"""The start of the process: its configuration, its exit codes and its memory."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import socket
import subprocess
import sys
import tracemalloc
from pathlib import Path
from typing import Any

import pytest

from load_balancer.__main__ import serve
from load_balancer.config.file import load_config
from load_balancer.gateway import upstream_pool
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.discovery_messages import DiscoveredEndpoint
from load_balancer.simulator.codec import parse_settings
from tests.gateway.configurations import configuration, settings
from tests.gateway.process_helpers import run_process


def without(key: str) -> dict[str, Any]:
    raw = configuration({}, "127.0.0.1:1")
    del raw[key]
    return raw


def with_settings(**changed: Any) -> dict[str, Any]:
    return configuration({}, "127.0.0.1:1", settings={**settings(), **changed})


DUPLICATE_TENANTS = [{"name": "t"}, {"name": "t"}]


ADDRESS = "expected an address of the form host:port"


INVALID_CONFIGURATIONS: list[tuple[object, str]] = [
    (without("name"), "name: is missing; expected a string"),
    (without("listen"), f"listen: {ADDRESS}"),
    (without("discovery"), f"discovery: {ADDRESS}"),
    (without("settings"), "settings: is missing"),
    (
        configuration({}, "127.0.0.1:1", settings={"lanes": []}),
        "settings.lanes: expected at least one request class, got none",
    ),
    (configuration({}, "127.0.0.1:1", seed="none"), "seed: expected a number"),
    (
        configuration({}, "127.0.0.1:1", limits={"sockets": 3}),
        "limits.sockets: expected an integer of",
    ),
    (configuration({}, "127.0.0.1:1", limits=7), "limits: expected an object, got an integer"),
    (configuration({}, "127.0.0.1:1", known=[]), "known: expected an object, got a list"),
    (
        configuration({}, "127.0.0.1:1", known={"endpoints": {}}),
        "known.endpoints: expected a list, got an obj",
    ),
    (configuration({}, "127.0.0.1:1", peers=["here"]), f"peers[0]: {ADDRESS}, got 'here'"),
    (configuration({}, "127.0.0.1:1", peers=7), "peers: expected a list, got an integer"),
    (with_settings(zones=[7]), "settings.zones[0]: expected a string, got an integer"),
    (with_settings(zones=7), "settings.zones: expected a list, got an integer"),
    (with_settings(lanes=[{"giveUpUs": 1}]), "settings.lanes[0].name: is missing; expected a string"),
    (
        with_settings(tenants=DUPLICATE_TENANTS),
        "settings.tenants[1].name: expected a unique name, got 't', already used at [0]",
    ),
    (with_settings(balancers=1, index=1), "settings.index: expected an index below balancers (1), got 1"),
    (with_settings(zone=2), "settings.zone: expected an index below the number of zones (2), got 2"),
    ([], "expected an object, got a list"),
    ("", "invalid JSON: unexpected end of input at byte 1; expected an object"),
]


@pytest.mark.parametrize(("raw", "named"), INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_is_one_line_and_a_failure(raw: object, named: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw) if raw != "" else "{")
    done = run_process(path)
    assert done.returncode != 0
    assert not done.stdout
    (line,) = done.stderr.splitlines()
    assert line.startswith("load_balancer: ")
    assert named in line


def test_a_large_configuration_is_in_memory_once_while_it_is_read(tmp_path: Path) -> None:
    """A second copy of the settings would take the most memory of the start."""
    tenants = [{"name": f"t{n}", "note": "x" * 2_000} for n in range(1_000)]
    raw = with_settings(tenants=tenants)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw))
    tracemalloc.start()
    config = load_config({"ROUTER_CONFIG": str(path)})
    most = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert most < 1.7 * path.stat().st_size
    assert config.settings == parse_settings(json.dumps(raw["settings"]))
    assert len(config.names.tenants) == 1_000


def test_a_missing_configuration_is_one_line_and_a_failure(tmp_path: Path) -> None:
    for done in (run_process(""), run_process(tmp_path / "none.json")):
        assert done.returncode != 0
        assert len(done.stderr.splitlines()) == 1


async def test_no_collection_visits_the_endpoints_cached_at_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Else every full collection would, while requests wait."""
    path, listens = tmp_path / "config.json", asyncio.Event()
    path.write_text(json.dumps(configuration({"h0": "127.0.0.1:1"}, "127.0.0.1:1")))

    async def start(_: ClientServer) -> None:
        listens.set()

    monkeypatch.setattr(ClientServer, "start", start)
    serving = asyncio.create_task(serve(load_config({"ROUTER_CONFIG": str(path)})))
    await listens.wait()
    visited = [
        known
        for known in gc.get_objects()
        if isinstance(known, DiscoveredEndpoint | upstream_pool.EndpointPool)
    ]
    gc.unfreeze()
    serving.cancel()
    assert not visited


FAILING_START = """
import load_balancer.__main__ as process
from load_balancer.gateway.event_log import log_event


async def fail(config):
    log_event("discovery.call_failed", reason="first")
    log_event("discovery.call_failed", reason="first")
    raise OSError("address in use")


process.serve = fail
raise SystemExit(process.main())
"""


def test_counted_repeats_come_before_the_line_on_a_failed_start(tmp_path: Path) -> None:
    """A poll that failed twice while the listener was opened was counted, and told after the last line."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
    done = subprocess.run(
        [sys.executable, "-c", FAILING_START],
        env={**os.environ, "ROUTER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    *_, repeats, last = done.stderr.splitlines()
    assert "repeated=1" in repeats
    assert last == "load_balancer: cannot start: address in use"
    assert done.returncode == 1


def test_an_address_in_use_is_one_line_and_a_failure(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as listening:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
        done = run_process(path, ROUTER_LISTEN=f"127.0.0.1:{listening.getsockname()[1]}")
    assert done.returncode == 1
    assert "cannot start" in done.stderr.splitlines()[-1]
