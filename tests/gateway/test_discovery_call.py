"""Calls to discovery that succeed, fail and time out, over real sockets."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import PollEndpoints
from load_balancer.decisions.endpoint import ListKind
from load_balancer.gateway import discovery_call
from tests.gateway.discovery_helpers import next_list, watched
from tests.sockets import chunk, entry, gateway, news


@pytest.mark.parametrize("end", [b"0\r\n\r\n", b"no chunk\r\n", b""])
async def test_a_watch_that_breaks_is_an_error_and_is_retried(end: bytes) -> None:
    async with watched() as (it, watch):
        watch.write(chunk(news(index=12)) + end)
        assert await next_list(it) == (ListKind.DELTA, [])
        watch.close()
        assert await next_list(it) == (ListKind.ERROR, [])
        first, _ = await it.registry.watches.get()
        assert "index=12" in first
        assert it.proxy.upstream.endpoints  # the old list stands


async def test_a_watch_cut_in_mid_line_resumes_after_the_last_complete_one() -> None:
    async with watched() as (it, watch):
        watch.write(chunk(news(index=12)) + chunk(news(entry("h1", it.host.address), index=13)[:30]))
        assert await next_list(it) == (ListKind.DELTA, [])
        watch.transport.abort()
        assert await next_list(it) == (ListKind.ERROR, [])
        first, watch = await it.registry.watches.get()
        assert "index=12" in first
        # An index that runs backwards is asked from again: more comes than is new, and never less.
        watch.write(chunk(news(entry("h2", it.host.address), index=5)))
        assert await next_list(it) == (ListKind.DELTA, ["h2 ready"])
        watch.transport.abort()
        assert await next_list(it) == (ListKind.ERROR, [])
        assert "index=5" in (await it.registry.watches.get())[0]


async def test_a_silent_watch_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "SILENCE_TIMEOUT_S", 0.05)
    async with watched() as (it, _):
        assert await next_list(it) == (ListKind.ERROR, [])
        await it.registry.watches.get()


async def test_a_list_over_the_size_limit_ends_its_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "MAX_MESSAGE_BYTES", 2_000)
    async with watched() as (it, watch):
        watch.write(chunk("{\n" + "x" * 1_000 + "\n") + chunk("x" * 1_000))
        assert await next_list(it) == (ListKind.ERROR, [])


async def test_discovery_that_is_down_is_an_error() -> None:
    async with gateway(discovery="127.0.0.1:1") as it:
        await next_list(it)
        assert await next_list(it) == (ListKind.ERROR, [])
        assert await next_list(it) == (ListKind.ERROR, [])


async def test_a_poll_reads_the_complete_list_once() -> None:
    async with gateway() as it:
        await next_list(it)
        it.registry.whole = news(entry("h3", it.host.address), snapshot=True).encode()
        it.proxy.execute(PollEndpoints())
        assert await next_list(it) == (ListKind.COMPLETE, ["h3 ready"])
        it.registry.whole = b"no list"
        it.proxy.execute(PollEndpoints())
        assert await next_list(it) == (ListKind.ERROR, [])
