"""Calls to discovery that succeed, fail and time out, over real sockets."""

from __future__ import annotations

import weakref

import pytest

from load_balancer.config.addresses import parse_address
from load_balancer.decisions.actions import PollEndpoints
from load_balancer.decisions.endpoint import ListKind
from load_balancer.gateway import discovery_call
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.event_loop import wait_until
from tests.gateway.running_gateway import running_gateway
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event


@pytest.mark.parametrize("last_bytes", [b"0\r\n\r\n", b"no chunk\r\n", b""])
async def test_a_watch_that_ends_is_reported_as_an_error_and_reopened(last_bytes: bytes) -> None:
    async with gateway_with_watch() as (gateway, watch):
        watch.write(encode_chunk(watch_event(index=12)) + last_bytes)
        assert await next_list(gateway) == (ListKind.DELTA, [])
        watch.close()
        assert await next_list(gateway) == (ListKind.ERROR, [])
        request_line, _ = await gateway.discovery.watches.get()
        assert "index=12" in request_line
        assert gateway.proxy.upstream.endpoints  # the old list stays in force


async def test_a_watch_cut_within_a_line_resumes_after_the_last_complete_line() -> None:
    async with gateway_with_watch() as (gateway, watch):
        watch.write(
            encode_chunk(watch_event(index=12))
            + encode_chunk(watch_event(endpoint_entry("h1", gateway.endpoint.address), index=13)[:30])
        )
        assert await next_list(gateway) == (ListKind.DELTA, [])
        watch.transport.abort()
        assert await next_list(gateway) == (ListKind.ERROR, [])
        request_line, watch = await gateway.discovery.watches.get()
        assert "index=12" in request_line
        # A watch resumes from a lower index too: some changes may then come twice, but none is missed.
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address), index=5)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])
        watch.transport.abort()
        assert await next_list(gateway) == (ListKind.ERROR, [])
        assert "index=5" in (await gateway.discovery.watches.get())[0]


async def test_an_inactive_watch_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "INACTIVITY_TIMEOUT_S", 0.05)
    async with gateway_with_watch() as (gateway, _):
        assert await next_list(gateway) == (ListKind.ERROR, [])
        await gateway.discovery.watches.get()


async def test_a_list_over_the_size_limit_ends_its_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_call, "MAX_MESSAGE_BYTES", 2_000)
    async with gateway_with_watch() as (gateway, watch):
        watch.write(encode_chunk("{\n" + "x" * 1_000 + "\n") + encode_chunk("x" * 1_000))
        assert await next_list(gateway) == (ListKind.ERROR, [])


async def test_a_refused_call_is_reported_as_an_error_and_retried() -> None:
    async with running_gateway(discovery="127.0.0.1:1") as gateway:
        await next_list(gateway)
        assert await next_list(gateway) == (ListKind.ERROR, [])
        assert await next_list(gateway) == (ListKind.ERROR, [])


async def test_a_poll_reads_the_complete_list_once() -> None:
    async with running_gateway() as gateway:
        await next_list(gateway)
        gateway.discovery.complete_list = watch_event(
            endpoint_entry("h3", gateway.endpoint.address), snapshot=True
        ).encode()
        gateway.proxy.execute(PollEndpoints())
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h3 ready"])
        gateway.discovery.complete_list = b"no list"
        gateway.proxy.execute(PollEndpoints())
        assert await next_list(gateway) == (ListKind.ERROR, [])


@pytest.mark.usefixtures("no_garbage_collection")
async def test_a_call_that_has_ended_is_freed_without_garbage_collection() -> None:
    """Parser and call refer to each other, so that each complete list stayed in memory until a collection."""
    async with gateway_with_watch() as (gateway, _):
        assert gateway.proxy.discovery.current_watch is not None
        reference = weakref.ref(gateway.proxy.discovery.current_watch)
        gateway.proxy.discovery.set_subscribed(False)
        await wait_until(lambda: reference() is None)


async def test_a_response_that_switches_protocols_is_reported_as_an_error(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The parser's exception reached the event loop, which logged it as a fault of the gateway."""
    async with running_gateway(discovery="127.0.0.1:1") as gateway:
        gateway.discovery.watch_head = (
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        )
        await next_list(gateway)
        gateway.proxy.discovery.change_address(parse_address(gateway.discovery.address))
        while gateway.discovery.watches.empty():
            assert await next_list(gateway) == (ListKind.ERROR, [])
        assert await next_list(gateway) == (ListKind.ERROR, [])
    assert not [record for record in caplog.records if record.levelname == "ERROR"]
