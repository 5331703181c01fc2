"""The listener: limits on connections, timeouts and graceful shutdown."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.decisions.events import RequestArrived
from load_balancer.gateway import client_server
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import running_gateway
from tests.gateway.stub_server import send_now


@pytest.mark.parametrize(("endpoints", "status"), [(1, 200), (0, 503)])
@runs_in_event_loop
async def test_a_gateway_is_ready_once_endpoints_are_known(endpoints: int, status: int) -> None:
    async with running_gateway(endpoint_count=endpoints) as gateway:
        # The cached list is freed once it is parsed; otherwise it would stay in memory beside the result.
        assert not gateway.proxy.config.cached_endpoint_list
        client = await gateway.client()
        assert (await client.request(b"GET /health/ready HTTP/1.1\r\n\r\n"))[0] == status


@runs_in_event_loop
async def test_connections_are_limited_and_idle_ones_are_closed_for_new_ones() -> None:
    """Requests on connections over the limit are answered 503 while no idle connection may be closed."""
    async with running_gateway(limits={"sockets": 128}) as gateway:
        limit = gateway.client_server.max_connections
        idle_clients = [await gateway.client() for _ in range(limit)]
        await wait_until(lambda: len(gateway.client_server.connections) == limit)
        excess_client = await gateway.client()
        assert (await excess_client.request(encode_request()))[0] == 503
        for connection in gateway.client_server.connections:
            connection.last_activity -= client_server.MIN_EVICTION_IDLE_S
        accepted_client = await gateway.client()
        await gateway.serve_request(accepted_client)
        close_checks = [asyncio.create_task(client.is_closed()) for client in idle_clients]
        await asyncio.wait(close_checks, return_when=asyncio.FIRST_COMPLETED)
        assert any(close_check.done() and close_check.result() for close_check in close_checks)
        busy_clients = []
        # High enough that no request is rejected for the number of requests in flight.
        gateway.proxy.balancer.concurrency_limit.limit = 2.0 * limit
        for _ in range(limit):
            busy_clients.append(await gateway.client())
            busy_clients[-1].send(encode_request())
            await gateway.wait_for_event(RequestArrived)
        rejected_client = await gateway.client()
        status, headers, _ = await rejected_client.request(encode_request())
        assert status == 503
        assert headers["connection"] == "close"


@pytest.mark.parametrize("long_idle", [False, True])
@runs_in_event_loop
async def test_idle_clients_do_not_block_a_readiness_check(long_idle: bool) -> None:
    """At the limit on connections, idle clients would otherwise make the gateway fail its readiness checks.

    Over the limit, the oldest connection without a request is closed to make way for a new one.
    """
    async with running_gateway(limits={"sockets": 128}) as gateway:
        open_limit = gateway.client_server.max_connections + client_server.MAX_REJECTED_CONNECTIONS
        idle_clients = [await gateway.client() for _ in range(open_limit)]
        await wait_until(lambda: len(gateway.client_server.connections) == open_limit)
        for connection in gateway.client_server.connections if long_idle else ():
            connection.last_activity -= client_server.MIN_EVICTION_IDLE_S
        for _ in range(open_limit):
            readiness_client = await gateway.client()
            status, _, body = await readiness_client.request(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert (status, body) == (200, b"ready\n")
            idle_clients.append(await gateway.client())
            assert (
                len(gateway.client_server.connections)
                <= open_limit + client_server.EVICTION_HEADROOM_CONNECTIONS
            )
        closed_first = idle_clients[0 if long_idle else gateway.client_server.max_connections]
        assert long_idle or (await closed_first.read_response())[0] == 503
        assert await closed_first.is_closed()


@runs_in_event_loop
async def test_a_client_that_sends_nothing_times_out_before_an_idle_one() -> None:
    """Until its first request a connection has `FIRST_REQUEST_TIMEOUT_S`, after that the idle timeout."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        (served_connection,) = gateway.client_server.connections
        inactive_client = await gateway.client()
        await wait_until(lambda: len(gateway.client_server.connections) == 2)
        for connection in gateway.client_server.connections:
            connection.last_activity -= client_server.FIRST_REQUEST_TIMEOUT_S + 0.1
            connection.reader.began_at -= client_server.FIRST_REQUEST_TIMEOUT_S + 0.1
        gateway.client_server.sweep()
        assert await inactive_client.is_closed()
        assert gateway.client_server.connections == {served_connection}
        await gateway.serve_request(client)


