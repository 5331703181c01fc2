"""Requests that offer an upgrade to another protocol, which the gateway ignores, and CONNECT."""

from __future__ import annotations

from typing import Any

import pytest

from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.gateway.incoming_request import IncomingRequest, RequestReader
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, running_gateway

OFFER: dict[str, Any] = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAAP__",
}
# Taken for a request of its own, this body would reach the endpoint.
BODY = encode_request("buy", Request_Id="smuggled")


def chunked_request() -> bytes:
    """Return a request whose body comes in two chunks."""
    head = encode_request("buy", Request_Id="offered", Transfer_Encoding="chunked", **OFFER)
    return head + b"5\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % (BODY[:5], len(BODY) - 5, BODY[5:])


async def serve_next(gateway: RunningGateway, request_id: str) -> bytes:
    """Answer the next request at the endpoint, which has to have an id; returns its body."""
    received = await gateway.endpoint.requests.get()
    assert received.headers["request-id"] == request_id
    assert "upgrade" not in received.headers
    received.respond()
    return received.body


@runs_in_event_loop
async def test_requests_after_an_offer_are_answered_on_its_connection() -> None:
    """They were read and never answered: the parser was taken to have left HTTP."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        for request_id in ("first", "second", "third"):
            client.send(encode_request(Request_Id=request_id, **OFFER))
            await serve_next(gateway, request_id)
            assert (await client.read_response())[0] == 200
        (connection,) = gateway.client_server.connections
        assert connection.is_evictable


@runs_in_event_loop
async def test_pipelined_offers_are_answered() -> None:
    """Each offer stops the parser within the bytes of one read."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        ids = [f"r{n}" for n in range(5)]
        client.send(b"".join(encode_request(Request_Id=each, **OFFER) for each in ids))
        for request_id in ids:
            await serve_next(gateway, request_id)
            assert (await client.read_response())[0] == 200


@pytest.mark.parametrize("piece_bytes", [1, 7, 100_000])
@pytest.mark.parametrize(
    "request_bytes",
    [encode_request("buy", body=BODY, Request_Id="offered", **OFFER), chunked_request()],
    ids=["length", "chunks"],
)
@runs_in_event_loop
async def test_the_body_of_a_request_with_an_offer_is_forwarded(
    request_bytes: bytes, piece_bytes: int
) -> None:
    """The request was forwarded without its body, in which the parser sees bytes of another protocol.

    Read on as HTTP without the body's framing, the body would become a request that no client has sent.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        data = request_bytes + encode_request(Request_Id="next")
        for start in range(0, len(data), piece_bytes):
            client.send(data[start : start + piece_bytes])
            await client.writer.drain()
        assert await serve_next(gateway, "offered") == BODY
        assert (await client.read_response())[0] == 200
        assert await serve_next(gateway, "next") == b""
        assert (await client.read_response())[0] == 200
        assert gateway.endpoint.requests.empty()


@runs_in_event_loop
async def test_an_offer_with_a_body_over_the_limit_is_rejected() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", body=bytes(64 * 1024 + 1), **OFFER))
        assert (await client.read_response())[0] == 413
        assert await client.is_closed()


def test_a_slow_request_with_an_offer_is_timed_from_its_first_byte() -> None:
    """Timed from the end of its head, it would have twice the time to arrive."""

    class Listener:
        def head_received(self, request: IncomingRequest) -> None: ...

        def request_received(self, request: IncomingRequest) -> None: ...

    now = [0.0]
    reader = RequestReader(Listener(), lambda: now[0])
    reader.feed(encode_request())
    now[0] = 5.0
    request = encode_request("buy", body=b"12", **OFFER)
    reader.feed(request[:10])
    now[0] = 6.0
    reader.feed(request[10:-1])
    assert reader.has_partial_request
    assert reader.began_at == 5.0


@runs_in_event_loop
async def test_a_rejected_connect_closes_its_connection() -> None:
    """The connection stayed open for 75 s, could not be closed for others, and ignored its client."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(b"CONNECT look:80 HTTP/1.1\r\nHost: look\r\n\r\n" + encode_request())
        status, headers, _ = await client.read_response()
        assert status == 404
        assert headers["connection"] == "close"
        assert await client.is_closed()
        client.writer.close()
        await wait_until(lambda: not gateway.client_server.connections)
        assert gateway.endpoint.requests.empty()


@runs_in_event_loop
async def test_an_endpoint_that_switches_protocols_ends_the_attempt(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The parser's exception reached the event loop, which logged it as a fault of the gateway."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", **OFFER))
        (await gateway.endpoint.requests.get()).respond_raw(
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        )
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.RESET
        assert (await client.read_response())[0] == 502
    assert not caplog.records
