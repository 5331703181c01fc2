"""Attempts that are written later than they were decided on: what was true then has to hold at the write."""

from __future__ import annotations

import pytest

from load_balancer.decisions.events import RequestArrived
from tests.gateway.event_loop import runs_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, pause_endpoint_connects, running_gateway


def advance_clock(gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch, by_us: int) -> None:
    """Set the gateway's clock forward; timers of its event loop are unaffected."""
    now_us = gateway.proxy.clock.now_us
    monkeypatch.setattr(gateway.proxy.clock, "now_us", lambda: now_us() + by_us)


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
