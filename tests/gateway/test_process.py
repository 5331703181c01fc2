"""The process as a whole: its configuration, its signals, its graceful shutdown, its peers."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import socket
import subprocess
import sys
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from load_balancer.__main__ import serve
from load_balancer.config.file import load_config
from load_balancer.decisions.actions import SendPeerMessage
from load_balancer.decisions.events import AttemptEnded, PeerMessageReceived
from load_balancer.gateway import client_server, upstream_pool
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.discovery_messages import DiscoveredEndpoint
from load_balancer.simulator.codec import parse_settings
from tests.sockets import (
    PATIENCE_S,
    Client,
    Registry,
    StubEndpoint,
    ask,
    chunk,
    configuration,
    entry,
    gateway,
    news,
    settings,
    until,
)


def run_process(path: Path | str, **environ: str) -> subprocess.CompletedProcess[str]:
    env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | environ
    return subprocess.run(
        [sys.executable, "-m", "load_balancer"],
        env=env | ({"ROUTER_CONFIG": str(path)} if path else {}),
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def without(key: str) -> dict[str, Any]:
    raw = configuration({}, "127.0.0.1:1")
    del raw[key]
    return raw


def with_settings(**changed: Any) -> dict[str, Any]:
    return configuration({}, "127.0.0.1:1", settings={**settings(), **changed})


DUPLICATE_TENANTS = [{"name": "t"}, {"name": "t"}]
ADDRESS = "expected an address of the form host:port"
INVALID_CONFIGURATIONS: list[tuple[object, str]] = [
    (without("name"), "name: is missing; expected text"),
    (without("listen"), f"listen: {ADDRESS}"),
    (without("discovery"), f"discovery: {ADDRESS}"),
    (without("settings"), "settings: is missing"),
    (configuration({}, "127.0.0.1:1", settings={"lanes": []}), "settings.lanes: expected at least one"),
    (configuration({}, "127.0.0.1:1", seed="none"), "seed: expected a number"),
    (
        configuration({}, "127.0.0.1:1", limits={"sockets": 3}),
        "limits.sockets: expected a whole number of",
    ),
    (configuration({}, "127.0.0.1:1", limits=7), "limits: expected an object, got a whole number"),
    (configuration({}, "127.0.0.1:1", known=[]), "known: expected an object, got a list"),
    (
        configuration({}, "127.0.0.1:1", known={"endpoints": {}}),
        "known.endpoints: expected a list, got an obj",
    ),
    (configuration({}, "127.0.0.1:1", peers=["here"]), f"peers[0]: {ADDRESS}, got 'here'"),
    (configuration({}, "127.0.0.1:1", peers=7), "peers: expected a list, got a whole number"),
    (with_settings(zones=[7]), "settings.zones[0]: expected text, got a whole number"),
    (with_settings(zones=7), "settings.zones: expected a list, got a whole number"),
    (with_settings(lanes=[{"giveUpUs": 1}]), "settings.lanes[0].name: is missing; expected text"),
    (
        with_settings(tenants=DUPLICATE_TENANTS),
        "settings.tenants[1].name: expected a name of its own, got 't' as at [0]",
    ),
    (with_settings(balancers=1, index=1), "settings.index: expected a number below balancers, 1, got 1"),
    (with_settings(zone=2), "settings.zone: expected the place of one of 2 zones, from 0, got 2"),
    ([], "expected an object, got a list"),
    ("", "not JSON: it ends in the middle at byte 1; expected an object"),
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


def test_an_address_in_use_is_one_line_and_a_failure(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration({}, "127.0.0.1:1")))
        done = run_process(path, ROUTER_LISTEN=f"127.0.0.1:{taken.getsockname()[1]}")
    assert done.returncode == 1
    assert "cannot start" in done.stderr.splitlines()[-1]


async def start_process(
    path: Path, **environ: str
) -> tuple[asyncio.subprocess.Process, asyncio.StreamReader]:
    """A gateway's process, with ROUTER_CONFIG set to the path, and its standard error."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "load_balancer",
        env={**os.environ, "ROUTER_CONFIG": str(path), **environ},
        stderr=asyncio.subprocess.PIPE,
    )
    assert child.stderr is not None
    return child, child.stderr


async def connect(port: int) -> Client:
    return Client(*await asyncio.open_connection("127.0.0.1", port))


async def expect_last_answer(client: Client, status: int = 200) -> None:
    """The answer says that the connection closes, and it does."""
    actual, head, _ = await client.answer()
    assert actual == status
    assert head["connection"] == "close"
    assert await client.closed()