@runs_in_event_loop
async def test_a_slow_request_is_timed_from_its_first_byte() -> None:
    """A client that sends a byte now and then would never be answered 408 if timed from its latest byte."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(b"GET /look HTT")
        await wait_until(lambda: any(not c.is_idle for c in gateway.client_server.connections))
        (connection,) = gateway.client_server.connections
        gateway.client_server.sweep()
        assert not connection.reader.is_stopped
        connection.reader.began_at -= client_server.REQUEST_READ_TIMEOUT_S + 0.1
        last_activity, connection.last_activity = connection.last_activity, 0.0
        client.send(b"P")
        await wait_until(lambda: connection.last_activity >= last_activity)
        gateway.client_server.sweep()
        assert (await client.read_response())[0] == 408
        assert await client.is_closed()


@runs_in_event_loop
async def test_the_first_request_is_timed_from_connecting() -> None:
    """A client that sends one byte after 2 s and no more would wait over 4 s if timed from that byte."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await wait_until(lambda: bool(gateway.client_server.connections))
        (connection,) = gateway.client_server.connections
        connection.reader.began_at -= client_server.FIRST_REQUEST_TIMEOUT_S + 0.1
        client.send(b"GET /look HTT")
        await wait_until(lambda: connection.reader.has_partial_request)
        gateway.client_server.sweep()
        assert connection.reader.is_stopped
        assert (await client.read_response())[0] == 408
        assert await client.is_closed()


@runs_in_event_loop
async def test_empty_lines_after_a_request_are_not_a_partial_request() -> None:
    """If they counted as the start of a request, an idle connection would be answered 408."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        (connection,) = gateway.client_server.connections
        last_activity, connection.last_activity = connection.last_activity, 0.0
        client.send(b"\r\n\r\n")
        await wait_until(lambda: connection.last_activity >= last_activity)
        connection.reader.began_at -= 2 * client_server.REQUEST_READ_TIMEOUT_S
        gateway.client_server.sweep()
        await gateway.serve_request(client)


@runs_in_event_loop
async def test_an_unread_request_is_served_although_its_connection_is_past_the_idle_timeout() -> None:
    """The sweep finds the connection expired while a request waits unread in the socket.

    Closed then, the connection would make its client send the request again on a new one.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        (connection,) = gateway.client_server.connections
        connection.last_activity -= 2 * client_server.IDLE_TIMEOUT_S
        send_now(client.writer, encode_request())
        gateway.client_server.sweep()
        (await gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200
        connection.last_activity -= 2 * client_server.IDLE_TIMEOUT_S
        gateway.client_server.sweep()
        assert await client.is_closed()


@runs_in_event_loop
async def test_shutdown_answers_the_next_pipelined_request_before_it_closes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After an answer, a pipelined request is queued and none is served until the loop's next iteration.

    If the connection counted as idle and was closed then, the second answer would be lost.
    """
    monkeypatch.setattr(client_server, "SHUTDOWN_POLL_S", 0.0)
    monkeypatch.setattr(client_server, "PARTIAL_REQUEST_GRACE_S", -1.0)
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request() + encode_request())
        received = await gateway.endpoint.requests.get()
        gateway.client_server.draining = True
        shutdown = asyncio.create_task(gateway.client_server.close_connections())
        await asyncio.sleep(0)
        received.respond()
        assert (await client.read_response())[0] == 200
        (await gateway.endpoint.requests.get()).respond()
        status, headers, _ = await client.read_response()
        assert status == 200
        assert headers["connection"] == "close"
        assert await client.is_closed()
        client.writer.close()
        await shutdown


@runs_in_event_loop
async def test_a_partial_request_at_the_end_of_a_shutdown_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its last byte may have arrived unread; a close without an answer would lose the request."""
    monkeypatch.setattr(client_server, "PARTIAL_REQUEST_GRACE_S", -1.0)
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", body=b"12", Content_Length="3"))
        await wait_until(lambda: any(c.reader.has_partial_request for c in gateway.client_server.connections))
        gateway.client_server.draining = True
        shutdown = asyncio.create_task(gateway.client_server.close_connections())
        status, headers, _ = await client.read_response()
        assert status == 503
        assert headers["connection"] == "close"
        client.send(b"3")
        assert await client.is_closed()
        client.writer.close()
        await shutdown
        assert gateway.endpoint.requests.empty()
