"""Connections on which much arrives: they read in turn, and keep the event loop from no other."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.gateway import client_server
from load_balancer.gateway.http_message import BODY_LIMIT, HttpRequestError
from load_balancer.gateway.incoming_request import RequestReader
from load_balancer.gateway.read_scheduler import CONTENDED_READ_BYTES, READ_BYTES, RESUMED_PER_ITERATION
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, running_gateway
from tests.gateway.stub_server import send_now

# A request that is rejected once it is whole, with 64 KB in the smallest chunks, which take long to parse.
UNSOUND_REQUEST = (
    encode_request("buy", Request_Id="two words", Transfer_Encoding="chunked")
    + b"1\r\nx\r\n" * (BODY_LIMIT - 10)
    + b"0\r\n\r\n"
)
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\n\r\n"


def transports(gateway: RunningGateway) -> list[asyncio.Transport | None]:
    return [each.transport for each in gateway.client_server.connections]


class IterationMeter:
    """Counts the bytes that readers are fed in each iteration of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.fed = [0]
        self._task = asyncio.create_task(self._count_iterations())
        feed = RequestReader.feed

        def count_and_feed(reader: RequestReader, data: memoryview) -> None:
            self.fed[-1] += len(data)
            feed(reader, data)

        monkeypatch.setattr(RequestReader, "feed", count_and_feed)

    async def _count_iterations(self) -> None:
        while True:
            self.fed.append(0)
            await asyncio.sleep(0)

    def stop(self) -> None:
        self._task.cancel()


@runs_in_event_loop
async def test_a_client_that_sends_without_a_pause_lets_others_be_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Read until nothing was left, it kept the loop from others, and they were not answered in time."""
    async with running_gateway() as gateway:
        busy_client, other_client = await gateway.client(), await gateway.client()
        await other_client.request(READY_REQUEST)
        meter = IterationMeter(monkeypatch)
        busy_client.send(3 * UNSOUND_REQUEST)
        while sum(meter.fed) < READ_BYTES:
            await asyncio.sleep(0)
        assert (await other_client.request(READY_REQUEST))[0] == 200
        assert sum(meter.fed) < 2 * len(UNSOUND_REQUEST)  # the rest of the busy client's bytes comes later
        for _ in range(3):
            assert (await busy_client.read_response())[0] == 400
        meter.stop()
        assert max(meter.fed) <= READ_BYTES + len(READY_REQUEST)
        await gateway.serve_request(busy_client)


@runs_in_event_loop
async def test_many_such_clients_read_little_in_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """If each read as much as one alone, an iteration would take as long as all of them together."""
    async with running_gateway() as gateway:
        clients = [await gateway.client() for _ in range(8)]
        for client in clients:
            client.send(UNSOUND_REQUEST)
        await wait_until(lambda: all(map(gateway.client_server.reads.is_paused, transports(gateway))))
        meter = IterationMeter(monkeypatch)
        for client in clients:
            assert (await client.read_response())[0] == 400
        meter.stop()
        assert max(meter.fed) <= RESUMED_PER_ITERATION * CONTENDED_READ_BYTES + READ_BYTES


@runs_in_event_loop
async def test_a_connection_that_waits_for_its_turn_is_not_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closed as idle at the end of a shutdown, it would lose the request that is still in its socket."""
    monkeypatch.setattr(client_server, "SHUTDOWN_POLL_S", 0.0)
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        (connection,) = gateway.client_server.connections
        unknown = 2 * encode_request("nothing", body=bytes(30_000), X="x" * 10_000)
        unknown += b"\r\n" * ((READ_BYTES - len(unknown)) // 2)  # empty lines between requests are ignored
        buffer = connection.get_buffer(-1)
        buffer[: len(unknown)] = unknown
        connection.buffer_updated(len(buffer))
        assert gateway.client_server.reads.is_paused(connection.transport)
        send_now(client.writer, encode_request())
        assert not connection.is_idle
        shutdown = asyncio.create_task(gateway.client_server.close_connections())
        for _ in range(2):
            assert (await client.read_response())[0] == 404
        (await gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200
        client.writer.close()
        await shutdown


@runs_in_event_loop
async def test_a_rejected_connection_that_waits_for_its_turn_reads_on() -> None:
    """Closed over bytes that are still in its socket, it would be reset before its client has the answer."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(UNSOUND_REQUEST)
        await wait_until(lambda: bool(gateway.client_server.connections))
        (connection,) = gateway.client_server.connections
        await wait_until(lambda: gateway.client_server.reads.is_paused(connection.transport))
        connection.reject_partial_request(HttpRequestError(408, "too late"))
        assert not gateway.client_server.reads.is_paused(connection.transport)
        assert (await client.read_response())[0] == 408
        assert await client.is_closed()


@runs_in_event_loop
async def test_a_closed_connection_waits_for_no_turn() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(UNSOUND_REQUEST)
        await wait_until(lambda: any(map(gateway.client_server.reads.is_paused, transports(gateway))))
        (connection,) = gateway.client_server.connections
        transport = connection.transport
        connection.abort()
        await wait_until(lambda: not gateway.client_server.connections)
        assert not gateway.client_server.reads.is_paused(transport)
