"""The rig itself: its stand-ins keep PROTOCOL, equal seeds give equal schedules, a tiny run goes through."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import re
import shlex
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import psutil
import pytest

from lab import fit, fleet, schedule
from lab.__main__ import lab
from lab.changes import Document, changes
from lab.clients import ask_bytes
from lab.messages import ListIdle, ReadRegistryStats, WatchIdle
from lab.processes import Children, MemoryBoundError
from lab.registry import Registry
from lab.statements import StatementServers
from load_balancer.config.file import parse_config
from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.proxy import Proxy
from tests.sockets import PATIENCE_S, Client, Gateway, StubEndpoint, run
from tests.sockets import Registry as Scripted

SERVERS = 8


@dataclass
class Rig:
    registry: Registry
    statements: StatementServers
    ports: dict[str, int]
    gateway: Gateway

    async def listed(self, kind: ListKind, status: EndpointStatus | None = None) -> EndpointListReceived:
        return await self.gateway.event(
            EndpointListReceived, lambda e: e.kind is kind and (not status or e.endpoints[0].status is status)
        )


@asynccontextmanager
async def rig(index: int | None = None) -> AsyncIterator[Rig]:
    """The real gateway between the rig's stand-ins; it has last held the list of `index`."""
    loop = asyncio.get_running_loop()
    registry, statements = Registry(loop), StatementServers(loop)
    ports = await statements.listen(seed=1)
    address = (await registry.listen())["real"]
    registry.set_fleet(SERVERS, ports["gateway"])
    known = {
        "index": registry.index if index is None else index,
        "endpoints": fleet.entries(SERVERS, ports["gateway"]),
    }
    settings = fleet.settings(routes=4, tenants=3)
    settings["contract"]["mustAskInUs"] = 100_000
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": address,
        "known": known,
        "settings": settings,
    }
    config = parse_config(raw)
    proxy = Proxy(config, loop)
    it = Gateway(proxy, ClientServer(config, proxy, loop), StubEndpoint(), Scripted())
    it.watch_events()
    await proxy.start()
    await it.downstream.start()
    try:
        yield Rig(registry, statements, ports, it)
    finally:
        assert it.downstream.listener is not None
        it.downstream.listener.close()
        for connection in list(it.downstream.connections):
            connection.close()
        proxy.close()
        registry.go_down()
        for sock in statements.listeners:
            sock.close()


@pytest.mark.parametrize("route", range(4))
def test_a_request_of_every_effect_goes_through_the_real_gateway(route: int) -> None:
    async def test() -> None:
        async with rig() as it:
            client = await it.gateway.client()
            status, _, body = await client.ask(ask_bytes(route, tenant=2, number=0xAB))
            assert (status, body) == (200, b"00000000000000ab /route-%d\n" % route)
            stats = it.statements.stats["gateway"]
            assert (stats["requests"], stats["bad"]) == (1, 0)

    run(test())


def test_statement_servers_answer_each_form_of_request_by_protocol() -> None:
    async def test() -> None:
        async with rig() as it:
            client = Client(*await asyncio.open_connection(fleet.host(5), it.ports["direct"]))
            for path, headers, expected in (
                ("/health/live", "", 404),
                ("/stats", "", 404),
                ("/route-0", "", 404),
                ("/route-0", "Request-Id: no-client-sent-this\r\n", 400),
                ("/route-0", "Request-Id: 0123456789abcdef\r\n", 200),
            ):
                status, head, _ = await client.ask(f"GET {path} HTTP/1.1\r\n{headers}\r\n".encode())
                assert status == expected and ("server-load" in head) == (expected == 200)
            (connection,) = it.statements.connections["direct"]
            assert connection.server == 5

    run(test())


