"""Clients that disconnect: their attempts are cancelled and no further attempt is started."""

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
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, pause_endpoint_connects, running_gateway
from tests.gateway.scripted_balancer import script_decisions, time_out


@runs_in_event_loop
async def test_the_attempt_of_a_client_that_disconnects_is_cancelled() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request())
        await gateway.endpoint.requests.get()
        client.writer.close()
        await gateway.wait_for_event(ClientDisconnected)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CANCELLED
        await gateway.endpoint.closed_connections.get()
        assert not gateway.proxy.request_tracker.pending
        assert gateway.proxy.request_tracker.unanswered == 0


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("ending", ["ends", "resets", "resets over unread bytes"])
@runs_in_event_loop
async def test_a_request_is_not_forwarded_if_its_client_disconnects_while_the_connection_opens(
    ending: str, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An attempt that waits for a connection is dropped unsent, also where attempts may not be cancelled."""
    async with running_gateway(settings=settings(mayCancel=may_cancel)) as gateway:
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        client = await gateway.client()
        client.send(encode_request(Request_Id="disconnected") + (b"more" if "unread" in ending else b""))
        await gateway.wait_for_event(RequestArrived)
        if ending == "ends":
            client.writer.close()
        else:
            client.writer.transport.abort()
        await gateway.wait_for_event(ClientDisconnected)
        resume_connects.set()
        ended = await gateway.wait_for_event(AttemptEnded)
        assert ended.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT)
        assert ended.finished
        connected_client = await gateway.client()
        connected_client.send(encode_request(Request_Id="connected"))
        received = await gateway.endpoint.requests.get()
        assert received.headers["request-id"] == "connected"
        received.respond()
        assert (await connected_client.read_response())[0] == 200
        assert not gateway.proxy.request_tracker.pending
        assert gateway.proxy.request_tracker.unanswered == 0


@runs_in_event_loop
async def test_a_disconnect_is_noticed_before_earlier_answers_are_read() -> None:
    """The transport reports the loss of the connection only once the client has read all earlier answers.

    The attempt must be cancelled as soon as the client closes its sending side.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request() + encode_request(Request_Id="disconnected"))
        received = await gateway.endpoint.requests.get()
        connection = gateway.stop_reading(client)
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=2 * BODY_LIMIT)
        received.respond(body=bytes(BODY_LIMIT))
        assert (await gateway.endpoint.requests.get()).headers["request-id"] == "disconnected"
        assert connection.transport.get_write_buffer_size() > 0
        client.writer.write_eof()
        await gateway.wait_for_event(ClientDisconnected)
        assert (
            await gateway.wait_for_event(AttemptEnded, lambda e: e.request_id == "2")
        ).outcome is Outcome.CANCELLED
        assert not gateway.proxy.request_tracker.pending


@runs_in_event_loop
async def test_pipelined_requests_of_a_client_that_disconnects_are_dropped() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request() + encode_request(Request_Id="ahead") + b"GET /look")
        received = await gateway.endpoint.requests.get()
        client.writer.close()
        await gateway.wait_for_event(ClientDisconnected)
        received.respond()
        await gateway.endpoint.closed_connections.get()
        await gateway.serve_request(await gateway.client(), encode_request(Request_Id="connected"))
        assert gateway.endpoint.requests.empty()
        assert gateway.proxy.request_tracker.accepted == 2


def disconnect_by(how: str, client: socket.socket) -> None:
    """Disconnect a socket at once: closed, closed for sending only (`half`) or reset."""
    if how == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


async def open_idle_connections(gateway: RunningGateway, count: int) -> None:
    """Leave idle connections in the pool, so that attempts need not wait for a connection."""
    clients = [await gateway.client() for _ in range(count)]
    for client in clients:
        client.send(encode_request())
    for received in [await gateway.endpoint.requests.get() for _ in clients]:
        received.respond()
    for client in clients:
        assert (await client.read_response())[0] == 200


def disconnect_on_accept(
    gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch, disconnect: Callable[[], None]
) -> None:
    """Disconnect just before the gateway accepts the request."""
    accept = gateway.proxy.accept

    def disconnect_then_accept(*args: Any, **kwargs: Any) -> Any:
        disconnect()
        return accept(*args, **kwargs)

    monkeypatch.setattr(gateway.proxy, "accept", disconnect_then_accept)


