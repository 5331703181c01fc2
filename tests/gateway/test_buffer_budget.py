"""The budget of memory for the messages of all connections together."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from load_balancer.decisions.events import AttemptEnded, ClientDisconnected, Outcome, RequestArrived
from load_balancer.gateway import client_server
from load_balancer.gateway.buffer_budget import MIN_LIMIT_BYTES, REQUEST_SHARE, BufferBudget
from load_balancer.gateway.client_connection import ClientConnection
from load_balancer.gateway.http_message import BODY_LIMIT
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.reload_helpers import reloadable_gateway
from tests.gateway.running_gateway import RunningGateway, running_gateway

SMALL_LIMITS = {"sockets": 1024, "memory_mb": 1}
REQUEST_LIMIT_BYTES = int(MIN_LIMIT_BYTES * REQUEST_SHARE)
# More bodies of the largest size than fit into the budget for requests.
TOO_MANY_BODIES = REQUEST_LIMIT_BYTES // BODY_LIMIT + 4


def full_request() -> bytes:
    """Return a request of the largest size, with an id of its own."""
    return encode_request("buy", body=bytes(BODY_LIMIT))


@pytest.mark.parametrize(("memory_mb", "limit_bytes"), [(64, 16_000_000), (0.5, MIN_LIMIT_BYTES)])
def test_the_budget_is_a_share_of_the_memory_limit(memory_mb: float, limit_bytes: int) -> None:
    assert BufferBudget(memory_mb).limit_bytes == limit_bytes


async def test_a_reload_applies_a_changed_memory_limit(tmp_path: Path) -> None:
    """A gateway with a lower limit than at its start would be killed with the budget of the old one."""
    async with reloadable_gateway(tmp_path) as instance:
        await instance.reload(limits={"sockets": 1024, "memory_mb": 40})
        assert instance.gateway.proxy.buffers.limit_bytes == 10_000_000


async def expect_release(gateway: RunningGateway) -> None:
    """Wait until nothing is counted any more, once every client has gone."""
    await wait_until(lambda: not gateway.client_server.connections)
    assert gateway.proxy.buffers.used_bytes == 0


async def leave_answer_unread(gateway: RunningGateway) -> tuple[HttpClient, ClientConnection]:
    """Serve a request with the largest body to a client that stops reading; return both ends."""
    client = await gateway.client()
    client.send(encode_request())
    received = await gateway.endpoint.requests.get()
    connection = gateway.stop_reading(client)
    received.respond(body=bytes(BODY_LIMIT))
    await gateway.wait_for_event(AttemptEnded)
    return client, connection


@runs_in_event_loop
async def test_requests_received_in_part_are_rejected_before_they_fill_the_memory() -> None:
    """Bodies that never end added up over all connections; the gateway was killed with all its requests.

    The largest are rejected first, so that proper requests are served meanwhile.
    """
    async with running_gateway(limits=SMALL_LIMITS) as gateway:
        bad_clients = [await gateway.client() for _ in range(TOO_MANY_BODIES)]
        small_client = await gateway.client()
        small_client.send(encode_request()[:-2])
        for bad_client in bad_clients:
            bad_client.send(full_request()[:-1])
        rejected, _ = await asyncio.wait(
            [asyncio.create_task(client.read_response()) for client in bad_clients],
            return_when=asyncio.FIRST_COMPLETED,
        )
        assert {task.result()[0] for task in rejected} == {503}
        assert gateway.proxy.buffers.used_bytes <= REQUEST_LIMIT_BYTES
        small_client.send(b"\r\n")
        (await gateway.endpoint.requests.get()).respond()
        assert (await small_client.read_response())[0] == 200
        for client in (small_client, *bad_clients):
            client.writer.transport.abort()
        await expect_release(gateway)


@runs_in_event_loop
async def test_requests_are_rejected_while_those_being_served_fill_the_memory() -> None:
    """Whole requests that wait for endpoints added up as well; none of those being served is dropped."""
    async with running_gateway(limits=SMALL_LIMITS) as gateway:
        gateway.proxy.balancer.concurrency_limit.limit = 2.0 * TOO_MANY_BODIES
        clients = [await gateway.client() for _ in range(TOO_MANY_BODIES)]
        statuses = [asyncio.create_task(client.request(full_request())) for client in clients]
        await asyncio.wait(statuses, return_when=asyncio.FIRST_COMPLETED)
        assert gateway.proxy.buffers.used_bytes <= REQUEST_LIMIT_BYTES + BODY_LIMIT
        for _ in range(gateway.proxy.request_tracker.accepted):
            (await gateway.endpoint.requests.get()).respond()
        answers = [status for status, _, _ in await asyncio.gather(*statuses)]
        assert answers.count(200) == gateway.proxy.request_tracker.accepted
        assert answers.count(503) == TOO_MANY_BODIES - answers.count(200) > 0
        await gateway.serve_request(clients[-1], full_request())
        for client in clients:
            client.writer.transport.abort()
        await expect_release(gateway)


@runs_in_event_loop
async def test_a_response_without_memory_for_it_is_a_reset() -> None:
    """Responses that never end added up over all connections to endpoints."""
    async with running_gateway(limits=SMALL_LIMITS) as gateway:
        client = await gateway.client()
        client.send(encode_request("buy"))
        received = await gateway.endpoint.requests.get()
        gateway.proxy.buffers.limit_bytes = BODY_LIMIT // 2
        received.respond_raw(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_LIMIT + bytes(BODY_LIMIT - 1)
        )
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.RESET
        assert (await client.read_response())[0] == 502
        client.writer.transport.abort()
        await expect_release(gateway)


@runs_in_event_loop
async def test_answers_that_a_client_does_not_read_are_counted() -> None:
    """Clients that read no answers held up to 128 KB each, which nothing bounded over all of them."""
    async with running_gateway(limits=SMALL_LIMITS) as gateway:
        client, connection = await leave_answer_unread(gateway)
        assert connection.transport is not None
        unsent = connection.transport.get_write_buffer_size()
        assert gateway.proxy.buffers.used_bytes == unsent > 0
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        await client.read_response()
        gateway.client_server.sweep()
        assert gateway.proxy.buffers.used_bytes == 0


@pytest.mark.parametrize("seconds_unread", [0.0, client_server.UNREAD_ANSWER_GRACE_S])
@runs_in_event_loop
async def test_answers_that_stay_unread_are_dropped_when_memory_runs_out(seconds_unread: float) -> None:
    """Clients that read no answers could use up the budget, so that all other requests were rejected."""
    async with running_gateway(limits=SMALL_LIMITS) as gateway:
        slow_client, connection = await leave_answer_unread(gateway)
        gateway.proxy.buffers.limit_bytes = int(gateway.proxy.buffers.used_bytes / REQUEST_SHARE) - 1
        connection.last_activity -= seconds_unread
        client = await gateway.client()
        client.send(encode_request())
        if seconds_unread:
            (await gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == (200 if seconds_unread else 503)
        assert (connection in gateway.client_server.connections) == (not seconds_unread)
        slow_client.writer.transport.abort()


@runs_in_event_loop
async def test_a_request_whose_client_has_gone_keeps_no_body(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where attempts cannot be cancelled, bodies of clients that come and go added up until the time-outs."""
    async with running_gateway() as gateway:
        monkeypatch.setattr(gateway.proxy, "_cancel", lambda _action: None)
        client = await gateway.client()
        client.send(full_request())
        await gateway.wait_for_event(RequestArrived)
        received = await gateway.endpoint.requests.get()
        client.writer.transport.abort()
        await gateway.wait_for_event(ClientDisconnected)
        (request,) = gateway.proxy.request_tracker.pending.values()
        (attempt,) = request.attempts
        assert attempt is not None
        assert not attempt.done
        assert request.client_request.body == b""
        assert gateway.proxy.buffers.used_bytes == 0
        received.respond()
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.OK