def test_the_watch_begins_with_what_has_changed_since() -> None:
    async def test() -> None:
        async with rig() as it:
            assert not (await it.listed(ListKind.DELTA)).endpoints
            it.registry.change([(3, "leaving")], restarted=False)
            (server,) = (await it.listed(ListKind.DELTA, EndpointStatus.DRAINING)).endpoints
            it.registry.change([(3, "left")], restarted=True)
            await it.listed(ListKind.DELTA, EndpointStatus.GONE)
            it.registry.change([(3, "active")], restarted=True)
            (again,) = (await it.listed(ListKind.DELTA, EndpointStatus.READY)).endpoints
            assert again.id == server.id and again.started_us > 0

    run(test())


def test_an_index_that_is_not_held_brings_the_whole_list() -> None:
    async def test() -> None:
        async with rig(index=3) as it:
            assert len((await it.listed(ListKind.COMPLETE)).endpoints) == SERVERS

    run(test())


def test_an_outage_ends_watches_and_the_return_brings_what_was_missed() -> None:
    async def test() -> None:
        async with rig() as it:
            await it.listed(ListKind.DELTA)
            it.registry.go_down()
            it.registry.change([(1, "leaving"), (2, "leaving")], restarted=True)
            await it.listed(ListKind.ERROR)
            await it.registry.listen()
            assert len((await it.listed(ListKind.DELTA)).endpoints) == 2

    run(test())


def test_a_leaving_server_sees_its_idle_connection_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lab.statements.IDLE_FOR_S", -1.0)  # no wait: what has answered is idle

    async def test() -> None:
        async with rig() as it:
            await it.listed(ListKind.DELTA)
            client = await it.gateway.client()
            await client.ask(ask_bytes(0, tenant=0, number=1))
            ((server, count),) = await it.statements.handle(ListIdle())
            assert count == await it.statements.handle(WatchIdle(endpoint=server)) == 1
            since_ns = it.registry.change([(server, "leaving")], restarted=False)
            while (closes := it.statements.closes(server, since_ns)).standing:
                await asyncio.sleep(0)
            assert len(closes.after_us) == 1

    run(test())


def test_a_call_that_waits_too_long_is_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lab.registry.MAX_WAIT_S", 0.0)

    async def test() -> None:
        async with rig() as it:
            assert (await it.listed(ListKind.ERROR)).endpoints == ()
            assert it.registry.stats["real"]["turned_away"] >= 1

    run(test())


@pytest.mark.parametrize("scenario", schedule.SCENARIOS)
def test_equal_seeds_give_equal_churn_after_which_all_are_active(scenario: str) -> None:
    changes = schedule.churn(7, scenario, 420, 10.0)
    assert changes and changes == schedule.churn(7, scenario, 420, 10.0)
    others = {repr(schedule.churn(seed, scenario, 420, 10.0)) for seed in range(20)}
    assert len(others) == {"rack": 13, "zone": 7, "region": 2}.get(scenario, 20)  # of 14 racks
    last = {number: what for _, what, numbers in changes for number in numbers}
    assert set(last.values()) <= {"active"}
    assert changes == sorted(changes, key=lambda change: change[0])


def test_equal_seeds_give_equal_requests_and_each_concern_its_own() -> None:
    one, same, other, apart = (
        schedule.requests(seed, concern, 500.0, 4.0, 30, 50, 3)
        for seed, concern in ((1, "clients"), (1, "clients"), (2, "clients"), (1, "hollow 0"))
    )
    assert one == same and one != other and one != apart
    assert 1_600 < len(one.times_s) < 2_400 and max(one.times_s) < 4.0
    assert one.tenants.count(0) > one.tenants.count(1) > one.tenants.count(20)


def test_a_rack_stands_in_one_zone_and_an_address_tells_its_server() -> None:
    for number in range(4200):
        assert fleet.number_of(fleet.host(number)) == number
    zones: dict[int, set[str]] = {}
    for number in range(4200):
        zones.setdefault(fleet.rack_of(number), set()).add(fleet.zone_of(number))
    assert all(len(found) == 1 for found in zones.values()) and len(zones) == 4200 // fleet.RACK


