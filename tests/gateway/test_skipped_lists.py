"""Lists and changes that are not applied, in whole or in part: the gateway asks for the complete list."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.decisions.endpoint import ListKind
from tests.gateway.configurations import settings
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.running_gateway import RunningGateway, running_gateway
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event

DRAIN_GRACE_S = 0.5
UNREADABLE_ENTRY = endpoint_entry("h1", "nowhere")


def list_at_discovery(gateway: RunningGateway, *entries: object, index: int = 9) -> None:
    """Set the list with which discovery answers a poll."""
    gateway.discovery.complete_list = watch_event(*entries, index=index, snapshot=True).encode()


async def next_complete_list(gateway: RunningGateway) -> list[str]:
    while (event := await next_list(gateway))[0] is not ListKind.COMPLETE:
        pass
    return event[1]


@pytest.mark.parametrize("membership_mode", ["on_request", "pushed"])
@pytest.mark.parametrize(
    "message",
    ["no json\n", '{"index":9}\n', watch_event(UNREADABLE_ENTRY, index=9), watch_event(7, index=9)],
)
async def test_a_change_that_is_skipped_is_fetched_within_the_drain_grace(
    message: str, membership_mode: str
) -> None:
    """What was skipped was never asked for again, so that requests were sent to a draining endpoint."""
    mode = {**settings(), "membershipMode": membership_mode}
    async with gateway_with_watch(settings=mode) as (gateway, watch):
        list_at_discovery(gateway, endpoint_entry("h0", gateway.endpoint.address, "leaving"))
        async with asyncio.timeout(DRAIN_GRACE_S):
            watch.write(encode_chunk(message))
            assert await next_complete_list(gateway) == ["h0 draining"]
        assert not gateway.proxy.balancer.polling.needs_complete_list
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address), index=10)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])


async def test_a_watch_resumes_before_a_skipped_change() -> None:
    """It resumed from the index of a later change, and the skipped one was lost."""
    async with gateway_with_watch() as (gateway, watch):
        watch.write(encode_chunk(watch_event(index=8)))
        watch.write(encode_chunk("no json\n") + encode_chunk(watch_event(index=10)))
        assert await next_list(gateway) == (ListKind.DELTA, [])
        assert await next_list(gateway) == (ListKind.DELTA, [])
        watch.close()
        assert "index=8" in (await gateway.discovery.watches.get())[0]


async def test_the_whole_list_is_asked_for_after_a_cached_list_with_unreadable_entries() -> None:
    """The first watch brought only later changes, so that the endpoint stayed unknown until it changed."""
    known = {"index": 7, "endpoints": [UNREADABLE_ENTRY]}
    async with running_gateway(known=known) as gateway:
        list_at_discovery(gateway, endpoint_entry("h1", gateway.endpoint.address))
        assert "index=0" in (await gateway.discovery.watches.get())[0]
        assert await next_complete_list(gateway) == ["h1 ready"]


@pytest.mark.parametrize("is_complete", [False, True])
@pytest.mark.parametrize(
    ("status", "expected"), [("leaving", "draining"), ("left", "gone"), ("?", "draining")]
)
async def test_an_endpoint_whose_entry_is_unreadable_gets_no_requests_unless_it_is_active(
    status: str, expected: str, is_complete: bool
) -> None:
    """The whole entry was skipped for an error in another field, and the endpoint stayed in use."""
    async with gateway_with_watch(endpoint_count=2) as (gateway, watch):
        entries = [
            endpoint_entry("h0", "nowhere", status),
            endpoint_entry("h1", gateway.endpoint.address),
        ]
        watch.write(encode_chunk(watch_event(*entries, index=9, snapshot=is_complete)))
        kind = ListKind.COMPLETE if is_complete else ListKind.DELTA
        assert await next_list(gateway) == (kind, [f"h0 {expected}", "h1 ready"])
        is_understood = status != "?"
        assert gateway.proxy.balancer.polling.needs_complete_list != is_understood


async def test_a_complete_list_of_other_endpoints_removes_those_that_it_does_not_name() -> None:
    """As the one entry could not be read, the list was ignored, and removed endpoints stayed in use."""
    async with gateway_with_watch() as (gateway, watch):
        list_at_discovery(gateway, endpoint_entry("h1", gateway.endpoint.address))
        watch.write(encode_chunk(watch_event(UNREADABLE_ENTRY, index=9, snapshot=True)))
        assert await next_list(gateway) == (ListKind.COMPLETE, [])
        assert gateway.proxy.upstream.ready_count == 0
        assert await next_complete_list(gateway) == ["h1 ready"]


@pytest.mark.parametrize("end", [b"0\r\n\r\n", b""])
async def test_a_change_is_applied_if_its_watch_ends_without_the_end_of_its_line(end: bytes) -> None:
    """It was dropped, and had to be asked for again at a discovery that may queue calls."""
    async with gateway_with_watch() as (gateway, watch):
        change = watch_event(endpoint_entry("h0", gateway.endpoint.address, "leaving"), index=9)
        watch.write(encode_chunk(change.rstrip("\n")) + end)
        watch.close()
        assert await next_list(gateway) == (ListKind.DELTA, ["h0 draining"])
        assert "index=9" in (await gateway.discovery.watches.get())[0]
        assert not gateway.proxy.balancer.polling.needs_complete_list
