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
from tests.gateway.process_helpers import (
    connect,
    expect_final_answer,
    reserved_port,
    running_process,
    start_process,
)
from tests.gateway.running_gateway import running_gateway
from tests.gateway.stub_discovery import StubDiscovery, encode_chunk, endpoint_entry, watch_event
from tests.gateway.stub_endpoint import StubEndpoint


def test_a_reserved_port_is_free_only_for_a_listener_that_reuses_it() -> None:
    """A port that was released before the gateway bound it went to another process, and the start failed."""
    with reserved_port() as port:
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port))
        with socket.create_server(("127.0.0.1", port)) as listener:
            assert listener.getsockname()[1] == port


async def test_sigterm_answers_accepted_requests_and_exits_with_zero(tmp_path: Path) -> None:
    endpoint = StubEndpoint()
    async with running_process(endpoint, tmp_path) as (child, port):
        busy_client = await connect(port)
        assert (await busy_client.request(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 200
        busy_client.send(encode_request())
        received = await endpoint.requests.get()
        idle_client = await connect(port)
        child.send_signal(signal.SIGTERM)
        assert await idle_client.is_closed()  # so the signal has been handled
        received.respond()
        await expect_final_answer(busy_client)
        assert await child.wait() == 0


async def test_sighup_applies_a_changed_address_of_discovery(tmp_path: Path) -> None:
    """ROUTER_DISCOVERY dates from the start of the process and must not override an address changed since."""
    endpoint, old_discovery, new_discovery = StubEndpoint(), StubDiscovery(), StubDiscovery()
    await old_discovery.start()
    await new_discovery.start()
    path = tmp_path / "config.json"
    async with running_process(endpoint, tmp_path, ROUTER_DISCOVERY=old_discovery.address) as (child, port):
        await old_discovery.watches.get()
        valid_text = path.read_text()
        path.write_text("{")
        child.send_signal(signal.SIGHUP)
        assert child.stderr is not None
        assert b"rejected the new" in await child.stderr.readline()
        path.write_text(json.dumps({**json.loads(valid_text), "discovery": new_discovery.address}))
        child.send_signal(signal.SIGHUP)
        await new_discovery.watches.get()
        client = await connect(port)
        client.send(encode_request())
        (await endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200
        assert child.returncode is None
    old_discovery.stop()
    new_discovery.stop()


@pytest.mark.parametrize(
    ("sent_signal", "exit_code"), [(signal.SIGHUP, None), (signal.SIGTERM, -signal.SIGTERM)]
)
async def test_sigterm_but_not_sighup_ends_a_process_that_is_not_ready(
    sent_signal: signal.Signals, exit_code: int | None, tmp_path: Path
) -> None:
    """SIGHUP must not end the process before its loop runs. SIGTERM may: no request has been accepted."""
    path = tmp_path / "config"
    os.mkfifo(path)  # blocks the process while it reads its configuration
    child, stderr = await start_process(path)
    loop = asyncio.get_running_loop()
    with await loop.run_in_executor(None, path.open, "w") as config_pipe:
        child.send_signal(sent_signal)
        if exit_code is None:
            config_pipe.write(json.dumps(configuration({}, "127.0.0.1:1")))
    if exit_code is None:
        while b"listens" not in await stderr.readline():
            assert not stderr.at_eof()
        child.send_signal(signal.SIGTERM)
    assert await child.wait() == (exit_code or 0)


async def test_repeated_signals_lose_no_request(tmp_path: Path) -> None:
    endpoint = StubEndpoint()
    async with running_process(endpoint, tmp_path) as (child, port):
        busy_client = await connect(port)
        busy_client.send(encode_request("buy"))
        received = await endpoint.requests.get()
        idle_client = await connect(port)
        for sent_signal in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            child.send_signal(sent_signal)
        assert await idle_client.is_closed()
        child.send_signal(signal.SIGTERM)
        child.send_signal(signal.SIGHUP)
        received.respond()
        await expect_final_answer(busy_client)
        busy_client.writer.close()
        assert await child.wait() == 0


async def test_a_hung_endpoint_delays_the_shutdown_until_the_deadline_only(tmp_path: Path) -> None:
    endpoint = StubEndpoint()
    async with running_process(endpoint, tmp_path) as (child, port):
        client = await connect(port)
        client.send(encode_request("buy", Request_Timeout_Ms="900"))
        await endpoint.requests.get()
        child.send_signal(signal.SIGTERM)
        await expect_final_answer(client, status=502)
        client.writer.close()
        assert await child.wait() == 0


async def test_idle_clients_leave_descriptors_for_discovery_endpoints_and_readiness(tmp_path: Path) -> None:
    """Idle clients could otherwise use up the descriptors that discovery and endpoints need."""
    endpoint, added_endpoint, discovery = StubEndpoint(), StubEndpoint(), StubDiscovery()
    await added_endpoint.start()
    address, sockets = discovery.bind(), 256
    async with running_process(endpoint, tmp_path, sockets, ROUTER_DISCOVERY=address) as (child, port):

        async def connect_within_limit() -> HttpClient:
            client = await connect(port)
            assert len(os.listdir(f"/proc/{child.pid}/fd")) < sockets
            return client

        async def is_ready() -> bool:
            return (await (await connect_within_limit()).request(b"GET /health/ready HTTP/1.1\r\n\r\n"))[
                0
            ] == 200

        busy_clients = [await connect_within_limit() for _ in range(3)]
        for client in busy_clients:
            client.send(encode_request("buy"))
        received = [await endpoint.requests.get() for _ in busy_clients]
        idle_clients = []
        for index in range(sockets + 50):
            idle_clients.append(await connect_within_limit())
            assert index % 10 or await is_ready()
        await discovery.start()
        _, watch = await discovery.watches.get()
        watch.write(
            encode_chunk(watch_event(endpoint_entry("h1", added_endpoint.address), index=8, snapshot=True))
        )
        assert await is_ready()
        for request in received:
            request.respond()
        for client in busy_clients:
            assert (await client.read_response())[0] == 200
            client.send(encode_request("buy"))
            (await added_endpoint.requests.get()).respond()
            assert (await client.read_response())[0] == 200
        for client in idle_clients:
            client.writer.transport.abort()
    added_endpoint.stop()
    discovery.stop()


async def test_an_idle_connection_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    async with running_process(StubEndpoint(), tmp_path) as (child, port):
        idle_client = await connect(port)
        partial_client = await connect(port)
        partial_client.send(encode_request()[:20])
        child.send_signal(signal.SIGTERM)
        assert await idle_client.is_closed()
        assert await child.wait() == 0


async def test_peer_messages_are_sent_and_received() -> None:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer_socket,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger_socket,
    ):
        for datagram_socket in (peer_socket, stranger_socket):
            datagram_socket.bind(("127.0.0.1", 0))
            datagram_socket.setblocking(False)
        peer_address = f"127.0.0.1:{peer_socket.getsockname()[1]}"
        async with running_gateway(
            settings={**settings(peers=True), "balancers": 2},
            peer_listen="127.0.0.1:0",
            peers=["127.0.0.1:1", peer_address],
            peers_all=peer_address,
        ) as gateway:
            loop = asyncio.get_running_loop()
            for message in (SendPeerMessage(b"to one", 1), SendPeerMessage(b"to all")):
                gateway.proxy.execute(message)
                assert await loop.sock_recv(peer_socket, 512) == message.data
            with pytest.raises(ValueError, match="too long"):
                gateway.proxy.execute(SendPeerMessage(bytes(257)))
            assert gateway.proxy.peers.transport is not None
            gateway_address = gateway.proxy.peers.transport.get_extra_info("sockname")
            stranger_socket.sendto(b"from nobody", gateway_address)
            peer_socket.sendto(b"hello", gateway_address)
            received = await gateway.wait_for_event(PeerMessageReceived)
            assert (received.gateway_index, received.data) == (1, b"hello")
