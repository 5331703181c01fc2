"""The drain of a gateway: what it still answers, and what does not delay it."""

from __future__ import annotations

import asyncio
import socket

import pytest

from load_balancer.decisions.events import AttemptEnded
from load_balancer.gateway import client_server
from tests.gateway.process_helpers import expect_last_answer
from tests.sockets import (
    PATIENCE_S,
    Client,
    ask,
    gateway,
    until,
)


async def test_requests_that_come_during_a_drain_are_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Clients go on sending for a moment, on new connections and on those that they have."""
    monkeypatch.setattr(client_server, "PARTIAL_REQUEST_GRACE_S", PATIENCE_S)
    async with gateway() as it:
        idle = await it.client()
        await it.served(idle)
        it.client_server.draining = True
        late = await it.client()
        assert (await (await it.client()).ask(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == 503
        late.send(ask())
        taken = await it.host.taken.get()
        idle.send(ask()[:20])
        await until(
            lambda: any(connection.reader.is_mid_request for connection in it.client_server.connections)
        )
        it.client_server.stop_listening()
        finish = asyncio.create_task(it.client_server.close_connections())
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
    monkeypatch.setattr(client_server, "ACCEPT_GRACE_S", 0.0)
    monkeypatch.setattr(client_server, "REQUEST_GRACE_S", 0.0)
    async with gateway() as it:
        assert it.client_server.listener is not None
        address = it.client_server.listener.sockets[0].getsockname()
        drain = it.client_server.drain()
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
        it.client_server.draining = True
        taken.answer()
        assert (await client.answer())[0] == 200
        (await it.host.taken.get()).answer()
        await expect_last_answer(client)


async def test_a_client_that_reads_nothing_does_not_delay_the_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_server, "UNREAD_ANSWER_GRACE_S", 0.0)
    async with gateway() as it:
        client = await it.client()
        client.send(ask())
        taken = await it.host.taken.get()
        connection = it.stop_reading(client)
        assert connection.transport is not None
        it.client_server.draining = True
        taken.answer(body=bytes(60_000))
        await it.event(AttemptEnded)
        assert connection.transport.get_write_buffer_size() > 0
        await it.client_server.close_connections()
        client.writer.transport.abort()