@asynccontextmanager
async def process(
    host: StubEndpoint, tmp_path: Path, sockets: int = 1024, **environ: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    registry = Registry()
    await host.start()
    await registry.start()
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    path = tmp_path / "config.json"
    listen, limits = f"127.0.0.1:{port}", {"sockets": sockets}
    raw = configuration({"h0": host.address}, registry.address, listen=listen, limits=limits)
    path.write_text(json.dumps(raw))
    child, stderr = await start_process(path, **environ)
    try:
        while b"listens" not in (line := await stderr.readline()):
            assert b"discovery: no connection" in line or b"could not be read" in line
        yield child, port
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()
        host.stop()
        registry.stop()


async def test_sigterm_answers_accepted_requests_and_exits_with_zero(tmp_path: Path) -> None:
    host = StubEndpoint()
    async with process(host, tmp_path) as (child, port):
        held = await connect(port)
        assert (await held.ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200
        held.send(ask())
        taken = await host.taken.get()
        idle = await connect(port)
        child.send_signal(signal.SIGTERM)
        assert await idle.closed()  # and so the signal has been handled
        taken.answer()
        await expect_last_answer(held)
        assert await child.wait() == 0


async def test_sighup_applies_a_changed_address_of_discovery(tmp_path: Path) -> None:
    """ROUTER_DISCOVERY, which is as old as the process, does not override the new file."""
    host, first, second = StubEndpoint(), Registry(), Registry()
    await first.start()
    await second.start()
    path = tmp_path / "config.json"
    async with process(host, tmp_path, ROUTER_DISCOVERY=first.address) as (child, port):
        await first.watches.get()
        good = path.read_text()
        path.write_text("{")
        child.send_signal(signal.SIGHUP)
        assert child.stderr is not None
        assert b"rejected the new" in await child.stderr.readline()
        path.write_text(json.dumps({**json.loads(good), "discovery": second.address}))
        child.send_signal(signal.SIGHUP)
        await second.watches.get()
        client = await connect(port)
        client.send(ask())
        (await host.taken.get()).answer()
        assert (await client.answer())[0] == 200
        assert child.returncode is None
    first.stop()
    second.stop()


@pytest.mark.parametrize(("number", "code"), [(signal.SIGHUP, None), (signal.SIGTERM, -signal.SIGTERM)])
async def test_signals_before_it_is_ready(number: signal.Signals, code: int | None, tmp_path: Path) -> None:
    """SIGHUP must not end the process before its loop runs. SIGTERM may: no request has been accepted."""
    path = tmp_path / "config"
    os.mkfifo(path)  # holds the process while it reads its configuration
    child, stderr = await start_process(path)
    loop = asyncio.get_running_loop()
    with await loop.run_in_executor(None, path.open, "w") as config:
        child.send_signal(number)
        if code is None:
            config.write(json.dumps(configuration({}, "127.0.0.1:1")))
    if code is None:
        while b"listens" not in await stderr.readline():
            assert not stderr.at_eof()
        child.send_signal(signal.SIGTERM)
    assert await child.wait() == (code or 0)


async def test_repeated_signals_lose_no_request(tmp_path: Path) -> None:
    host = StubEndpoint()
    async with process(host, tmp_path) as (child, port):
        held = await connect(port)
        held.send(ask("buy"))
        taken = await host.taken.get()
        idle = await connect(port)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            child.send_signal(number)
        assert await idle.closed()
        child.send_signal(signal.SIGTERM)
        child.send_signal(signal.SIGHUP)
        taken.answer()
        await expect_last_answer(held)
        held.writer.close()
        assert await child.wait() == 0


async def test_a_hung_endpoint_and_a_short_deadline_do_not_delay_the_shutdown(tmp_path: Path) -> None:
    host = StubEndpoint()
    async with process(host, tmp_path) as (child, port):
        hung = await connect(port)
        hung.send(ask("buy", Request_Timeout_Ms="900"))
        await host.taken.get()
        child.send_signal(signal.SIGTERM)
        await expect_last_answer(hung, status=502)
        hung.writer.close()
        assert await child.wait() == 0


async def test_requests_that_come_during_a_drain_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients go on sending for a moment, on new connections and on those that they have."""
    monkeypatch.setattr(client_server, "HALF_SENT_DRAIN_S", PATIENCE_S)
    async with gateway() as it:
        idle = await it.client()
        await it.served(idle)
        it.downstream.draining = True
        late = await it.client()
        assert (await (await it.client()).ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 503
        late.send(ask())
        taken = await it.host.taken.get()
        idle.send(ask()[:20])
        await until(lambda: any(connection.reading for connection in it.downstream.connections))
        it.downstream.stop_listening()
        finish = asyncio.create_task(it.downstream.finish())
        taken.answer()
        for client in (late, idle):
            await expect_last_answer(client)
            if client is late:
                idle.send(ask()[20:])
                (await it.host.taken.get()).answer()
        await finish


async def test_a_request_in_the_accept_queue_as_the_listener_closes_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing the listener would reset a connection that it has not accepted yet."""
    monkeypatch.setattr(client_server, "LAST_ACCEPT_S", 0.0)
    monkeypatch.setattr(client_server, "LAST_REQUEST_S", 0.0)
    async with gateway() as it:
        assert it.downstream.listener is not None
        address = it.downstream.listener.sockets[0].getsockname()
        drain = it.downstream.drain()
        drain.send(None)  # now it waits for the end of accepting
        queued = socket.create_connection(address)
        queued.send(ask())
        drain.send(None)  # which comes in this turn of the loop: it has accepted nothing since
        end = asyncio.create_task(drain)
        client = Client(*await asyncio.open_connection(sock=queued))
        (await it.host.taken.get()).answer()
        await expect_last_answer(client)
        client.writer.close()
        await end


async def test_pipelined_requests_are_answered_before_a_drain_closes() -> None:
    async with gateway() as it:
        client = await it.client()
        client.send(ask() + ask())
        taken = await it.host.taken.get()
        it.downstream.draining = True
        taken.answer()
        assert (await client.answer())[0] == 200
        (await it.host.taken.get()).answer()
        await expect_last_answer(client)


async def test_a_client_that_reads_nothing_does_not_delay_the_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_server, "UNREAD_DRAIN_S", 0.0)
    async with gateway() as it:
        client = await it.client()
        client.send(ask())
        taken = await it.host.taken.get()
        connection = it.stop_reading(client)
        assert connection.transport is not None
        it.downstream.draining = True
        taken.answer(body=bytes(60_000))
        await it.event(AttemptEnded)
        assert connection.transport.get_write_buffer_size() > 0
        await it.downstream.finish()
        client.writer.transport.abort()


async def test_idle_clients_leave_descriptors_for_discovery_endpoints_and_readiness(tmp_path: Path) -> None:
    host, other, discovery = StubEndpoint(), StubEndpoint(), Registry()
    await other.start()
    where, sockets = discovery.bind(), 256
    async with process(host, tmp_path, sockets, ROUTER_DISCOVERY=where) as (child, port):

        async def connect_within_limit() -> Client:
            client = await connect(port)
            assert len(os.listdir(f"/proc/{child.pid}/fd")) < sockets
            return client

        async def is_ready() -> bool:
            return (await (await connect_within_limit()).ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200

        held = [await connect_within_limit() for _ in range(3)]
        for client in held:
            client.send(ask("buy"))
        taken = [await host.taken.get() for _ in held]
        idle = []
        for number in range(sockets + 50):
            idle.append(await connect_within_limit())
            assert number % 10 or await is_ready()
        await discovery.start()
        _, watch = await discovery.watches.get()
        watch.write(chunk(news(entry("h1", other.address), index=8, snapshot=True)))
        assert await is_ready()
        for request in taken:
            request.answer()
        for client in held:
            assert (await client.answer())[0] == 200
            client.send(ask("buy"))
            (await other.taken.get()).answer()
            assert (await client.answer())[0] == 200
        for client in idle:
            client.writer.transport.abort()
    other.stop()
    discovery.stop()


async def test_an_idle_connection_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    async with process(StubEndpoint(), tmp_path) as (child, port):
        idle = await connect(port)
        half = await connect(port)
        half.send(ask()[:20])
        child.send_signal(signal.SIGTERM)
        assert await idle.closed()
        assert await child.wait() == 0


async def test_messages_between_gateways() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        for each in (peer, stranger):
            each.bind(("127.0.0.1", 0))
            each.setblocking(False)
        address = f"127.0.0.1:{peer.getsockname()[1]}"
        async with gateway(
            settings={**settings(peers=True), "balancers": 2},
            peer_listen="127.0.0.1:0",
            peers=["127.0.0.1:1", address],
            peers_all=address,
        ) as it:
            loop = asyncio.get_running_loop()
            for message in (SendPeerMessage(b"to one", 1), SendPeerMessage(b"to all")):
                it.proxy.carry_out(message)
                assert await loop.sock_recv(peer, 512) == message.data
            with pytest.raises(ValueError, match="too long"):
                it.proxy.carry_out(SendPeerMessage(bytes(257)))
            assert it.proxy.peers is not None
            to = it.proxy.peers.get_extra_info("sockname")
            stranger.sendto(b"from nobody", to)
            peer.sendto(b"hello", to)
            heard = await it.event(PeerMessageReceived)
            assert (heard.gateway_index, heard.data) == (1, b"hello")
