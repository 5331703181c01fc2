"""Requests that are connecting, in flight, retrying or queued when the last endpoint is removed."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.decisions.endpoint import ListKind
from tests.gateway.configurations import request_class_settings, settings
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.running_gateway import RunningGateway, pause_endpoint_connects
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event

ANSWER_TIMEOUT_S = 1.0
CLASSES = ("look", "pay", "buy")


async def remove_fleet(gateway: RunningGateway, watch: asyncio.StreamWriter, is_complete: bool) -> None:
    """Have discovery remove all endpoints, in a complete list or in a change."""
    entries = [endpoint_entry(f"h{n}", gateway.endpoint.address, "left") for n in range(2)]
    gone = [] if is_complete else entries
    watch.write(encode_chunk(watch_event(*gone, index=9, snapshot=is_complete)))
    await next_list(gateway)
    assert gateway.proxy.upstream.ready_count == 0


async def answer_status(client: HttpClient) -> int:
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        return (await client.read_response())[0]


@pytest.mark.parametrize("is_complete", [True, False])
async def test_connecting_requests_are_rejected_at_once_and_never_written(
    is_complete: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with gateway_with_watch(endpoint_count=2, settings=settings(maxAttempts=4)) as (gateway, watch):
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        clients = [await gateway.client() for _ in CLASSES]
        for client, request_class in zip(clients, CLASSES, strict=True):
            client.send(encode_request(request_class))
        while len(gateway.proxy.upstream.connections) < len(CLASSES):
            await asyncio.sleep(0.01)
        await remove_fleet(gateway, watch, is_complete)
        assert [await answer_status(client) for client in clients] == [503, 503, 503]
        resume_connects.set()
        await asyncio.sleep(0.05)
        assert gateway.endpoint.requests.empty()
        assert not gateway.proxy.upstream.connections


@pytest.mark.parametrize("is_complete", [True, False])
@pytest.mark.parametrize(("request_class", "expected"), [("look", 503), ("pay", 503), ("buy", 502)])
async def test_a_failed_request_is_not_retried_at_a_removed_endpoint(
    request_class: str, expected: int, is_complete: bool
) -> None:
    async with gateway_with_watch(endpoint_count=2, settings=settings(maxAttempts=4)) as (gateway, watch):
        client = await gateway.client()
        client.send(encode_request(request_class))
        received = await gateway.endpoint.requests.get()
        await remove_fleet(gateway, watch, is_complete)
        received.respond(500)
        assert await answer_status(client) == expected
        assert gateway.endpoint.requests.empty()


@pytest.mark.parametrize("is_complete", [True, False])
async def test_requests_in_flight_are_answered_by_their_removed_endpoint(is_complete: bool) -> None:
    async with gateway_with_watch(endpoint_count=2) as (gateway, watch):
        client = await gateway.client()
        client.send(encode_request("buy"))
        received = await gateway.endpoint.requests.get()
        await remove_fleet(gateway, watch, is_complete)
        gateway.proxy.upstream.sweep()
        received.respond()
        assert await answer_status(client) == 200
        await asyncio.sleep(0.01)
        assert not gateway.proxy.upstream.connections  # a removed endpoint's connection is not kept


@pytest.mark.parametrize("is_complete", [True, False])
async def test_a_queued_request_is_rejected_when_its_turn_comes(is_complete: bool) -> None:
    ordered = settings(maxAttempts=4)
    ordered["lanes"] = [{**request_class_settings("look", "free"), "sequential": True, "aimUs": 1_000_000}]
    async with gateway_with_watch(endpoint_count=2, settings=ordered) as (gateway, watch):
        first, second = await gateway.client(), await gateway.client()
        first.send(encode_request())
        received = await gateway.endpoint.requests.get()
        second.send(encode_request())
        while len(gateway.proxy.request_tracker.pending) < 2:
            await asyncio.sleep(0.01)
        await remove_fleet(gateway, watch, is_complete)
        received.respond()
        assert await answer_status(first) == 200
        assert await answer_status(second) == 503
        assert gateway.endpoint.requests.empty()


@pytest.mark.parametrize("is_complete", [True, False])
async def test_a_fleet_that_returns_is_served_from_at_once(is_complete: bool) -> None:
    async with gateway_with_watch(endpoint_count=2) as (gateway, watch):
        await gateway.serve_request(await gateway.client())
        await remove_fleet(gateway, watch, is_complete)
        entries = [endpoint_entry(f"h{n}", gateway.endpoint.address, since_ms=1) for n in range(2)]
        watch.write(encode_chunk(watch_event(*entries, index=10, snapshot=is_complete)))
        kind = ListKind.COMPLETE if is_complete else ListKind.DELTA
        assert await next_list(gateway) == (kind, ["h0 ready", "h1 ready"])
        await gateway.serve_request(await gateway.client())
        gateway.proxy.upstream.sweep()
        await gateway.serve_request(await gateway.client())
