"""Connections that are closed are freed at once, so that clients that come and go do not fill memory."""

from __future__ import annotations

import asyncio
import weakref

import pytest

from load_balancer.gateway import lingering_close
from load_balancer.gateway.http_message import BODY_LIMIT, HttpRequestError
from tests.gateway.event_loop import TEST_TIMEOUT_S, runs_in_event_loop, wait_until
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.running_gateway import RunningGateway, running_gateway

pytestmark = pytest.mark.usefixtures("no_garbage_collection")


async def open_connection(gateway: RunningGateway) -> tuple[HttpClient, weakref.ref[object]]:
    """Connect a client; returns it and a reference to the gateway's side of its connection."""
    client = await gateway.client()
    await wait_until(lambda: len(gateway.client_server.connections) == 1)
    return client, weakref.ref(next(iter(gateway.client_server.connections)))


async def expect_freed(gateway: RunningGateway, reference: weakref.ref[object]) -> None:
    await wait_until(lambda: not gateway.client_server.connections)
    for _ in range(5):  # iterations in which the loop drops its own references
        await asyncio.sleep(0)
    assert reference() is None


@pytest.mark.parametrize("ended_by_reset", [True, False])
@runs_in_event_loop
async def test_a_connection_that_its_client_closes_is_freed(ended_by_reset: bool) -> None:
    """Connection and reader refer to each other."""
    async with running_gateway() as gateway:
        client, reference = await open_connection(gateway)
        await gateway.serve_request(client)
        if ended_by_reset:
            client.writer.transport.abort()
        else:
            client.writer.close()
        await expect_freed(gateway, reference)


REJECTED_REQUESTS = [
    (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    (encode_request("nothing", Connection="close"), 404),
    (encode_request("buy", body=bytes(BODY_LIMIT + 1)), 413),
]


@pytest.mark.parametrize(("data", "status"), REJECTED_REQUESTS, ids=["malformed", "unknown", "too large"])
@runs_in_event_loop
async def test_the_connection_of_a_rejected_request_is_freed(
    data: bytes, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The traceback of the raised rejection referred to it, and the timer of its close to its transport."""
    monkeypatch.setattr(lingering_close, "LINGER_S", 2 * TEST_TIMEOUT_S)
    async with running_gateway() as gateway:
        client, reference = await open_connection(gateway)
        client.send(data)
        assert (await client.read_response())[0] == status
        lingering = weakref.ref(next(each.lingering_close for each in gateway.client_server.connections))
        client.writer.close()
        await expect_freed(gateway, reference)
        assert lingering() is None


@runs_in_event_loop
async def test_the_connection_of_a_partial_request_is_freed() -> None:
    """Rejected for want of memory, such requests are the ones that hostile clients repeat at once."""
    async with running_gateway() as gateway:
        client, reference = await open_connection(gateway)
        client.send(encode_request("buy", body=b"12", Content_Length="3"))
        connections = gateway.client_server.connections
        await wait_until(lambda: any(each.is_reclaimable for each in connections))
        next(iter(connections)).reject_partial_request(HttpRequestError(503, "too many bytes buffered"))
        assert (await client.read_response())[0] == 503
        client.writer.close()
        await expect_freed(gateway, reference)
