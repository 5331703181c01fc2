"""Connections to endpoints: which are reused, and when they are closed."""

from __future__ import annotations

import os
import socket

import pytest

from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import AttemptEnded, EndpointListReceived, Outcome, RequestArrived
from load_balancer.gateway import upstream_pool
from load_balancer.gateway.discovery_messages import endpoint_id_of
from load_balancer.gateway.health_checks import HealthCheckRequest
from load_balancer.gateway.http_message import Response
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, pause_endpoint_connects, running_gateway
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event


@runs_in_event_loop
async def test_connections_to_endpoints_are_kept_alive() -> None:
    """The parser reports whether to keep the connection only within its callbacks, not after them."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        for _ in range(3):
            await gateway.serve_request(client)
        assert gateway.endpoint.connections == 1


@runs_in_event_loop
async def test_a_connection_that_the_endpoint_closes_is_not_reused() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        for _ in range(2):
            client.send(encode_request())
            (await gateway.endpoint.requests.get()).respond(Connection="close")
            assert (await client.read_response())[0] == 200
        assert gateway.endpoint.connections == 2


@runs_in_event_loop
async def test_connections_to_endpoints_are_limited() -> None:
    async with running_gateway() as gateway:
        gateway.proxy.upstream.max_connections = 3
        clients = [await gateway.client() for _ in range(3)]
        for client in clients:
            client.send(encode_request())
            await gateway.endpoint.requests.get()
        assert (await (await gateway.client()).request(encode_request("buy")))[0] == 503
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert gateway.endpoint.connections == 3


@runs_in_event_loop
async def test_idle_connections_are_closed_before_the_endpoint_closes_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that crosses the endpoint's close would end as a reset, after which it may have run."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        gateway.proxy.upstream.sweep()
        assert len(gateway.proxy.upstream.connections) == 1
        assert gateway.proxy.upstream.timing.idle_timeout_s < 60  # the endpoints' timeout in the settings
        monkeypatch.setattr(gateway.proxy.upstream.timing, "idle_timeout_s", 0.0)
        gateway.proxy.upstream.sweep()
        await gateway.endpoint.closed_connections.get()
        assert not gateway.proxy.upstream.connections


def stop_clock(gateway: RunningGateway) -> list[float]:
    """Stop the pool's clock; returns a list that holds its time, which the test may change."""
    clock = [gateway.proxy.upstream.timing.now()]
    gateway.proxy.upstream.timing.now = lambda: clock[0]
    return clock


@runs_in_event_loop
async def test_a_late_second_response_does_not_answer_the_next_request() -> None:
    """An endpoint that responds twice does so milliseconds late.

    On a connection that was reused at once, its second response would answer the next request.
    """
    async with running_gateway(reuse_delay_s=upstream_pool.REUSE_DELAY_S) as gateway:
        clock = stop_clock(gateway)
        client = await gateway.client()
        client.send(encode_request())
        first = await gateway.endpoint.requests.get()
        first.respond()
        assert (await client.read_response())[0] == 200
        client.send(encode_request())
        second = await gateway.endpoint.requests.get()
        assert second.writer is not first.writer  # the first may not be reused yet
        first.respond(body=b"once more")
        await gateway.endpoint.closed_connections.get()
        second.respond(body=b"its own")
        assert (await client.read_response())[2] == b"its own"
        clock[0] += upstream_pool.REUSE_DELAY_S
        client.send(encode_request())
        third = await gateway.endpoint.requests.get()
        assert third.writer is second.writer
        third.respond()
        assert (await client.read_response())[0] == 200