def disconnect_on_upstream_connect(
    _gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch, disconnect: Callable[[], None]
) -> None:
    """Disconnect just before a new connection to the endpoint is reported as open."""
    connection_made = UpstreamConnection.connection_made

    def disconnect_then_connect(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        disconnect()
        connection_made(connection, transport)

    monkeypatch.setattr(UpstreamConnection, "connection_made", disconnect_then_connect)


def disconnect_on_time_out(
    gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch, disconnect: Callable[[], None]
) -> None:
    """Disconnect just before the balancer handles the time-out of an attempt."""
    handle = gateway.proxy.balancer.handle

    def disconnect_then_handle(now_us: int, event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.TIMEOUT:
            disconnect()
        return handle(now_us, event)

    monkeypatch.setattr(gateway.proxy.balancer, "handle", disconnect_then_handle)


DisconnectScheduler = Callable[[RunningGateway, pytest.MonkeyPatch, Callable[[], None]], None]
DISCONNECT_SCHEDULERS: dict[str, DisconnectScheduler] = {
    "first": disconnect_on_accept,
    "on a new connection": disconnect_on_upstream_connect,
    "further": disconnect_on_time_out,
}


@pytest.mark.parametrize("how", ["closed", "half", "reset"])
@pytest.mark.parametrize("attempt", DISCONNECT_SCHEDULERS)
@runs_in_event_loop
async def test_no_attempt_starts_after_a_disconnect_that_the_loop_has_not_read(
    attempt: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The client disconnects in the iteration of the loop in which the attempt is to be written.

    The loop reads that event only afterwards, so the gateway polls the client's socket before each attempt.
    """
    async with running_gateway(settings=settings(maxAttempts=2)) as gateway:
        script_decisions(gateway, ["h0"] * 4, "h0")
        assert gateway.client_server.listener is not None
        client = socket.create_connection(gateway.client_server.listener.sockets[0].getsockname())
        await open_idle_connections(gateway, 0 if attempt == "on a new connection" else 2)
        gateway.events.clear()
        DISCONNECT_SCHEDULERS[attempt](gateway, monkeypatch, partial(disconnect_by, how, client))
        client.send(encode_request())
        if attempt == "further":
            await gateway.endpoint.requests.get()
            (request,) = gateway.proxy.request_tracker.pending.values()
            time_out(request)
        await gateway.wait_for_event(ClientDisconnected)
        await wait_until(lambda: not gateway.proxy.request_tracker.pending)
        monkeypatch.undo()
        client.close()
        await gateway.serve_request(await gateway.client(), encode_request(Request_Id="connected"))
        assert gateway.endpoint.requests.empty()
        assert gateway.proxy.request_tracker.unanswered == 0


@pytest.mark.parametrize("draining", [False, True])
@runs_in_event_loop
async def test_requests_of_clients_that_disconnect_together_are_not_forwarded(
    draining: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their attempts wait for connections and may not be cancelled; none is written once connections open."""
    async with running_gateway(settings=settings(mayCancel=False)) as gateway:
        # High enough that no request is rejected for the number of requests in flight.
        gateway.proxy.balancer.concurrency_limit.limit = 100.0
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        clients = [await gateway.client() for _ in range(20)]
        for client in clients:
            client.send(encode_request())
            await gateway.wait_for_event(RequestArrived)
        gateway.client_server.draining = draining
        for index, client in enumerate(clients):
            client.writer.transport.abort() if index % 2 else client.writer.close()
        await wait_until(lambda: not gateway.client_server.connections)
        resume_connects.set()
        await wait_until(lambda: not gateway.proxy.request_tracker.pending)
        assert gateway.proxy.request_tracker.unanswered == 0
        assert gateway.endpoint.requests.empty()
        await gateway.serve_request(await gateway.client(), encode_request(Request_Id="connected"))
        assert gateway.endpoint.requests.empty()
        assert len(gateway.proxy.upstream.connections) <= 1
