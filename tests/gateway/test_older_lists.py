"""Lists that are older than the one in use, as from a replica of discovery that lags behind."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.decisions import list_position
from load_balancer.decisions.actions import PollEndpoints
from load_balancer.decisions.endpoint import ListKind
from tests.gateway.configurations import settings
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event

MODES = pytest.mark.parametrize("membership_mode", ["on_request", "pushed"])


def removed_and_older_list(gateway: RunningGateway) -> tuple[str, str]:
    """Return the list without endpoints at index 9, and the list before it, in which h0 is ready."""
    entry = endpoint_entry("h0", gateway.endpoint.address)
    return watch_event(index=9, snapshot=True), watch_event(entry, index=8, snapshot=True)


async def expect_rejected(gateway: RunningGateway) -> None:
    client = await gateway.client()
    assert (await client.request(encode_request()))[0] == 503
    assert gateway.endpoint.requests.empty()


@MODES
async def test_an_older_list_does_not_bring_removed_endpoints_back(membership_mode: str) -> None:
    """Applied as the latest message, it made the gateway send requests to removed endpoints."""
    mode = {**settings(), "membershipMode": membership_mode}
    async with gateway_with_watch(settings=mode) as (gateway, watch):
        removed, older = removed_and_older_list(gateway)
        gateway.discovery.complete_list = older.encode()
        watch.write(encode_chunk(removed))
        assert await next_list(gateway) == (ListKind.COMPLETE, [])
        watch.close()  # the next watch is answered by a replica that lags
        _, watch = await gateway.discovery.watches.get()
        watch.write(encode_chunk(older))
        await asyncio.sleep(0.3)
        await expect_rejected(gateway)
        change = watch_event(endpoint_entry("h0", gateway.endpoint.address, "left"), index=9)
        watch.write(encode_chunk(change))
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address), index=10)))
        while (event := await next_list(gateway)) == (ListKind.ERROR, []):
            pass
        assert event == (ListKind.COMPLETE, [])
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])


async def test_changes_apply_to_the_older_list_with_which_their_watch_began() -> None:
    """An endpoint that had changed and changed back was not named, and stayed as in the newer list."""
    async with gateway_with_watch(endpoint_count=2) as (gateway, watch):
        gateway.discovery.complete_list = b"no list"
        older = [
            endpoint_entry("h0", gateway.endpoint.address, "leaving"),
            endpoint_entry("h1", gateway.endpoint.address),
        ]
        watch.write(encode_chunk(watch_event(*older, index=5, snapshot=True)))
        change = watch_event(endpoint_entry("h2", gateway.endpoint.address), index=6)
        watch.write(encode_chunk(change))
        change = watch_event(endpoint_entry("h1", gateway.endpoint.address, "left"), index=8)
        watch.write(encode_chunk(change))
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h0 draining", "h2 ready"])
        assert gateway.proxy.upstream.ready_count == 1
        watch.write(encode_chunk(watch_event(endpoint_entry("h3", gateway.endpoint.address), index=9)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h3 ready"])


async def test_an_unreadable_change_after_an_older_list_brings_no_endpoint_back() -> None:
    """The older list, in which h0 was still ready, took the place of the newer one with the next change."""
    drained = [endpoint_entry("h0", "127.0.0.1:9", "leaving"), endpoint_entry("h1", "127.0.0.1:9")]
    async with gateway_with_watch(known={"index": 9, "endpoints": drained}) as (gateway, watch):
        gateway.discovery.complete_list = b"no list"
        ready = [endpoint_entry(f"h{n}", "127.0.0.1:9") for n in range(2)]
        watch.write(encode_chunk(watch_event(*ready, index=8, snapshot=True)))
        change = watch_event(7, endpoint_entry("h1", "127.0.0.1:9", "leaving"), index=10)
        watch.write(encode_chunk(change))
        assert await next_list(gateway) == (ListKind.DELTA, ["h1 draining"])
        assert gateway.proxy.upstream.ready_count == 0
        assert gateway.proxy.balancer.polling.needs_complete_list
        current = watch_event(endpoint_entry("h2", gateway.endpoint.address), index=10, snapshot=True)
        gateway.discovery.complete_list = current.encode()
        while (event := await next_list(gateway)) == (ListKind.ERROR, []):
            pass
        assert event == (ListKind.COMPLETE, ["h2 ready"])
        watch.write(encode_chunk(watch_event(endpoint_entry("h3", gateway.endpoint.address), index=11)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h3 ready"])
        assert not gateway.proxy.balancer.polling.needs_complete_list


async def test_a_first_answer_older_than_the_cached_list_is_not_applied() -> None:
    known = {"index": 44, "endpoints": [endpoint_entry("h0", "127.0.0.1:9", "leaving")]}
    async with gateway_with_watch(known=known) as (gateway, watch):
        current = watch_event(endpoint_entry("h2", gateway.endpoint.address), index=45, snapshot=True)
        gateway.discovery.complete_list = current.encode()
        older = watch_event(endpoint_entry("h0", gateway.endpoint.address), index=43, snapshot=True)
        watch.write(encode_chunk(older))
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h2 ready"])  # which was asked for


async def test_a_poll_answered_before_a_change_of_the_watch_does_not_undo_it() -> None:
    async with gateway_with_watch() as (gateway, watch):
        removed, older = removed_and_older_list(gateway)
        gateway.discovery.complete_list, gateway.discovery.poll_delay_s = older.encode(), 0.1
        gateway.proxy.execute(PollEndpoints())
        watch.write(encode_chunk(removed))
        assert await next_list(gateway) == (ListKind.COMPLETE, [])
        await asyncio.sleep(0.2)
        await expect_rejected(gateway)


async def test_a_discovery_that_counts_anew_is_followed_after_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """If older lists were never applied, a gateway would not follow a discovery that was set up again."""
    monkeypatch.setattr(list_position, "OLDER_LISTS_S", 0.2)
    async with gateway_with_watch() as (gateway, watch):
        current = watch_event(endpoint_entry("h3", gateway.endpoint.address), index=2, snapshot=True)
        gateway.discovery.complete_list = current.encode()
        watch.write(encode_chunk(current))
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h3 ready"])
        watch.write(encode_chunk(watch_event(endpoint_entry("h4", gateway.endpoint.address), index=3)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h4 ready"])
