"""The running process: its signals, its shutdown, its descriptors, its peers."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path

import pytest

from load_balancer.decisions.actions import SendPeerMessage
from load_balancer.decisions.events import PeerMessageReceived
from tests.gateway.configurations import configuration, settings
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.process_helpers import connect, expect_last_answer, process, start_process
from tests.gateway.running_gateway import running_gateway
from tests.gateway.stub_discovery import StubDiscovery, encode_chunk, endpoint_entry, watch_event
from tests.gateway.stub_endpoint import StubEndpoint


async def test_sigterm_answers_accepted_requests_and_exits_with_zero(tmp_path: Path) -> None:
    endpoint = StubEndpoint()
    async with process(endpoint, tmp_path) as (child, port):
        held = await connect(port)
        assert (await held.request(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200
        held.send(encode_request())
        received = await endpoint.requests.get()
        idle = await connect(port)
        child.send_signal(signal.SIGTERM)
        assert await idle.is_closed()  # and so the signal has been handled
        received.respond()
        await expect_last_answer(held)
        assert await child.wait() == 0


async def test_sighup_applies_a_changed_address_of_discovery(tmp_path: Path) -> None:
    """ROUTER_DISCOVERY, which is as old as the process, does not override the new file."""
    endpoint, first, second = StubEndpoint(), StubDiscovery(), StubDiscovery()
    await first.start()
    await second.start()
    path = tmp_path / "config.json"
    async with process(endpoint, tmp_path, ROUTER_DISCOVERY=first.address) as (child, port):
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
        client.send(encode_request())
        (await endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200
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
    endpoint = StubEndpoint()
    async with process(endpoint, tmp_path) as (child, port):
        held = await connect(port)
        held.send(encode_request("buy"))
        received = await endpoint.requests.get()
        idle = await connect(port)
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            child.send_signal(number)
        assert await idle.is_closed()
        child.send_signal(signal.SIGTERM)
        child.send_signal(signal.SIGHUP)
        received.respond()
        await expect_last_answer(held)
        held.writer.close()
        assert await child.wait() == 0


async def test_a_hung_endpoint_and_a_short_deadline_do_not_delay_the_shutdown(tmp_path: Path) -> None:
    endpoint = StubEndpoint()
    async with process(endpoint, tmp_path) as (child, port):
        hung = await connect(port)
        hung.send(encode_request("buy", Request_Timeout_Ms="900"))
        await endpoint.requests.get()
        child.send_signal(signal.SIGTERM)
        await expect_last_answer(hung, status=502)
        hung.writer.close()
        assert await child.wait() == 0


async def test_idle_clients_leave_descriptors_for_discovery_endpoints_and_readiness(tmp_path: Path) -> None:
    endpoint, other, discovery = StubEndpoint(), StubEndpoint(), StubDiscovery()
    await other.start()
    where, sockets = discovery.bind(), 256
    async with process(endpoint, tmp_path, sockets, ROUTER_DISCOVERY=where) as (child, port):

        async def connect_within_limit() -> HttpClient:
            client = await connect(port)
            assert len(os.listdir(f"/proc/{child.pid}/fd")) < sockets
            return client

        async def is_ready() -> bool:
            return (await (await connect_within_limit()).request(b"GET /health/ready HTTP/1.1\r\n\r\n"))[
                0
            ] == 200

        held = [await connect_within_limit() for _ in range(3)]
        for client in held:
            client.send(encode_request("buy"))
        received = [await endpoint.requests.get() for _ in held]
        idle = []
        for number in range(sockets + 50):
            idle.append(await connect_within_limit())
            assert number % 10 or await is_ready()
        await discovery.start()
        _, watch = await discovery.watches.get()
        watch.write(encode_chunk(watch_event(endpoint_entry("h1", other.address), index=8, snapshot=True)))
        assert await is_ready()
        for request in received:
            request.respond()
        for client in held:
            assert (await client.read_response())[0] == 200
            client.send(encode_request("buy"))
            (await other.requests.get()).respond()
            assert (await client.read_response())[0] == 200
        for client in idle:
            client.writer.transport.abort()
    other.stop()
    discovery.stop()


async def test_an_idle_connection_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    async with process(StubEndpoint(), tmp_path) as (child, port):
        idle = await connect(port)
        half = await connect(port)
        half.send(encode_request()[:20])
        child.send_signal(signal.SIGTERM)
        assert await idle.is_closed()
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
        async with running_gateway(
            settings={**settings(peers=True), "balancers": 2},
            peer_listen="127.0.0.1:0",
            peers=["127.0.0.1:1", address],
            peers_all=address,
        ) as gateway:
            loop = asyncio.get_running_loop()
            for message in (SendPeerMessage(b"to one", 1), SendPeerMessage(b"to all")):
                gateway.proxy.execute(message)
                assert await loop.sock_recv(peer, 512) == message.data
            with pytest.raises(ValueError, match="too long"):
                gateway.proxy.execute(SendPeerMessage(bytes(257)))
            assert gateway.proxy.peers.transport is not None
            to = gateway.proxy.peers.transport.get_extra_info("sockname")
            stranger.sendto(b"from nobody", to)
            peer.sendto(b"hello", to)
            heard = await gateway.wait_for_event(PeerMessageReceived)
            assert (heard.gateway_index, heard.data) == (1, b"hello")
