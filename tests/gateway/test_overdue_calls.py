"""Calls that discovery answers late: they are kept, and the first one to be answered is used."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from load_balancer.config.addresses import parse_address
from load_balancer.decisions.actions import PollEndpoints
from load_balancer.decisions.endpoint import ListKind
from load_balancer.gateway import discovery, discovery_call
from tests.gateway import stub_discovery
from tests.gateway.configurations import settings
from tests.gateway.discovery_helpers import next_list, other_discovery
from tests.gateway.event_loop import wait_until
from tests.gateway.running_gateway import RunningGateway, running_gateway
from tests.gateway.stub_discovery import WATCH_HEAD, encode_chunk, endpoint_entry, watch_event

ERROR: tuple[ListKind, list[str]] = (ListKind.ERROR, [])


@asynccontextmanager
async def gateway_with_slow_discovery(
    monkeypatch: pytest.MonkeyPatch, membership_mode: str = "on_request"
) -> AsyncIterator[RunningGateway]:
    """Run a gateway whose discovery accepts watches and sends nothing; calls are overdue soon."""
    monkeypatch.setattr(discovery_call, "INACTIVITY_TIMEOUT_S", 0.05)
    monkeypatch.setattr(stub_discovery, "WATCH_HEAD", b"")
    async with running_gateway(settings={**settings(), "membershipMode": membership_mode}) as gateway:
        await next_list(gateway)
        yield gateway


def answer(watch: asyncio.StreamWriter, gateway: RunningGateway, name: str) -> None:
    """Answer a watch with a change that adds an endpoint."""
    entry = endpoint_entry(name, gateway.endpoint.address)
    watch.write(WATCH_HEAD + encode_chunk(watch_event(entry, index=12)))


async def open_watches(gateway: RunningGateway, count: int) -> list[asyncio.StreamWriter]:
    """Wait until a number of watches has been opened, each after the one before is overdue."""
    return [(await gateway.discovery.watches.get())[1] for _ in range(count)]


async def is_closed(watch: asyncio.StreamWriter) -> bool:
    """Wait until the gateway has closed a watch."""
    await watch.wait_closed()
    return True


def open_call_count(gateway: RunningGateway) -> int:
    return sum(not writer.is_closing() for writer in gateway.discovery.writers)


@pytest.mark.parametrize("answered", [0, 1, 2])
async def test_the_first_call_to_be_answered_is_used_and_the_others_are_closed(
    answered: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A call was ended when it was overdue, so that a discovery slower than that was never heard."""
    async with gateway_with_slow_discovery(monkeypatch) as gateway:
        watches = await open_watches(gateway, 3)
        monkeypatch.setattr(discovery_call, "INACTIVITY_TIMEOUT_S", 10.0)
        answer(watches[answered], gateway, "h1")
        while (event := await next_list(gateway)) == ERROR:
            pass
        assert event == (ListKind.DELTA, ["h1 ready"])
        await wait_until(lambda: open_call_count(gateway) == 1)
        assert not watches[answered].is_closing()
        entry = endpoint_entry("h2", gateway.endpoint.address)
        watches[answered].write(encode_chunk(watch_event(entry)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])


async def test_an_empty_line_is_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch on which nothing has changed may send only that; the call after it would be one too many."""
    async with gateway_with_slow_discovery(monkeypatch) as gateway:
        first, second = await open_watches(gateway, 2)
        monkeypatch.setattr(discovery_call, "INACTIVITY_TIMEOUT_S", 10.0)
        first.write(WATCH_HEAD + encode_chunk("\n"))
        assert await is_closed(second)
        assert not first.is_closing()


async def test_an_answered_call_that_falls_silent_is_closed_and_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with gateway_with_slow_discovery(monkeypatch) as gateway:
        first, second = await open_watches(gateway, 2)
        answer(first, gateway, "h1")
        while await next_list(gateway) == ERROR:
            pass
        assert await next_list(gateway) == ERROR
        assert await is_closed(first)
        assert await is_closed(second)
        (third,) = await open_watches(gateway, 1)
        answer(third, gateway, "h2")
        assert (await next_list(gateway))[0] is ListKind.DELTA


async def test_a_pushed_list_uses_a_late_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "REOPEN_BACKOFF_S", 0.0)
    async with gateway_with_slow_discovery(monkeypatch, "pushed") as gateway:
        first, _ = await open_watches(gateway, 2)
        answer(first, gateway, "h1")
        assert await next_list(gateway) == (ListKind.DELTA, ["h1 ready"])


async def test_overdue_calls_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each takes a descriptor; the oldest one is closed for a new one."""
    async with gateway_with_slow_discovery(monkeypatch) as gateway:
        watches = await open_watches(gateway, discovery.MAX_OVERDUE_CALLS + 3)
        assert await is_closed(watches[0])
        assert await is_closed(watches[1])
        await wait_until(lambda: open_call_count(gateway) <= discovery.MAX_OVERDUE_CALLS + 1)


async def test_a_failed_overdue_call_is_not_reported_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A second report would double the number of failures, and so the wait before the next call."""
    async with gateway_with_slow_discovery(monkeypatch) as gateway:
        first, second = await open_watches(gateway, 2)
        monkeypatch.setattr(discovery_call, "INACTIVITY_TIMEOUT_S", 10.0)
        failures_before = gateway.proxy.balancer.polling.failures
        first.close()
        await is_closed(first)
        await wait_until(lambda: not gateway.proxy.discovery._overdue_calls)
        assert gateway.proxy.balancer.polling.failures == failures_before
        answer(second, gateway, "h1")
        while (event := await next_list(gateway)) == ERROR:
            pass
        assert event == (ListKind.DELTA, ["h1 ready"])


async def test_overdue_calls_to_the_old_address_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Answered later, they would take the place of the watch at the new address."""
    async with gateway_with_slow_discovery(monkeypatch) as gateway, other_discovery() as new_discovery:
        watches = await open_watches(gateway, 2)
        gateway.proxy.discovery.change_address(parse_address(new_discovery.address))
        for watch in watches:
            assert await is_closed(watch)


async def test_a_late_answer_to_a_poll_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    async with gateway_with_slow_discovery(monkeypatch) as gateway:
        gateway.discovery.poll_response = (
            b"HTTP/1.1 200 OK\r\n\r\n"
            + watch_event(endpoint_entry("h3", gateway.endpoint.address), snapshot=True).encode()
        )
        gateway.discovery.poll_delay_s = 0.2
        gateway.proxy.execute(PollEndpoints())
        while (event := await next_list(gateway)) == ERROR:
            pass
        assert event == (ListKind.COMPLETE, ["h3 ready"])
