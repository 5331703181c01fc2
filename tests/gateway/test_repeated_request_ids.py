"""Requests that come again with the same id, as from a client that had left: none is executed twice."""

from __future__ import annotations

import pytest

from load_balancer.decisions.events import AttemptEnded, ClientDisconnected
from load_balancer.gateway.recent_request_ids import MAX_IDS, RETENTION_S, RecentRequestIds
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import pause_endpoint_connects, running_gateway


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("request_class", ["buy", "pay"])
@runs_in_event_loop
async def test_an_id_whose_client_has_left_is_not_executed_again(
    request_class: str, may_cancel: bool
) -> None:
    """Its attempt may still run; the request was sent to an endpoint a second time."""
    async with running_gateway(settings=settings(mayCancel=may_cancel)) as gateway:
        client = await gateway.client()
        client.send(encode_request(request_class, Request_Id="again"))
        await gateway.endpoint.requests.get()
        client.writer.close()
        await gateway.wait_for_event(ClientDisconnected)
        for _ in range(2):
            returned_client = await gateway.client()
            status, _, _ = await returned_client.request(encode_request(request_class, Request_Id="again"))
            assert status == 409  # neither refused nor served: the client must not take it for harmless
        assert gateway.endpoint.requests.empty()
        await gateway.serve_request(returned_client, encode_request(request_class))


@runs_in_event_loop
async def test_an_id_that_is_in_flight_or_served_is_not_executed_again() -> None:
    async with running_gateway() as gateway:
        client, other_client = await gateway.client(), await gateway.client()
        client.send(encode_request("buy", Request_Id="again"))
        received = await gateway.endpoint.requests.get()
        assert (await other_client.request(encode_request("buy", Request_Id="again")))[0] == 409
        received.respond()
        assert (await client.read_response())[0] == 200
        assert (await client.request(encode_request("buy", Request_Id="again")))[0] == 409
        assert gateway.endpoint.requests.empty()


@runs_in_event_loop
async def test_an_id_that_has_certainly_not_been_executed_is_served() -> None:
    """A refusal tells the client that trying again is harmless."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", Request_Id="again"))
        (await gateway.endpoint.requests.get()).respond(503, Not_Started="1")
        assert (await client.read_response())[0] == 503
        await gateway.serve_request(client, encode_request("buy", Request_Id="again"))


@runs_in_event_loop
async def test_an_id_that_was_never_sent_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client has left while the connection to the endpoint was being opened."""
    async with running_gateway() as gateway:
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        client = await gateway.client()
        client.send(encode_request("buy", Request_Id="again"))
        await wait_until(lambda: bool(gateway.proxy.request_tracker.pending))
        client.writer.close()
        await gateway.wait_for_event(AttemptEnded)
        resume_connects.set()
        await gateway.serve_request(await gateway.client(), encode_request("buy", Request_Id="again"))


@runs_in_event_loop
async def test_an_idempotent_request_may_come_again() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        for _ in range(2):
            await gateway.serve_request(client, encode_request("look", Request_Id="again"))
        assert len(gateway.proxy.request_tracker.recent_ids) == 0


@runs_in_event_loop
async def test_the_end_of_another_request_forgets_no_id() -> None:
    """An idempotent request of the same id, or one that had ended before, made the gateway forget it."""
    async with running_gateway() as gateway:
        tracker = gateway.proxy.request_tracker
        client = await gateway.client()
        client.send(encode_request("buy", Request_Id="again"))
        received = await gateway.endpoint.requests.get()
        (unsent_request,) = tracker.pending.values()
        received.respond(503, Not_Started="1")
        assert (await client.read_response())[0] == 503
        await gateway.serve_request(client, encode_request("buy", Request_Id="again"))
        await gateway.serve_request(client, encode_request("look", Request_Id="again"))
        tracker.remove_if_finished(unsent_request)
        assert (await client.request(encode_request("buy", Request_Id="again")))[0] == 409


def test_recent_ids_are_bounded_in_number_and_age() -> None:
    """Remembered for ever, the ids of every request would fill memory."""
    now = [0.0]
    recent = RecentRequestIds(lambda: now[0])
    for number in range(MAX_IDS + 1):
        recent.add(b"%d" % number)
    assert len(recent) == MAX_IDS
    assert b"0" not in recent
    assert b"1" in recent
    now[0] = RETENTION_S / 2
    recent.add(b"1")
    now[0] = RETENTION_S
    assert b"2" not in recent
    assert b"1" in recent
    assert len(recent) == 1
    recent.discard(b"1")
    assert b"1" not in recent
