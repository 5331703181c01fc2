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


def configuration_without(key: str) -> dict[str, Any]:
    document = configuration({}, "127.0.0.1:1")
    del document[key]
    return document


def configuration_with_settings(**overrides: Any) -> dict[str, Any]:
    return configuration({}, "127.0.0.1:1", settings={**settings(), **overrides})


DUPLICATE_TENANTS = [{"name": "t"}, {"name": "t"}]


EXPECTED_ADDRESS = "expected an address of the form host:port"


INVALID_CONFIGURATIONS: list[tuple[object, str]] = [
    (configuration_without("name"), "name: is missing; expected a string"),
    (configuration_without("listen"), f"listen: {EXPECTED_ADDRESS}"),
    (configuration_without("discovery"), f"discovery: {EXPECTED_ADDRESS}"),
    (configuration_without("settings"), "settings: is missing"),
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
    (configuration({}, "127.0.0.1:1", peers=["here"]), f"peers[0]: {EXPECTED_ADDRESS}, got 'here'"),
    (configuration({}, "127.0.0.1:1", peers=7), "peers: expected a list, got an integer"),
    (configuration_with_settings(zones=[7]), "settings.zones[0]: expected a string, got an integer"),
    (configuration_with_settings(zones=7), "settings.zones: expected a list, got an integer"),
    (
        configuration_with_settings(lanes=[{"giveUpUs": 1}]),
        "settings.lanes[0].name: is missing; expected a string",
    ),
    (
        configuration_with_settings(tenants=DUPLICATE_TENANTS),
        "settings.tenants[1].name: expected a unique name, got 't', already used at [0]",
    ),
    (
        configuration_with_settings(balancers=1, index=1),
        "settings.index: expected an index below balancers (1), got 1",
    ),
    (
        configuration_with_settings(zone=2),
        "settings.zone: expected an index below the number of zones (2), got 2",
    ),
    ([], "expected an object, got a list"),
    ("", "invalid JSON: unexpected end of input at byte 1; expected an object"),
]


@pytest.mark.parametrize(("document", "expected_error"), INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_prints_one_line_and_fails(
    document: object, expected_error: str, tmp_path: Path
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document) if document != "" else "{")
    completed = run_process(path)
    assert completed.returncode != 0
    assert not completed.stdout
    (line,) = completed.stderr.splitlines()
    assert line.startswith("load_balancer: ")
    assert expected_error in line


def test_a_large_configuration_is_in_memory_only_once_while_it_is_read(tmp_path: Path) -> None:
    """A second copy of the settings would determine the peak memory of the start."""
    tenants = [{"name": f"t{n}", "note": "x" * 2_000} for n in range(1_000)]
    document = configuration_with_settings(tenants=tenants)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    tracemalloc.start()
    config = load_config({"ROUTER_CONFIG": str(path)})
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak_bytes < 1.7 * path.stat().st_size
    assert config.settings == parse_settings(json.dumps(document["settings"]))
    assert len(config.names.tenants) == 1_000


def test_a_missing_configuration_prints_one_line_and_fails(tmp_path: Path) -> None:
    for completed in (run_process(""), run_process(tmp_path / "none.json")):
        assert completed.returncode != 0
        assert len(completed.stderr.splitlines()) == 1


async def test_endpoints_cached_at_the_start_are_exempt_from_garbage_collection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise every full garbage collection would traverse them while requests wait."""
    path, started = tmp_path / "config.json", asyncio.Event()
    path.write_text(json.dumps(configuration({"h0": "127.0.0.1:1"}, "127.0.0.1:1")))

    async def start(_: ClientServer) -> None:
        started.set()

    monkeypatch.setattr(ClientServer, "start", start)
    serving = asyncio.create_task(serve(load_config({"ROUTER_CONFIG": str(path)})))
    await started.wait()
    tracked = [
        tracked_object
        for tracked_object in gc.get_objects()
        if isinstance(tracked_object, DiscoveredEndpoint | upstream_pool.EndpointPool)
    ]
    gc.unfreeze()
    serving.cancel()
    assert not tracked


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


def test_counted_repeats_are_written_before_the_error_of_a_failed_start(tmp_path: Path) -> None:
    """A second failure of discovery before the listener opens is only counted.

    Its count must not be written after the error that ends the process.
    """
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
    completed = subprocess.run(
        [sys.executable, "-c", FAILING_START],
        env={**os.environ, "ROUTER_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    *_, repeats_line, last_line = completed.stderr.splitlines()
    assert "repeated=1" in repeats_line
    assert last_line == "load_balancer: cannot start: address in use"
    assert completed.returncode == 1


def test_an_address_in_use_prints_one_line_and_fails(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other_listener:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
        completed = run_process(path, ROUTER_LISTEN=f"127.0.0.1:{other_listener.getsockname()[1]}")
    assert completed.returncode == 1
    assert "cannot start" in completed.stderr.splitlines()[-1]