@pytest.mark.parametrize("unread_input", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", b""])
@runs_in_event_loop
async def test_an_idle_connection_with_unread_input_is_not_reused(unread_input: bytes) -> None:
    """The loop has not read a second response, or the endpoint's close, when the next request is written.

    That request would get the wrong response or be lost with the connection.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        (idle,) = gateway.proxy.upstream.connections
        (writer,) = gateway.endpoint.writers
        responses: list[Response | None] = []
        # All in one iteration of the loop, which reads nothing in between.
        with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as duplicate:
            duplicate.send(unread_input) if unread_input else duplicate.shutdown(socket.SHUT_RDWR)
        gateway.proxy.upstream.send(
            endpoint_id_of("h0"),
            HealthCheckRequest(encode_request()),
            20.0,
            lambda _, response: responses.append(response),
        )
        assert idle not in gateway.proxy.upstream.connections
        (await gateway.endpoint.requests.get()).respond(body=b"its own")
        await wait_until(lambda: bool(responses))
        assert responses[0] is not None
        assert responses[0].body == b"its own"


@runs_in_event_loop
async def test_an_idle_connection_past_its_timeout_is_not_reused() -> None:
    """The sweep runs only once a second, too late where endpoints close idle connections after 2 s."""
    async with running_gateway(settings=settings(keepaliveUs=2_000_000)) as gateway:
        clock = stop_clock(gateway)
        client = await gateway.client()
        await gateway.serve_request(client)
        clock[0] += 1.9
        await gateway.serve_request(client)
        assert gateway.endpoint.connections == 2


@runs_in_event_loop
async def test_a_request_waiting_for_a_connection_is_not_written_after_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with running_gateway() as gateway:
        _, watch = await gateway.discovery.watches.get()
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        client = await gateway.client()
        client.send(encode_request("buy"))
        await gateway.wait_for_event(RequestArrived)
        watch.write(encode_chunk(watch_event(endpoint_entry("h0", gateway.endpoint.address, "leaving"))))
        await gateway.wait_for_event(EndpointListReceived, lambda e: e.kind is ListKind.DELTA)
        resume_connects.set()
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert (await client.read_response())[0] == 503
        assert gateway.endpoint.requests.empty()


@pytest.mark.parametrize("change", ["leaving", "left", "unlisted", "moved"])
@runs_in_event_loop
async def test_an_attempt_that_waits_for_a_connection_fails_when_its_endpoint_drains(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It fails at once instead of waiting for its connection, and is not written if that opens later."""
    changed_settings = settings(connectTimeoutUs=120_000_000)
    changed_settings["contract"] = {"mustAskInUs": 100_000, "stopSendingWithinUs": 60_000_000}
    async with running_gateway(settings=changed_settings) as gateway:
        _, watch = await gateway.discovery.watches.get()
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        client = await gateway.client()
        client.send(encode_request("buy"))
        await gateway.wait_for_event(RequestArrived)
        if change == "unlisted":
            watch.write(
                encode_chunk(watch_event(endpoint_entry("h1", gateway.endpoint.address), snapshot=True))
            )
        elif change == "moved":
            watch.write(encode_chunk(watch_event(endpoint_entry("h0", "127.0.0.1:9"))))
        else:
            watch.write(encode_chunk(watch_event(endpoint_entry("h0", gateway.endpoint.address, change))))
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert (await client.read_response())[0] == 503
        resume_connects.set()
        watch.write(
            encode_chunk(
                watch_event(
                    endpoint_entry("h0", gateway.endpoint.address),
                    endpoint_entry("h1", "127.0.0.1:9", "left"),
                )
            )
        )
        await gateway.wait_for_event(EndpointListReceived)
        await gateway.serve_request(client, encode_request(Request_Id="next"))
        assert gateway.endpoint.requests.empty()


@runs_in_event_loop
async def test_the_response_of_an_endpoint_that_begins_to_drain_is_used() -> None:
    async with running_gateway() as gateway:
        _, watch = await gateway.discovery.watches.get()
        client = await gateway.client()
        client.send(encode_request("buy"))
        received = await gateway.endpoint.requests.get()
        watch.write(encode_chunk(watch_event(endpoint_entry("h0", gateway.endpoint.address, "leaving"))))
        await gateway.wait_for_event(EndpointListReceived, lambda e: e.kind is ListKind.DELTA)
        gateway.proxy.upstream.sweep()
        received.respond()
        assert (await client.read_response())[0] == 200
        await gateway.endpoint.closed_connections.get()  # its connection is not kept
        assert not gateway.proxy.upstream.connections
