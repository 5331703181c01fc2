"""Attempts that are written later than they were decided on: what was true then has to hold at the write."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from load_balancer.decisions.actions import Action, Send
from load_balancer.decisions.events import AttemptEnded, Event, Outcome, RequestArrived
from load_balancer.gateway.discovery_messages import endpoint_id_of
from load_balancer.gateway.http_message import BODY_LIMIT
from load_balancer.gateway.upstream_connection import UpstreamConnection
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, pause_endpoint_connects, running_gateway
from tests.gateway.scripted_balancer import replace_decisions

WINDOW_US = 60_000_000  # of the class `pay` in the test configuration
SHORT_US = 20_000
# The client's timeout is longer than the window, so that only the window has passed.
PAYMENT = encode_request("pay", Request_Timeout_Ms="100000")


def advance_clock(gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch, by_us: int) -> None:
    """Set the gateway's clock forward; timers of its event loop are unaffected."""
    now_us = gateway.proxy.clock.now_us
    monkeypatch.setattr(gateway.proxy.clock, "now_us", lambda: now_us() + by_us)


def stop_clock(gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch) -> None:
    """Stop the gateway's clock, so that only a timer of its event loop can end an attempt."""
    now_us = gateway.proxy.clock.now_us()
    monkeypatch.setattr(gateway.proxy.clock, "now_us", lambda: now_us)


def record_paused_connections(monkeypatch: pytest.MonkeyPatch) -> list[UpstreamConnection]:
    """Return a list of the connections to endpoints that are left with bytes that they cannot write yet."""
    pause_writing, paused = UpstreamConnection.pause_writing, list[UpstreamConnection]()

    def record_and_pause(connection: UpstreamConnection) -> None:
        paused.append(connection)
        pause_writing(connection)

    monkeypatch.setattr(UpstreamConnection, "pause_writing", record_and_pause)
    return paused


def send_within(gateway: RunningGateway, write_within_us: int) -> Callable[[Event], list[Action]]:
    """Return decisions that send each request once, to be written within a time."""

    def decide(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        write_by_us = gateway.proxy.clock.now_us() + write_within_us
        return [Send(event.request_id, endpoint_id_of("h0"), 20_000_000, write_by_us)]

    return decide


@runs_in_event_loop
async def test_a_repeat_is_not_written_after_its_deduplication_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A retry waited 1.1 s for its connection, was written after the window, and the payment ran twice."""
    async with running_gateway(endpoint_count=2, settings=settings(maxAttempts=2)) as gateway:
        client = await gateway.client()
        client.send(PAYMENT)
        received = await gateway.endpoint.requests.get()
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        received.respond(500, Connection="close")
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.ERROR
        advance_clock(gateway, monkeypatch, by_us=WINDOW_US)
        resume_connects.set()
        assert (await client.read_response())[0] == 503  # all endpoints drop repeats, so a retry is harmless
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.NOT_SENT
        assert gateway.endpoint.requests.empty()


@runs_in_event_loop
async def test_a_repeat_is_abandoned_at_the_end_of_its_window(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its client need not wait until the connection is open to learn that nothing more is sent."""
    async with running_gateway() as gateway:
        pause_endpoint_connects(gateway, monkeypatch)
        stop_clock(gateway, monkeypatch)
        replace_decisions(gateway, send_within(gateway, SHORT_US))
        client = await gateway.client()
        client.send(PAYMENT)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.NOT_SENT
        assert not gateway.proxy.upstream.connections


@runs_in_event_loop
async def test_a_repeat_written_in_part_is_abandoned_at_the_end_of_its_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An endpoint that does not read would get the last byte, and run the request, after the window."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.connect_endpoint_that_stops_reading(client)
        stop_clock(gateway, monkeypatch)
        paused_connections = record_paused_connections(monkeypatch)
        replace_decisions(gateway, send_within(gateway, SHORT_US))
        client.send(encode_request("pay", body=bytes(BODY_LIMIT)))
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.NOT_SENT
        assert len(paused_connections) == 1  # a part of the request was left in the transport
        assert not gateway.proxy.upstream.connections


@runs_in_event_loop
async def test_an_expired_repeat_is_not_written_to_an_idle_connection() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        gateway.events.clear()
        replace_decisions(gateway, send_within(gateway, 0))
        client.send(PAYMENT)
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.NOT_SENT
        assert gateway.endpoint.requests.empty()


@runs_in_event_loop
async def test_an_attempt_states_the_time_that_is_left_when_it_is_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It stated the time left before its connection was opened, up to the time to connect too much."""
    async with running_gateway() as gateway:
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        client = await gateway.client()
        client.send(encode_request(Request_Timeout_Ms="9000"))
        await gateway.wait_for_event(RequestArrived)
        advance_clock(gateway, monkeypatch, by_us=5_000_000)
        resume_connects.set()
        received = await gateway.endpoint.requests.get()
        assert int(received.headers["request-timeout-ms"]) <= 4_000
        received.respond()
        assert (await client.read_response())[0] == 200
