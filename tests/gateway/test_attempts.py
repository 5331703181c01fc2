"""Outcomes of attempts: each way in which one can end is reported to the balancer with its outcome."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.decisions.actions import Action, Send
from load_balancer.decisions.events import AttemptEnded, Event, Outcome, RequestArrived
from load_balancer.gateway.discovery_messages import endpoint_id_of
from load_balancer.gateway.http_message import BODY_LIMIT, HEAD_LIMIT
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import pause_endpoint_connects, running_gateway
from tests.gateway.scripted_balancer import replace_decisions

RESPONSES = [
    (b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n", Outcome.REJECTED),
    (b"HTTP/1.1 504 Late\r\nContent-Length: 0\r\nNot-Started: 1\r\n\r\n", Outcome.REJECTED),
    (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    (b"HTTP/1.1 404 Lost\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
    (b"", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n", Outcome.RESET),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + bytes(BODY_LIMIT + 1), Outcome.RESET),
    (
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * HEAD_LIMIT + b"\r\nContent-Length: 0\r\n\r\n",
        Outcome.RESET,
    ),
    (b"no HTTP at all\r\n\r\n", Outcome.RESET),
]


@pytest.mark.parametrize(("response", "outcome"), RESPONSES)
@runs_in_event_loop
async def test_each_response_has_its_outcome(response: bytes, outcome: Outcome) -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy"))
        (await gateway.endpoint.requests.get()).respond_raw(response, close=True)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is outcome
        # A request that must not run twice is answered 503 only if it certainly has not run.
        assert (await client.read_response())[0] == (503 if outcome is Outcome.REJECTED else 502)


@runs_in_event_loop
async def test_an_interim_response_does_not_end_the_attempt() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request())
        received = await gateway.endpoint.requests.get()
        received.respond_raw(b"HTTP/1.1 102 Processing\r\n\r\n")
        received.respond()
        assert (await client.read_response())[0] == 200


@runs_in_event_loop
async def test_a_refused_connection_is_reported_as_connect_failed() -> None:
    async with running_gateway() as gateway:
        gateway.endpoint.stop()
        assert (await (await gateway.client()).request(encode_request("buy")))[0] == 503
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED


@runs_in_event_loop
async def test_a_malformed_address_is_reported_as_connect_failed() -> None:
    """Connecting to it raises ValueError instead of OSError; uncaught, it would leave the attempt open."""
    async with running_gateway() as gateway:
        gateway.proxy.upstream.endpoints[endpoint_id_of("h0")].address = ("a..b", 80)
        assert (await (await gateway.client()).request(encode_request("buy")))[0] == 503
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert not gateway.proxy.upstream.connections


@runs_in_event_loop
async def test_a_connect_timeout_is_reported_as_connect_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with running_gateway(settings=settings(connectTimeoutUs=1_000)) as gateway:
        pause_endpoint_connects(gateway, monkeypatch)
        assert (await (await gateway.client()).request(encode_request("buy")))[0] == 503
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED


@runs_in_event_loop
async def test_a_request_still_in_the_write_buffer_is_reported_as_connect_failed() -> None:
    """The endpoint resets the connection while most of the body is still in the transport's buffer.

    The request cannot have run. Reported as a reset, it would be answered as one that may have run.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        transport = await gateway.connect_endpoint_that_stops_reading(client)
        client.send(encode_request("buy", body=bytes(BODY_LIMIT)))
        await gateway.wait_for_event(RequestArrived)
        assert transport.get_write_buffer_size() > 0
        gateway.endpoint.writers[0].transport.abort()
        assert (
            await gateway.wait_for_event(AttemptEnded, lambda e: e.request_id == "2")
        ).outcome is Outcome.CONNECT_FAILED
        assert (await client.read_response())[0] == 503


@runs_in_event_loop
async def test_an_attempt_that_times_out_closes_its_connection() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", Request_Timeout_Ms="200"))
        await gateway.endpoint.requests.get()
        assert (await client.read_response())[0] == 502
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.TIMEOUT
        await gateway.endpoint.closed_connections.get()


ENDLESS_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nX: " + b"x" * 1000,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 1000,
    b"HTTP/1.1 102 Processing\r\n\r\n",
]


@pytest.mark.parametrize("prefix", ENDLESS_RESPONSES, ids=["head", "chunk extension", "interim responses"])
@runs_in_event_loop
async def test_an_endless_response_ends_its_attempt(prefix: bytes) -> None:
    """The limit on a response counts all of its bytes, and not only complete headers and the body.

    Otherwise an attempt would read an unfinished header, a chunk extension or interim responses without end.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy"))
        received = await gateway.endpoint.requests.get()
        received.respond_raw(prefix)
        continuation = prefix if prefix.endswith(b"\r\n\r\n") else b"x" * 1000
        outcome_task = asyncio.create_task(gateway.wait_for_event(AttemptEnded))
        while not outcome_task.done() and not received.writer.is_closing():
            received.respond_raw(continuation)
            await received.writer.drain()
            await asyncio.sleep(0)
        assert (await outcome_task).outcome is Outcome.RESET
        assert (await client.read_response())[0] == 502
        assert not gateway.proxy.upstream.connections


@pytest.mark.parametrize("max_attempts", [2, 1])
@runs_in_event_loop
async def test_an_attempt_beyond_the_limit_is_never_sent(max_attempts: int) -> None:
    """The balancer decides on two attempts at once; the gateway enforces `maxAttempts` on its own."""
    async with running_gateway(settings=settings(maxAttempts=max_attempts)) as gateway:

        def send_twice(event: Event) -> list[Action]:
            send = Send(getattr(event, "request_id", ""), endpoint_id_of("h0"), 20_000_000)
            return [send, send] if isinstance(event, RequestArrived) else []

        replace_decisions(gateway, send_twice)
        client = await gateway.client()
        client.send(encode_request())
        for _ in range(max_attempts):
            received = await gateway.endpoint.requests.get()
        if max_attempts == 1:
            assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.NOT_SENT
        received.respond()
        assert (await client.read_response())[0] == 200
        assert gateway.endpoint.requests.empty()
