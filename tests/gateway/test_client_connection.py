"""Connections from clients: pipelined requests, flow control, and closes that lose no answer."""

from __future__ import annotations

import pytest

from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.gateway import client_connection, lingering_close
from load_balancer.gateway.http_message import BODY_LIMIT
from tests.gateway.event_loop import TEST_TIMEOUT_S, runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import running_gateway


@runs_in_event_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request(Request_Id="first") + encode_request(Request_Id="second"))
        for request_id in ("first", "second"):
            received = await gateway.endpoint.requests.get()
            assert received.headers["request-id"] == request_id
            received.respond(body=request_id.encode())
            assert (await client.read_response())[2] == request_id.encode()


@runs_in_event_loop
async def test_pipelined_bodies_are_limited() -> None:
    """Limited by number alone, the queued requests of each connection could hold eight bodies in memory."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request() + 9 * encode_request("buy", body=bytes(BODY_LIMIT // 2)))
        await gateway.endpoint.requests.get()
        (connection,) = gateway.client_server.connections
        await wait_until(lambda: connection.reader.is_stopped)
        *queued, rejected = connection.waiting
        assert len(queued) == 3
        assert rejected.rejection is not None
        assert rejected.rejection.response.status == 503


@runs_in_event_loop
async def test_a_client_that_reads_no_answers_is_served_no_further_request() -> None:
    """Answers that the client does not read would fill the gateway's memory.

    Further requests are still read, up to the pipeline limit, so that a disconnect is noticed.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request())
        received = await gateway.endpoint.requests.get()
        connection = gateway.stop_reading(client)
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=0)
        received.respond(body=bytes(BODY_LIMIT))
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.OK
        assert connection.transport.get_write_buffer_size() > 0
        for _ in range(2 * client_connection.PIPELINE_LIMIT):
            client.send(encode_request())
        # Stopped once the requests that were read exceed the limit.
        await wait_until(lambda: connection.reader.is_stopped)
        assert connection.current is None
        assert len(connection.waiting) <= client_connection.PIPELINE_LIMIT + 2
        assert gateway.endpoint.requests.empty()
        assert gateway.proxy.request_tracker.accepted == 1
        client.writer.transport.resume_reading()  # type: ignore[attr-defined]
        assert len((await client.read_response())[2]) == BODY_LIMIT
        for _ in range(client_connection.PIPELINE_LIMIT + 1):
            (await gateway.endpoint.requests.get()).respond()
            assert (await client.read_response())[0] == 200
        assert (await client.read_response())[0] == 503
        assert await client.is_closed()


@runs_in_event_loop
async def test_input_after_a_rejection_does_not_reset_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closed at once, the connection would be reset by the rest of the body that arrives later.

    The client could receive the reset before it has read the 413.
    """
    monkeypatch.setattr(lingering_close, "LINGER_S", 2 * TEST_TIMEOUT_S)
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", body=bytes(BODY_LIMIT + 1), Content_Length=str(2 * BODY_LIMIT)))
        assert (await client.read_response())[0] == 413
        assert await client.is_closed()
        for _ in range(2):  # the first would cause the reset, the second would fail because of it
            client.send(b"the rest")
        assert not client.writer.transport.is_closing()
        client.writer.transport.abort()


@runs_in_event_loop
async def test_input_after_the_last_request_does_not_reset_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closed at once, the connection would be reset by input that arrives later.

    The client could receive the reset before it has read the answer.
    """
    monkeypatch.setattr(lingering_close, "LINGER_S", 2 * TEST_TIMEOUT_S)
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client, encode_request(Connection="close"))
        assert await client.is_closed()
        for _ in range(2):  # the first would cause the reset, the second would fail because of it
            client.send(encode_request())
        assert not client.writer.transport.is_closing()
        client.writer.transport.abort()
        await wait_until(lambda: not gateway.client_server.connections)


@pytest.mark.parametrize("client_reads", [True, False])
@runs_in_event_loop
async def test_a_lingering_close_waits_until_the_answer_is_read(
    client_reads: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closed after `LINGER_S` in any case, the connection would cut off the answer to a slow reader."""
    monkeypatch.setattr(lingering_close, "LINGER_S", 0.01)
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request(Connection="close"))
        received = await gateway.endpoint.requests.get()
        connection = gateway.stop_reading(client)
        received.respond(body=bytes(BODY_LIMIT))
        await gateway.wait_for_event(AttemptEnded)
        assert connection.transport is not None
        assert connection.transport.get_write_buffer_size() > 0
        lingering = connection.lingering_close
        assert lingering is not None
        for _ in range(5):
            lingering.close_if_sent()
        assert not connection.transport.is_closing()
        if client_reads:
            client.writer.transport.resume_reading()  # type: ignore[attr-defined]
            assert len((await client.read_response())[2]) == BODY_LIMIT
        else:
            client.writer.transport.abort()
        await wait_until(lambda: not gateway.client_server.connections)
