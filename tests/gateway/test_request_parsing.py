"""Parsing of client requests: what is rejected, and what the balancer receives of the others."""

from __future__ import annotations

import pytest

from load_balancer.decisions.events import RequestArrived
from load_balancer.gateway.http_message import BODY_LIMIT, HEAD_LIMIT
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import running_gateway

BAD_REQUESTS = [
    (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    (b"\0\0\0\0\r\n\r\n", 400),
    (encode_request(Request_Id=None), 400),
    (encode_request(Request_Id="two words"), 400),
    (encode_request(Request_Timeout_Ms=None), 400),
    (encode_request(Request_Timeout_Ms="0"), 400),
    (encode_request(Request_Timeout_Ms="-5"), 400),
    (encode_request(Request_Timeout_Ms="soon"), 400),
    (encode_request("pay", Idempotency_Key=None), 400),
    (encode_request("look").replace(b"/look", b"/pay"), 400),
    (encode_request("nothing"), 404),
    (encode_request().replace(b"Request-Class", b"Request-Id: other\r\nRequest-Class"), 400),
    (encode_request("look").replace(b"/look", b"/lost"), 404),
    (encode_request("look", method="POST"), 405),
    (encode_request("buy", body=bytes(BODY_LIMIT + 1)), 413),
    (encode_request(X="x" * HEAD_LIMIT), 431),
    (b"GET /look HTTP/1.1\r\nX: " + b"x" * (HEAD_LIMIT + 1), 431),
]


@pytest.mark.parametrize(("data", "status"), BAD_REQUESTS)
@runs_in_event_loop
async def test_bad_input_is_answered_and_not_forwarded(data: bytes, status: int) -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(data)
        assert (await client.read_response())[0] == status
        if status in (413, 431):  # the framing is lost
            assert await client.is_closed()
        valid_client = await gateway.client()
        valid_client.send(encode_request(Request_Id="ffff"))
        received = await gateway.endpoint.requests.get()
        assert received.headers["request-id"] == "ffff"
        received.respond()
        assert (await valid_client.read_response())[0] == 200


@runs_in_event_loop
async def test_tenants_are_passed_by_index() -> None:
    tenants = [{"name": "acme"}, {"name": "zeta"}]
    async with running_gateway(settings={**settings(), "tenants": tenants}) as gateway:
        client = await gateway.client()
        assert (await client.request(encode_request(Tenant="nobody")))[0] == 400
        await gateway.serve_request(client, encode_request(Tenant="zeta", Work_Hint="1200", Client_Retry="1"))
        arrived = await gateway.wait_for_event(RequestArrived)
        assert (arrived.tenant, arrived.work_us, arrived.is_retry) == (1, 1200, True)


@runs_in_event_loop
async def test_nothing_carries_over_from_one_request_to_the_next_on_a_connection() -> None:
    tenants = [{"name": "acme"}, {"name": "zeta"}]
    async with running_gateway(settings={**settings(), "tenants": tenants}) as gateway:
        client = await gateway.client()
        first_request = encode_request(
            "buy", Tenant="zeta", Work_Hint="1200", Client_Retry="1", Request_Info="isWrite=1"
        )
        await gateway.serve_request(client, first_request)
        first = await gateway.wait_for_event(RequestArrived)
        assert (first.tenant, first.work_us, first.is_retry, first.is_write) == (1, 1200, True, True)
        assert (await client.request(encode_request()))[0] == 400  # the tenant is missing
        await gateway.serve_request(client, encode_request("look", Tenant="acme"))
        second = await gateway.wait_for_event(RequestArrived)
        assert (second.request_class, second.tenant, second.work_us, second.is_retry, second.is_write) == (
            0,
            0,
            None,
            False,
            False,
        )


@runs_in_event_loop
async def test_trailers_are_ignored() -> None:
    """Read as headers, they would set the work hint and mark the request as a retry."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        head = encode_request("buy", Transfer_Encoding="chunked")
        await gateway.serve_request(client, head + b"1\r\nx\r\n0\r\nWork-Hint: 7\r\nClient-Retry: 1\r\n\r\n")
        arrived = await gateway.wait_for_event(RequestArrived)
        assert (arrived.work_us, arrived.is_retry) == (None, False)