def test_the_package_never_imports_the_lab() -> None:
    sources = list((Path(__file__).parent.parent / "load_balancer").rglob("*.py"))
    assert sources and not [p for p in sources if re.search(r"^\s*(from|import) lab\b", p.read_text(), re.M)]


def test_a_line_tells_its_slope_and_how_far_the_figures_lie_off() -> None:
    line = fit.line([1, 2, 3, 4], [5, 7, 9, 11])
    assert line is not None and (line["slope"], line["at_zero"]) == (2, 3) and line["residual"] < 1e-9
    off = fit.line([1, 2, 3, 4], [5, 9, 7, 11])
    assert off is not None and 0.1 < off["residual_share"] < 0.3
    assert fit.line([1, 2], [1, 2]) is None


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("scales",),
        ("scale",),
        ("scale", "--out", "x", "--servers", "0"),
        ("scale", "--out", "x", "--servers", "many"),
        ("scale", "--out", "x", "--scenario", "flood"),
        ("scale", "--out", "/proc/none/x"),
        ("scale", "--out", "x", "--memory-mb", "99999999"),
        ("reload",),
        ("reload", "--out", "x", "--every-s", "0"),
        ("reload", "--out", "x", "--memory-mb", "99999999"),
        ("reload", "--out", "/proc/none/x"),
        ("module", "--size", "1x2"),
        ("module", "--out", "/none/x"),
    ],
)
def test_bad_arguments_are_one_line_and_exit_code_2(
    arguments: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir(tmp_path)
    with pytest.raises(SystemExit) as ended:
        lab.main(list(arguments))
    told = capsys.readouterr()
    assert ended.value.code == 2 and not told.out
    (line,) = told.err.splitlines()
    assert line.startswith("lab: ")


def test_the_decisions_alone_are_measured(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    with pytest.raises(SystemExit) as ended:
        lab.main(["module", "--size", "6x2x3", "--repeat", "2", "--out", str(tmp_path / "out.json")])
    assert ended.value.code == 0 and "6x2x3" in capsys.readouterr().out
    (size,) = json.loads((tmp_path / "out.json").read_text())["sizes"]
    assert size["calm"]["refused_share"] < 0.05 < size["shedding"]["refused_share"]
    assert size["runs"] == 2 and size["memory_list_bytes"] > 0 and size["restart_ms"] > 0


def test_a_size_over_the_bound_is_said_so(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        lab.main(["module", "--size", "6x2x3", "--memory-mb", "1"])
    assert ended.value.code == 1 and "over the bound" in capsys.readouterr().out


def test_equal_seeds_give_equal_changes_each_of_one_tenant(tmp_path: Path) -> None:
    one, same, other = (changes(seed, tenants=5, count=20) for seed in (1, 1, 2))
    assert one == same and one != other and one[:7] == changes(1, tenants=5, count=7)
    settings = fleet.settings(routes=2, tenants=5)
    document, path = Document({"name": "n0", "settings": settings}), tmp_path / "config.json"
    for before, change in zip([None, *one[:7]], one[:8], strict=True):
        document.apply(change)
        assert document.write(path) == path.stat().st_size
        found = json.loads(path.read_text())
        new = {tenant["name"] for tenant in found["settings"].pop("tenants")}
        new -= {tenant["name"] for tenant in settings["tenants"]}
        assert new == ({fleet.tenant(change.number)} if change.added else set())
        assert before is None or before.added != change.added
        assert found["settings"] == {k: v for k, v in settings.items() if k != "tenants"}


def test_a_tiny_reload_run_says_how_soon_changes_are_in_force(tmp_path: Path) -> None:
    tiny = (
        "--servers=8",
        "--routes=4",
        "--tenants=4",
        "--real=1",
        "--hollow=2",
        "--rate=50",
        "--seconds=0.5",
    )
    more = ("--every-s=0.2", "--changes=6", "--late-ms=1000", "--out", str(tmp_path))
    ended = subprocess.run(
        [sys.executable, "-m", "lab", "reload", *tiny, *more], capture_output=True, text=True, timeout=110
    )
    assert ended.returncode == 0, ended.stderr + ended.stdout
    found: dict[str, Any] = json.loads((tmp_path / "result.json").read_text())
    figures = found["figures"]
    assert not found["broken"] and not found["over_bound"] and "pause_over_5_ms" in figures
    assert figures["changes"]["in_force"]["from_signal"]["count"] == figures["changes"]["count"] == 3
    assert figures["many"]["in_force"]["from_signal"]["count"] == 6
    assert 0 < figures["many"]["in_force"]["from_signal"]["p50_ms"] < 30_000
    assert figures["many"]["memory"]["real-0"]["line"]["sizes"][-1] == 6
    steps = figures["hollow"]["steps"]
    assert steps["handle(SettingsChanged)"]["count"] == 2 * 6
    assert all(0 < step["most_cpu_ms"] < 1_000 for step in steps.values())


TINY = (
    "--servers=8",
    "--routes=4",
    "--tenants=4",
    "--hollow=4",
    "--real=1",
    "--sweep-s=0.2",
    "--seconds=0.5",
)


def command(out: Path, *more: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "lab",
            "scale",
            *TINY,
            "--rate=50",
            "--scenario=ordinary",
            "--out",
            str(out),
            *more,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def test_a_tiny_run_goes_through(tmp_path: Path) -> None:
    with command(tmp_path, "--late-ms=1000") as child:
        out, err = child.communicate(timeout=110)
    assert child.returncode == 0, err + out
    found: dict[str, Any] = json.loads((tmp_path / "result.json").read_text())
    figures = found["figures"]
    assert found["schedule"]["kept"] and not found["broken"] and not found["over_bound"]
    assert set(figures["roles"]) == {"registry", "statements", "clients", "gateway", "hollow"}
    assert figures["roles"]["gateway"]["added"]["gateway"]["count"] > 0
    assert figures["roles"]["hollow"]["in_force"]["count"] > 0
    for kind in ("servers", "routes", "tenants", "gateways"):
        assert len(figures["points"][kind]) == 4 and all(figures["slopes"][kind].values())


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_ends_its_children(number: signal.Signals, tmp_path: Path) -> None:
    """The first line of progress comes once the stand-ins are up."""
    with command(tmp_path) as child:
        assert child.stderr is not None and child.stderr.readline()
        children = psutil.Process(child.pid).children(recursive=True)
        os.kill(child.pid, number)
        _, err = child.communicate(timeout=60)
    assert child.returncode == 130 and "interrupted" in err.splitlines()[-1]
    assert len(children) >= 3 and not any(process.is_running() for process in children)


def test_a_child_over_the_bound_of_memory_is_ended_and_said_so(tmp_path: Path) -> None:
    async def test() -> None:
        async with Children(memory_mb=1, logs=tmp_path) as children:
            child = await children.start("registry", "lab.registry")
            await child.process.wait()
            with pytest.raises(MemoryBoundError, match="registry"):
                await child.ask(ReadRegistryStats())

    run(test())


def test_the_deployment_to_try_answers_its_curl_and_ends_whole() -> None:
    with subprocess.Popen(
        [sys.executable, "-m", "lab", "up"], stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    ) as child:
        assert child.stdout is not None
        words = shlex.split(child.stdout.readline())
        children = psutil.Process(child.pid).children(recursive=True)
        headers = dict(words[n + 1].split(": ", 1) for n, word in enumerate(words) if word == "-H")
        url = urlsplit(words[-1])
        plain = http.client.HTTPConnection(url.netloc, timeout=PATIENCE_S)
        plain.request("GET", f"{url.path}?{url.query}", headers=headers)
        answer = plain.getresponse()
        assert (answer.status, answer.read()) == (200, b"0000000000000001 /view-timetable\n")
        plain.close()
        child.send_signal(signal.SIGINT)
        out, err = child.communicate(timeout=60)
    assert child.returncode == 0 and words[0] == "curl" and not out, err
    assert len(children) == 4 and not any(process.is_running() for process in children)
