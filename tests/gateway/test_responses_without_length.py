"""Responses that tell no length: the orderly end of their connection is their end, a reset is none."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import PollEndpoints
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.gateway.http_message import BODY_LIMIT
from tests.gateway.discovery_helpers import next_list
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.running_gateway import RunningGateway, running_gateway
from tests.gateway.stub_discovery import endpoint_entry, watch_event
from tests.gateway.stub_endpoint import ReceivedRequest
from tests.gateway.stub_server import reset, send_now

HEADS = [
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
]
# What ends before its end, or tells of no content.
INCOMPLETE_RESPONSES = [
    b"HTTP/1.1 200 OK\r\nX: cut",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nencoded",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (BODY_LIMIT + 1),
]


async def send_request(gateway: RunningGateway) -> tuple[HttpClient, ReceivedRequest]:
    """Send a request that must not run twice; returns its client and what the endpoint has received."""
    client = await gateway.client()
    client.send(encode_request("buy"))
    return client, await gateway.endpoint.requests.get()


@pytest.mark.parametrize("head", HEADS)
@runs_in_event_loop
async def test_a_response_without_length_is_forwarded_whole(head: bytes) -> None:
    """It was taken for a reset, and a change that had run was answered 502."""
    body = b"x" * 10_000
    async with running_gateway() as gateway:
        client, received = await send_request(gateway)
        received.respond_raw(head + body[:5])
        await received.writer.drain()
        received.respond_raw(body[5:], close=True)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.OK
        status, headers, forwarded = await client.read_response()
        assert (status, forwarded) == (200, body)
        assert headers["content-length"] == str(len(body))
        assert not gateway.proxy.upstream.connections
        await gateway.serve_request(client)  # on a new connection to the endpoint


@runs_in_event_loop
async def test_a_response_without_length_may_follow_one_with_length() -> None:
    """The connection of the first one may be kept; that of the second one has ended and is not."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        client.send(encode_request("buy"))
        received = await gateway.endpoint.requests.get()
        received.respond_raw(HEADS[1] + b"all", close=True)
        assert (await client.read_response())[2] == b"all"
        assert gateway.endpoint.connections == 1
        assert not gateway.proxy.upstream.connections


@pytest.mark.parametrize("response", INCOMPLETE_RESPONSES, ids=lambda response: response[:60].decode())
@runs_in_event_loop
async def test_an_incomplete_response_is_a_reset_though_its_connection_ends_in_order(response: bytes) -> None:
    async with running_gateway() as gateway:
        client, received = await send_request(gateway)
        received.respond_raw(response, close=True)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.RESET
        assert (await client.read_response())[0] == 502


@pytest.mark.parametrize("is_read_before", [True, False])
@runs_in_event_loop
async def test_a_reset_is_no_end_of_a_response_without_length(is_read_before: bool) -> None:
    """Taken for the end, a reset would make a part of the response its whole."""
    async with running_gateway() as gateway:
        client, received = await send_request(gateway)
        buffered_before = gateway.proxy.buffers.used_bytes
        send_now(received.writer, HEADS[1] + b"a part")
        if is_read_before:
            await wait_until(lambda: gateway.proxy.buffers.used_bytes > buffered_before)
        reset(received.writer)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.RESET
        assert (await client.read_response())[0] == 502


@runs_in_event_loop
async def test_a_list_without_length_is_read() -> None:
    """An answer of discovery that told no length was taken for a failed call."""
    async with running_gateway() as gateway:
        await next_list(gateway)
        complete_list = watch_event(endpoint_entry("h3", gateway.endpoint.address), snapshot=True)
        gateway.discovery.poll_response = b"HTTP/1.1 200 OK\r\n\r\n" + complete_list.encode()
        gateway.proxy.execute(PollEndpoints())
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h3 ready"])
