"""Clients that disconnect: their attempts are cancelled and no other is started."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from load_balancer.decisions.actions import Action
from load_balancer.decisions.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from load_balancer.gateway.http_message import BODY_LIMIT
from load_balancer.gateway.upstream_connection import UpstreamConnection
from tests.gateway.scripted_balancer import script_decisions, time_out
from tests.sockets import Gateway, ask, gateway, hold_connects, runs_in_event_loop, settings, until


@runs_in_event_loop
async def test_the_attempt_of_a_client_that_disconnects_is_cancelled() -> None:
    async with gateway() as it:
        client = await it.client()
        client.send(ask())
        await it.host.taken.get()
        client.writer.close()
        await it.event(ClientDisconnected)
        assert (await it.event(AttemptEnded)).outcome is Outcome.CANCELLED
        await it.host.left.get()
        assert not it.proxy.ledger.pending
        assert it.proxy.ledger.unanswered == 0


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("ending", ["ends", "resets", "resets over unread bytes"])
@runs_in_event_loop
async def test_a_request_is_not_forwarded_if_its_client_disconnects_while_the_connection_comes_up(
    ending: str, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where attempts may not be cancelled."""
    async with gateway(settings=settings(mayCancel=may_cancel)) as it:
        free = hold_connects(it, monkeypatch)
        client = await it.client()
        client.send(ask(Request_Id="disconnected") + (b"more" if "unread" in ending else b""))
        await it.event(RequestArrived)
        if ending == "ends":
            client.writer.close()
        else:
            client.writer.transport.abort()
        await it.event(ClientDisconnected)
        free.set()
        ended = await it.event(AttemptEnded)
        assert ended.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT)
        assert ended.finished
        good = await it.client()
        good.send(ask(Request_Id="connected"))
        taken = await it.host.taken.get()
        assert taken.head["request-id"] == "connected"
        taken.answer()
        assert (await good.answer())[0] == 200
        assert not it.proxy.ledger.pending
        assert it.proxy.ledger.unanswered == 0


@runs_in_event_loop
async def test_a_disconnect_before_an_earlier_answer_is_read_counts_at_once() -> None:
    """The transport closes only when all that was written before has been read."""
    async with gateway() as it:
        client = await it.client()
        client.send(ask() + ask(Request_Id="disconnected"))
        taken = await it.host.taken.get()
        connection = it.stop_reading(client)
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=2 * BODY_LIMIT)
        taken.answer(body=bytes(BODY_LIMIT))
        assert (await it.host.taken.get()).head["request-id"] == "disconnected"
        assert connection.transport.get_write_buffer_size() > 0
        client.writer.write_eof()
        await it.event(ClientDisconnected)
        assert (await it.event(AttemptEnded, lambda e: e.request_id == "2")).outcome is Outcome.CANCELLED
        assert not it.proxy.ledger.pending


@runs_in_event_loop
async def test_pipelined_requests_of_a_client_that_disconnects_are_dropped() -> None:
    async with gateway() as it:
        client = await it.client()
        client.send(ask() + ask(Request_Id="ahead") + b"GET /look")
        taken = await it.host.taken.get()
        client.writer.close()
        await it.event(ClientDisconnected)
        taken.answer()
        await it.host.left.get()
        await it.served(await it.client(), ask(Request_Id="connected"))
        assert it.host.taken.empty()
        assert it.proxy.ledger.accepted == 2


def end_by(how: str, client: socket.socket) -> None:
    """The client's end, in its socket at once."""
    if how == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def open_idle_connections(it: Gateway, count: int) -> None:
    """Have the pool hold connections that need no time to come up."""
    clients = [await it.client() for _ in range(count)]
    for client in clients:
        client.send(ask())
    for taken in [await it.host.taken.get() for _ in clients]:
        taken.answer()
    for client in clients:
        assert (await client.answer())[0] == 200


def end_as_request_is_accepted(it: Gateway, monkeypatch: pytest.MonkeyPatch, end: Callable[[], None]) -> None:
    accept = it.proxy.accept

    def end_then_accept(*args: Any, **kwargs: Any) -> Any:
        end()
        return accept(*args, **kwargs)

    monkeypatch.setattr(it.proxy, "accept", end_then_accept)


def end_as_connection_comes_up(
    _it: Gateway, monkeypatch: pytest.MonkeyPatch, end: Callable[[], None]
) -> None:
    connection_made = UpstreamConnection.connection_made

    def end_then_connect(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        end()
        connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", end_then_connect)


def end_as_attempt_times_out(it: Gateway, monkeypatch: pytest.MonkeyPatch, end: Callable[[], None]) -> None:
    handle = it.proxy.balancer.handle

    def end_then_decide(now_us: int, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.TIMEOUT:
            end()
        return handle(now_us, event)

    monkeypatch.setattr(it.proxy.balancer, "handle", end_then_decide)


EndingInTime = Callable[[Gateway, pytest.MonkeyPatch, Callable[[], None]], None]
ATTEMPTS: dict[str, EndingInTime] = {
    "first": end_as_request_is_accepted,
    "on a new connection": end_as_connection_comes_up,
    "further": end_as_attempt_times_out,
}


@pytest.mark.parametrize("how", ["closed", "half", "reset"])
@pytest.mark.parametrize("attempt", ATTEMPTS)
@runs_in_event_loop
async def test_no_attempt_starts_after_a_disconnect_that_the_loop_has_not_read(
    attempt: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client's socket is asked as each attempt comes up."""
    async with gateway(settings=settings(maxAttempts=2)) as it:
        script_decisions(it, ["h0"] * 4, "h0")
        assert it.client_server.listener is not None
        client = socket.create_connection(it.client_server.listener.sockets[0].getsockname())
        await open_idle_connections(it, 0 if attempt == "on a new connection" else 2)
        it.events.clear()
        ATTEMPTS[attempt](it, monkeypatch, partial(end_by, how, client))
        client.send(ask())
        if attempt == "further":
            await it.host.taken.get()
            (request,) = it.proxy.ledger.pending.values()
            time_out(request)
        await it.event(ClientDisconnected)
        await until(lambda: not it.proxy.ledger.pending)
        monkeypatch.undo()
        client.close()
        await it.served(await it.client(), ask(Request_Id="connected"))
        assert it.host.taken.empty()
        assert it.proxy.ledger.unanswered == 0


@pytest.mark.parametrize("draining", [False, True])
@runs_in_event_loop
async def test_requests_of_many_clients_that_disconnect_at_once_are_not_forwarded(
    draining: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with gateway(settings=settings(mayCancel=False)) as it:
        it.proxy.balancer.concurrency_limit.limit = 100.0  # nothing is shed for what is in flight
        free = hold_connects(it, monkeypatch)
        clients = [await it.client() for _ in range(20)]
        for client in clients:
            client.send(ask())
            await it.event(RequestArrived)
        it.client_server.draining = draining
        for number, client in enumerate(clients):
            client.writer.transport.abort() if number % 2 else client.writer.close()
        await until(lambda: not it.client_server.connections)
        free.set()
        await until(lambda: not it.proxy.ledger.pending)
        assert it.proxy.ledger.unanswered == 0
        assert it.host.taken.empty()
        await it.served(await it.client(), ask(Request_Id="connected"))
        assert it.host.taken.empty()
        assert len(it.proxy.upstream.connections) <= 1
