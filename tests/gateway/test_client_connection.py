"""Connections from clients: pipelined requests, flow control, and closes that lose no answer."""

from __future__ import annotations

import pytest

from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.gateway import client_connection, lingering_close
from load_balancer.gateway.http_message import BODY_LIMIT
from tests.sockets import PATIENCE_S, ask, gateway, runs_in_event_loop, until


@runs_in_event_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with gateway() as it:
        client = await it.client()
        client.send(ask(Request_Id="first") + ask(Request_Id="second"))
        for name in ("first", "second"):
            taken = await it.host.taken.get()
            assert taken.head["request-id"] == name
            taken.answer(body=name.encode())
            assert (await client.answer())[2] == name.encode()


@runs_in_event_loop
async def test_pipelined_bodies_are_limited() -> None:
    """Not only their number, or each connection could hold eight bodies."""
    async with gateway() as it:
        client = await it.client()
        client.send(ask() + 9 * ask("buy", body=bytes(BODY_LIMIT // 2)))
        await it.host.taken.get()
        (connection,) = it.client_server.connections
        await until(lambda: connection.reader.is_stopped)
        *ahead, last = connection.waiting
        assert len(ahead) == 3
        assert last.rejection is not None
        assert last.rejection.response.status == 503


@runs_in_event_loop
async def test_a_client_that_reads_no_answers_is_served_no_further_request() -> None:
    """Its requests are read all the same, up to a limit, so that its close is noticed."""
    async with gateway() as it:
        client = await it.client()
        client.send(ask())
        taken = await it.host.taken.get()
        connection = it.stop_reading(client)
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=0)
        taken.answer(body=bytes(BODY_LIMIT))
        assert (await it.event(AttemptEnded)).outcome is Outcome.OK
        assert connection.transport.get_write_buffer_size() > 0
        for _ in range(2 * client_connection.PIPELINE_LIMIT):
            client.send(ask())
        await until(lambda: connection.reader.is_stopped)  # read, counted and past the limit
        assert connection.current is None
        assert len(connection.waiting) <= client_connection.PIPELINE_LIMIT + 2
        assert it.host.taken.empty()
        assert it.proxy.ledger.accepted == 1
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert len((await client.answer())[2]) == BODY_LIMIT
        for _ in range(client_connection.PIPELINE_LIMIT + 1):
            (await it.host.taken.get()).answer()
            assert (await client.answer())[0] == 200
        assert (await client.answer())[0] == 503
        assert await client.closed()


@runs_in_event_loop
async def test_input_after_a_rejection_does_not_reset_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closed at once, the connection would be reset by the rest of a body, which can overtake the 413."""
    monkeypatch.setattr(lingering_close, "LINGER_S", 2 * PATIENCE_S)
    async with gateway() as it:
        client = await it.client()
        client.send(ask("buy", body=bytes(BODY_LIMIT + 1), Content_Length=str(2 * BODY_LIMIT)))
        assert (await client.answer())[0] == 413
        assert await client.closed()
        for _ in range(2):  # the first would draw the reset, the second would meet it
            client.send(b"the rest")
        assert not client.writer.transport.is_closing()
        client.writer.transport.abort()


@runs_in_event_loop
async def test_input_after_the_last_request_does_not_reset_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closed at once, the connection would be reset by it, which can overtake the answer."""
    monkeypatch.setattr(lingering_close, "LINGER_S", 2 * PATIENCE_S)
    async with gateway() as it:
        client = await it.client()
        await it.served(client, ask(Connection="close"))
        assert await client.closed()
        for _ in range(2):  # the first would draw the reset, the second would meet it
            client.send(ask())
        assert not client.writer.transport.is_closing()
        client.writer.transport.abort()
        await until(lambda: not it.client_server.connections)


@pytest.mark.parametrize("reads", [True, False])
@runs_in_event_loop
async def test_a_lingering_close_ends_once_the_answer_is_read(
    reads: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(lingering_close, "LINGER_S", 0.01)
    async with gateway() as it:
        client = await it.client()
        client.send(ask(Connection="close"))
        taken = await it.host.taken.get()
        connection = it.stop_reading(client)
        taken.answer(body=bytes(BODY_LIMIT))
        await it.event(AttemptEnded)
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() > 0
        lingering = connection.lingering_close
        assert lingering is not None
        for _ in range(5):
            lingering.close_if_sent()
        assert not connection.transport.is_closing()
        if reads:
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert len((await client.answer())[2]) == BODY_LIMIT
        else:
            client.writer.transport.abort()
        await until(lambda: not it.client_server.connections)
