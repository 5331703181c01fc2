"""Graceful shutdown of a gateway: what it still answers, and what does not delay it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from load_balancer.decisions.events import AttemptEnded
from load_balancer.gateway import client_server
from tests.gateway.event_loop import TEST_TIMEOUT_S, wait_until
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.process_helpers import expect_final_answer
from tests.gateway.running_gateway import running_gateway


async def test_requests_that_come_during_a_drain_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients still send requests for a moment after a drain has begun, on open and on new connections."""
    monkeypatch.setattr(client_server, "PARTIAL_REQUEST_GRACE_S", TEST_TIMEOUT_S)
    async with running_gateway() as gateway:
        idle_client = await gateway.client()
        await gateway.serve_request(idle_client)
        gateway.client_server.draining = True
        new_client = await gateway.client()
        assert (await (await gateway.client()).request(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 503
        new_client.send(encode_request())
        received = await gateway.endpoint.requests.get()
        idle_client.send(encode_request()[:20])
        await wait_until(
            lambda: any(
                connection.reader.has_partial_request for connection in gateway.client_server.connections
            )
        )
        gateway.client_server.stop_listening()
        shutdown = asyncio.create_task(gateway.client_server.close_connections())
        received.respond()
        for client in (new_client, idle_client):
            await expect_final_answer(client)
            if client is new_client:
                idle_client.send(encode_request()[20:])
                (await gateway.endpoint.requests.get()).respond()
        await shutdown


async def test_a_request_in_the_accept_queue_as_the_listener_closes_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closing the listener at once would reset a connection that it has not accepted yet."""
    monkeypatch.setattr(client_server, "ACCEPT_GRACE_S", 0.0)
    monkeypatch.setattr(client_server, "REQUEST_GRACE_S", 0.0)
    async with running_gateway() as gateway:
        assert gateway.client_server.listener is not None
        address = gateway.client_server.listener.sockets[0].getsockname()
        drain = gateway.client_server.drain()
        drain.send(None)  # runs up to the wait before the listener is closed
        queued_socket = socket.create_connection(address)
        queued_socket.send(encode_request())
        drain.send(None)  # ends that wait in this iteration of the loop, before anything is accepted
        drain_task = asyncio.create_task(drain)
        client = HttpClient(*await asyncio.open_connection(sock=queued_socket))
        (await gateway.endpoint.requests.get()).respond()
        await expect_final_answer(client)
        client.writer.close()
        await drain_task


async def test_pipelined_requests_are_answered_before_a_drain_closes() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request() + encode_request())
        received = await gateway.endpoint.requests.get()
        gateway.client_server.draining = True
        received.respond()
        assert (await client.read_response())[0] == 200
        (await gateway.endpoint.requests.get()).respond()
        await expect_final_answer(client)


async def test_a_client_that_reads_nothing_does_not_delay_the_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_server, "UNREAD_ANSWER_GRACE_S", 0.0)
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request())
        received = await gateway.endpoint.requests.get()
        connection = gateway.stop_reading(client)
        assert connection.transport is not None
        gateway.client_server.draining = True
        received.respond(body=bytes(60_000))
        await gateway.wait_for_event(AttemptEnded)
        assert connection.transport.get_write_buffer_size() > 0
        await gateway.client_server.close_connections()
        client.writer.transport.abort()
