"""The client of discovery: its watches, its retries and its address, over real sockets."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from load_balancer.config.addresses import parse_address
from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.actions import PollEndpoints, SubscribeEndpoints
from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.decisions.settings import Settings
from load_balancer.gateway import discovery, discovery_call
from load_balancer.gateway.discovery import DiscoveryClient
from load_balancer.gateway.discovery_call import DiscoveryCall
from load_balancer.gateway.discovery_messages import endpoint_id_of
from tests.decisions.driver import IDEMPOTENT, Driver, timers
from tests.gateway.configurations import settings
from tests.gateway.discovery_helpers import gateway_with_watch, next_list, other_discovery
from tests.gateway.running_gateway import running_gateway
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event
from tests.gateway.stub_server import send_now


async def test_a_watch_starts_from_the_cached_index_and_receives_changes() -> None:
    async with running_gateway() as gateway:
        assert await next_list(gateway) == (ListKind.CACHED, ["h0 ready"])
        request_line, watch = await gateway.discovery.watches.get()
        assert request_line == "GET /registry/instances?stream=1&index=7 HTTP/1.1"
        h1_entry = endpoint_entry(
            "h1", gateway.endpoint.address, since_ms=1_700_000_000_123, zone="b", weight=1.5, group=3, new=1
        )
        watch.write(encode_chunk(watch_event(h1_entry)) + encode_chunk("\n"))
        event = await gateway.wait_for_event(EndpointListReceived)
        assert event.kind is ListKind.DELTA
        (endpoint,) = event.endpoints
        assert (endpoint.zone, endpoint.kind, endpoint.group, endpoint.weight) == (1, 0, 3, 1.5)
        assert endpoint.started_us == 1_700_000_000_123_000
        watch.write(encode_chunk(watch_event(endpoint_entry("h1", gateway.endpoint.address, "left"))))
        assert await next_list(gateway) == (ListKind.DELTA, ["h1 gone"])
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address), snapshot=True)))
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h2 ready"])
        assert gateway.proxy.upstream.endpoints[endpoint_id_of("h0")].draining  # not in the complete list


def retry_waits_s(failures: int, settings: Settings) -> list[float]:
    """Return the balancer's wait after each of a number of failed calls in a row."""
    driver = Driver(settings, endpoints=0)
    waits_s = []
    for _ in range(failures):
        (timer,) = timers(driver.handle(EndpointListReceived(ListKind.ERROR)))
        waits_s.append((timer.due_us - driver.now_us) / 1e6)
    return waits_s


def test_the_inactivity_timeout_leaves_time_for_a_failed_call_and_a_successful_one() -> None:
    """A shorter timeout would end watches that send a line every 2 s.

    With a longer one, the call after an inactive watch would be answered after the deadline for changes.
    """
    line_interval_s, answer_time_s = 2.0, 1.0
    waits_s = retry_waits_s(2, Settings((IDEMPOTENT,), endpoints_are_pushed=False))
    assert (
        line_interval_s + 0.5
        < discovery_call.INACTIVITY_TIMEOUT_S
        < discovery.CHANGE_DEADLINE_S - sum(waits_s) - answer_time_s
    )


async def test_a_pushed_list_is_watched_without_a_subscription_and_the_watch_is_reopened(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery, "REOPEN_BACKOFF_S", 0.0)
    async with gateway_with_watch(settings={**settings(), "membershipMode": "pushed"}) as (gateway, watch):
        watch.close()
        _, watch = await gateway.discovery.watches.get()
        watch.write(encode_chunk(watch_event(endpoint_entry("h1", gateway.endpoint.address))))
        assert await next_list(gateway) == (ListKind.DELTA, ["h1 ready"])  # with no error reported before it


async def test_a_changed_endpoint_address_is_applied() -> None:
    async with gateway_with_watch() as (gateway, watch):
        watch.write(encode_chunk(watch_event(endpoint_entry("h0", "127.0.0.1:9"))))
        await next_list(gateway)
        endpoint = gateway.proxy.upstream.endpoints[endpoint_id_of("h0")]
        assert endpoint.address == ("127.0.0.1", 9)
        watch.write(encode_chunk(watch_event(endpoint_entry("h0", gateway.endpoint.address, "leaving"))))
        assert await next_list(gateway) == (ListKind.DELTA, [f"h0 {EndpointStatus.DRAINING.value}"])
        assert endpoint.draining


