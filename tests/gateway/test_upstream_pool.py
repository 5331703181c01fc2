"""Connections to endpoints: which are reused, and when they are closed."""

from __future__ import annotations

import os
import socket

import pytest

from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import AttemptEnded, EndpointListReceived, Outcome, RequestArrived
from load_balancer.gateway import upstream_pool
from load_balancer.gateway.discovery_messages import endpoint_id_of
from load_balancer.gateway.http_message import Response
from tests.sockets import (
    Gateway,
    ask,
    chunk,
    entry,
    gateway,
    hold_connects,
    news,
    runs_in_event_loop,
    settings,
    until,
)


@runs_in_event_loop
async def test_connections_to_endpoints_are_kept_alive() -> None:
    """The parser says whether to keep the connection only within its callbacks."""
    async with gateway() as it:
        client = await it.client()
        for _ in range(3):
            await it.served(client)
        assert it.host.connections == 1


@runs_in_event_loop
async def test_a_connection_that_the_endpoint_closes_is_not_reused() -> None:
    async with gateway() as it:
        client = await it.client()
        for _ in range(2):
            client.send(ask())
            (await it.host.taken.get()).answer(Connection="close")
            assert (await client.answer())[0] == 200
        assert it.host.connections == 2


@runs_in_event_loop
async def test_connections_to_endpoints_are_limited() -> None:
    async with gateway() as it:
        it.proxy.upstream.limit = 3
        clients = [await it.client() for _ in range(3)]
        for client in clients:
            client.send(ask())
            await it.host.taken.get()
        assert (await (await it.client()).ask(ask("buy")))[0] == 503
        assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert it.host.connections == 3


@runs_in_event_loop
async def test_idle_connections_to_endpoints_are_closed_before_the_endpoint_does(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with gateway() as it:
        client = await it.client()
        await it.served(client)
        it.proxy.upstream.sweep()
        assert len(it.proxy.upstream.connections) == 1
        assert it.proxy.upstream.timing.idle_timeout_s < 60  # what the settings say
        monkeypatch.setattr(it.proxy.upstream.timing, "idle_timeout_s", 0.0)
        it.proxy.upstream.sweep()
        await it.host.left.get()
        assert not it.proxy.upstream.connections


def stop_clock(it: Gateway) -> list[float]:
    """The pool's clock stands still at the one time in the list."""
    clock = [it.proxy.upstream.timing.now()]
    it.proxy.upstream.timing.now = lambda: clock[0]
    return clock


@runs_in_event_loop
async def test_a_late_second_response_is_not_taken_for_that_to_the_next_request() -> None:
    """A connection is not used again at once: what comes milliseconds late would answer another request."""
    async with gateway(rest_s=upstream_pool.REUSE_DELAY_S) as it:
        clock = stop_clock(it)
        client = await it.client()
        client.send(ask())
        first = await it.host.taken.get()
        first.answer()
        assert (await client.answer())[0] == 200
        client.send(ask())
        second = await it.host.taken.get()
        assert second.writer is not first.writer  # the first has to rest
        first.answer(body=b"once more")
        await it.host.left.get()
        second.answer(body=b"its own")
        assert (await client.answer())[2] == b"its own"
        clock[0] += upstream_pool.REUSE_DELAY_S
        client.send(ask())
        third = await it.host.taken.get()
        assert third.writer is second.writer
        third.answer()
        assert (await client.answer())[0] == 200


@pytest.mark.parametrize("late", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", b""])
@runs_in_event_loop
async def test_an_idle_connection_with_unread_input_is_not_reused(late: bytes) -> None:
    """The loop has yet to read a second response, or the endpoint's close, as the next request is written."""
    async with gateway() as it:
        client = await it.client()
        await it.served(client)
        (idle,) = it.proxy.upstream.connections
        (writer,) = it.host.writers
        ended: list[Response | None] = []
        # All in one turn of the loop, which reads nothing in between.
        with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as raw:
            raw.send(late) if late else raw.shutdown(socket.SHUT_RDWR)
        it.proxy.upstream.send(endpoint_id_of("h0"), ask(), 20.0, lambda _, answer: ended.append(answer))
        assert idle not in it.proxy.upstream.connections
        (await it.host.taken.get()).answer(body=b"its own")
        await until(lambda: bool(ended))
        assert ended[0] is not None
        assert ended[0].body == b"its own"


@runs_in_event_loop
async def test_an_idle_connection_past_its_timeout_is_not_reused() -> None:
    """The sweep looks only once a second, which is too late where endpoints close after 2 s."""
    async with gateway(settings=settings(keepaliveUs=2_000_000)) as it:
        clock = stop_clock(it)
        client = await it.client()
        await it.served(client)
        clock[0] += 1.9
        await it.served(client)
        assert it.host.connections == 2


@runs_in_event_loop
async def test_a_request_waiting_for_a_connection_is_not_written_after_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with gateway() as it:
        _, watch = await it.registry.watches.get()
        free = hold_connects(it, monkeypatch)
        client = await it.client()
        client.send(ask("buy"))
        await it.event(RequestArrived)
        watch.write(chunk(news(entry("h0", it.host.address, "leaving"))))
        await it.event(EndpointListReceived, lambda e: e.kind is ListKind.DELTA)
        free.set()
        assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert (await client.answer())[0] == 503
        assert it.host.taken.empty()


@pytest.mark.parametrize("change", ["leaving", "left", "unlisted", "moved"])
@runs_in_event_loop
async def test_an_attempt_that_waits_for_a_connection_ends_as_its_endpoint_drains(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is not written if the connection comes up later, and does not wait for that to fail."""
    changed = settings(connectTimeoutUs=120_000_000)
    changed["contract"] = {"mustAskInUs": 100_000, "stopSendingWithinUs": 60_000_000}
    async with gateway(settings=changed) as it:
        _, watch = await it.registry.watches.get()
        free = hold_connects(it, monkeypatch)
        client = await it.client()
        client.send(ask("buy"))
        await it.event(RequestArrived)
        if change == "unlisted":
            watch.write(chunk(news(entry("h1", it.host.address), snapshot=True)))
        elif change == "moved":
            watch.write(chunk(news(entry("h0", "127.0.0.1:9"))))
        else:
            watch.write(chunk(news(entry("h0", it.host.address, change))))
        assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
        assert (await client.answer())[0] == 503
        free.set()
        watch.write(chunk(news(entry("h0", it.host.address), entry("h1", "127.0.0.1:9", "left"))))
        await it.event(EndpointListReceived)
        await it.served(client, ask(Request_Id="next"))
        assert it.host.taken.empty()


@runs_in_event_loop
async def test_the_response_of_an_endpoint_that_drains_meanwhile_still_counts() -> None:
    async with gateway() as it:
        _, watch = await it.registry.watches.get()
        client = await it.client()
        client.send(ask("buy"))
        taken = await it.host.taken.get()
        watch.write(chunk(news(entry("h0", it.host.address, "leaving"))))
        await it.event(EndpointListReceived, lambda e: e.kind is ListKind.DELTA)
        it.proxy.upstream.sweep()
        taken.answer()
        assert (await client.answer())[0] == 200
        await it.host.left.get()  # its connection is not kept
        assert not it.proxy.upstream.connections