async def test_the_watch_and_the_poll_are_repeated_at_a_changed_address() -> None:
    async with gateway_with_watch() as (gateway, old_watch), other_discovery() as new_discovery:
        old_watch.write(encode_chunk(watch_event(endpoint_entry("h1", gateway.endpoint.address), index=8)))
        await next_list(gateway)
        new_discovery.complete_list = watch_event(
            endpoint_entry("h3", gateway.endpoint.address), index=9, snapshot=True
        ).encode()
        gateway.proxy.execute(PollEndpoints())
        gateway.proxy.discovery.change_address(parse_address(new_discovery.address))
        request_line, watch = await new_discovery.watches.get()
        assert request_line == "GET /registry/instances?stream=1&index=8 HTTP/1.1"
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h3 ready"])
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address), index=10)))
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])


async def test_a_changed_address_is_called_at_once_during_the_backoff_after_a_failed_call() -> None:
    """The retry may be 4 s away, by which time a change must already be known."""
    changed_settings = settings()
    changed_settings["contract"] = {"mustAskInUs": 4_000_000_000, "stopSendingWithinUs": 0}
    async with running_gateway(discovery="127.0.0.1:1", settings=changed_settings) as gateway:
        await next_list(gateway)
        gateway.proxy.discovery.set_subscribed(True)
        assert await next_list(gateway) == (ListKind.ERROR, [])
        gateway.proxy.discovery.change_address(parse_address(gateway.discovery.address))
        _, watch = await gateway.discovery.watches.get()
        gateway.proxy.execute(SubscribeEndpoints())  # a repeated subscription, while the watch is open
        watch.write(encode_chunk(watch_event(endpoint_entry("h1", gateway.endpoint.address))))
        assert await next_list(gateway) == (ListKind.DELTA, ["h1 ready"])
        assert gateway.discovery.connections == 1


async def test_messages_of_the_old_address_are_ignored() -> None:
    async with gateway_with_watch() as (gateway, old_watch), other_discovery() as new_discovery:
        send_now(old_watch, encode_chunk(watch_event(endpoint_entry("h9", gateway.endpoint.address))))
        gateway.proxy.discovery.change_address(parse_address(new_discovery.address))
        _, watch = await new_discovery.watches.get()
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address))))
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])


async def test_an_invalid_address_is_an_error_and_is_retried() -> None:
    """Resolving it raises ValueError instead of OSError; uncaught, it would end the retries."""
    async with gateway_with_watch() as (gateway, _):
        gateway.proxy.discovery.change_address(("a..b", 80))
        assert await next_list(gateway) == (ListKind.ERROR, [])
        gateway.proxy.discovery.change_address(parse_address(gateway.discovery.address))
        await gateway.discovery.watches.get()


def test_a_pushed_list_is_reopened_long_before_a_drain_must_be_applied() -> None:
    """Nothing may be sent to a draining endpoint 0.5 s after the change, even if the watch was broken."""
    waits_s: list[float] = []
    loop = SimpleNamespace(call_later=lambda delay_s, *_: waits_s.append(delay_s))
    no_names = NameTable((), (), (), ())
    client = DiscoveryClient(
        cast(asyncio.AbstractEventLoop, loop), ("", 0), no_names, True, lambda _: None, lambda: None
    )
    for _ in range(12):
        client.current_watch = call = cast(DiscoveryCall, object())
        client.on_call_failed(call)
    assert waits_s[0] <= discovery.REOPEN_BACKOFF_S
    assert max(waits_s) <= discovery.REOPEN_BACKOFF_MAX_S < 0.5
    assert sum(waits_s[:3]) < sum(waits_s[3:6])
    assert len(set(waits_s)) == 12


@pytest.mark.parametrize("poll_interval_s", [1, 10, 60, 600])
def test_a_failed_call_is_retried_in_time_whatever_the_poll_interval(poll_interval_s: int) -> None:
    """A wait in proportion to a long polling interval would exceed the deadline for changes."""
    settings = Settings(
        (IDEMPOTENT,), endpoints_are_pushed=False, max_poll_interval_us=poll_interval_s * 1_000_000
    )
    waits_s = retry_waits_s(8, settings)
    assert max(waits_s[:1]) <= min(0.5, poll_interval_s / 20)
    assert max(waits_s) <= min(4.0, poll_interval_s / 2)
    assert sum(waits_s[:3]) < sum(waits_s[3:6])
