"""The list and the watch over real sockets."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import cast

import pytest

from load_balancer.config.file import NameTable, parse_address
from load_balancer.decisions.actions import PollEndpoints, SubscribeEndpoints
from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.decisions.settings import Settings
from load_balancer.gateway import discovery
from load_balancer.gateway import event_log as logs
from load_balancer.gateway.discovery import endpoint_id_of
from tests.decisions.driver import SAFE, Driver, timers
from tests.sockets import Gateway, Registry, chunk, entry, gateway, news, run, send_now, settings


async def told(it: Gateway) -> tuple[ListKind, list[str]]:
    """The next list event: its kind and its hosts' states, by name."""
    event = await it.event(EndpointListReceived)
    names = {endpoint_id_of(f"h{n}"): f"h{n}" for n in range(9)}
    return event.kind, [f"{names[s.id]} {s.status.value}" for s in event.endpoints]


def test_the_watch_starts_from_what_is_known_and_brings_changes() -> None:
    async def test() -> None:
        async with gateway() as it:
            assert await told(it) == (ListKind.CACHED, ["h0 ready"])
            first, watch = await it.registry.watches.get()
            assert first == "GET /registry/instances?stream=1&index=7 HTTP/1.1"
            h1 = entry(
                "h1", it.host.address, since_ms=1_700_000_000_123, zone="b", weight=1.5, group=3, new=1
            )
            watch.write(chunk(news(h1)) + chunk("\n"))
            event = await it.event(EndpointListReceived)
            assert event.kind is ListKind.DELTA
            (server,) = event.endpoints
            assert (server.zone, server.kind, server.group, server.weight) == (1, 0, 3, 1.5)
            assert server.started_us == 1_700_000_000_123_000
            watch.write(chunk(news(entry("h1", it.host.address, "left"))))
            assert await told(it) == (ListKind.DELTA, ["h1 gone"])
            watch.write(chunk(news(entry("h2", it.host.address), snapshot=True)))
            assert await told(it) == (ListKind.COMPLETE, ["h2 ready"])
            assert it.proxy.upstream.hosts[endpoint_id_of("h0")].draining  # the full list lacks it

    run(test())


def test_a_line_in_pieces_is_one_line() -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            line = news(entry("h1", it.host.address))
            watch.write(chunk(line[:30]))
            await watch.drain()
            watch.write(chunk(line[30:] + news(entry("h2", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h1 ready"])
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])

    run(test())


BAD_ENTRIES: list[object] = [
    7,
    {"name": "h1"},
    entry("h1", "nowhere"),
    entry("h1", "127.0.0.1:70000"),
    entry("h1", "127.0.0.1:1", status="asleep"),
    entry("h1", "127.0.0.1:1", zone="mars"),
    entry("h1", "127.0.0.1:1", type="abacus"),
    entry("h1", "127.0.0.1:1", weight=0),
    entry("h1", "127.0.0.1:1", weight="heavy"),
    entry("h1", "127.0.0.1:1", since_ms=None),
    entry("h1", "127.0.0.1:1", since_ms=-5),
    entry("h1", "127.0.0.1:1", group=[]),
]


@pytest.mark.parametrize("bad", BAD_ENTRIES)
def test_a_bad_entry_is_skipped(bad: object, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(bad, entry("h2", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            assert "skipped a list entry" in caplog.text

    run(test())


@pytest.mark.parametrize("bad", ["no json", "[]", '{"index":9}', '{"endpoints":{}}', "\xff"])
def test_a_bad_line_is_skipped(bad: str, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(bad + "\n") + chunk(news(entry("h2", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            assert "skipped what discovery said" in caplog.text

    run(test())


@pytest.mark.parametrize("end", [b"0\r\n\r\n", b"no chunk\r\n", b""])
def test_a_watch_that_breaks_is_an_error_and_asked_for_again(end: bytes) -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(index=12)) + end)
            assert await told(it) == (ListKind.DELTA, [])
            watch.close()
            assert await told(it) == (ListKind.ERROR, [])
            first, _ = await it.registry.watches.get()
            assert "index=12" in first
            assert it.proxy.upstream.hosts  # the old list stands

    run(test())


def test_a_silent_watch_is_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "SILENCE_S", 0.05)

    async def test() -> None:
        async with gateway() as it:
            await told(it)
            await it.registry.watches.get()
            assert await told(it) == (ListKind.ERROR, [])
            await it.registry.watches.get()

    run(test())


def test_a_silence_leaves_time_for_a_call_that_fails_and_one_that_does_not() -> None:
    """Told 6 s after it fell silent: 5 s of silence left 0.5 s for the call, and it took longer."""
    line_s, call_s, told_s = 2.0, 1.0, 6.0
    ask = Driver(Settings((SAFE,), endpoints_are_pushed=False), endpoints=0)
    waits_s = []
    for _ in range(2):
        (timer,) = timers(ask.handle(EndpointListReceived(ListKind.ERROR)))
        waits_s.append((timer.due_us - ask.now_us) / 1e6)
    assert line_s + 0.5 < discovery.SILENCE_S < told_s - sum(waits_s) - call_s


def test_discovery_that_is_down_is_an_error() -> None:
    async def test() -> None:
        async with gateway(discovery="127.0.0.1:1") as it:
            await told(it)
            assert await told(it) == (ListKind.ERROR, [])
            assert await told(it) == (ListKind.ERROR, [])

    run(test())


def test_the_whole_list_once() -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            it.registry.whole = news(entry("h3", it.host.address), snapshot=True).encode()
            it.proxy.carry_out(PollEndpoints())
            assert await told(it) == (ListKind.COMPLETE, ["h3 ready"])
            it.registry.whole = b"no list"
            it.proxy.carry_out(PollEndpoints())
            assert await told(it) == (ListKind.ERROR, [])

    run(test())


def test_a_pushed_list_comes_unasked_and_is_listened_to_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "REOPEN_S", 0.0)

    async def test() -> None:
        async with gateway(settings={**settings(), "membershipMode": "pushed"}) as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.close()
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h1", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h1 ready"])  # and no error in between

    run(test())


def test_an_address_that_changes_is_followed() -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(entry("h0", "127.0.0.1:9"))))
            await told(it)
            host = it.proxy.upstream.hosts[endpoint_id_of("h0")]
            assert host.address == ("127.0.0.1", 9)
            watch.write(chunk(news(entry("h0", it.host.address, "leaving"))))
            assert await told(it) == (ListKind.DELTA, [f"h0 {EndpointStatus.DRAINING.value}"])
            assert host.draining

    run(test())


def test_discovery_that_moves_is_followed_with_all_that_was_asked() -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, old = await it.registry.watches.get()
            old.write(chunk(news(entry("h1", it.host.address), index=8)))
            await told(it)
            elsewhere = Registry()
            await elsewhere.start()
            elsewhere.whole = news(entry("h3", it.host.address), index=9, snapshot=True).encode()
            it.proxy.carry_out(PollEndpoints())
            it.proxy.discovery.move(parse_address(elsewhere.address))
            first, watch = await elsewhere.watches.get()
            assert first == "GET /registry/instances?stream=1&index=8 HTTP/1.1"
            assert await told(it) == (ListKind.COMPLETE, ["h3 ready"])
            watch.write(chunk(news(entry("h2", it.host.address), index=10)))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            elsewhere.stop()

    run(test())


class Piece(bytes):
    """Counts the bytes that are put together anew as it is added to others."""

    added = 0

    def __radd__(self, before: bytes) -> bytes:
        Piece.added += len(before) + len(self)
        return bytes(before) + bytes(self)


@pytest.mark.parametrize("indent", [None, 1])
def test_a_long_list_in_small_pieces_is_not_put_together_anew_with_each(indent: int | None) -> None:
    text = json.dumps(json.loads(news(*(entry(f"h{n}", "127.0.0.1:9") for n in range(200)))), indent=indent)
    data, messages, Piece.added = text.encode() + b"\n\n" + text.encode()[:50], discovery.Messages(), 0
    found = []
    for start in range(0, len(data), 100):
        found += messages.feed(Piece(data[start : start + 100]))
    assert found == [text.encode()] and Piece.added <= len(data)
    newlines = text[:50].count("\n")
    assert messages.size == 50 - newlines and messages.ended == 2


def test_an_indented_list_is_one_message() -> None:
    """Each of its lines was skipped as rubbish, and nothing of the list was learnt."""

    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            whole = json.loads(news(entry("h1", it.host.address, note="} ["), entry("h2", it.host.address)))
            for indent in (2, 0, "\t"):
                text = json.dumps({**whole, "snapshot": True}, indent=indent) + "\n"
                for part in (text[:40], text[40:90], text[90:]):
                    watch.write(chunk(part))
                assert await told(it) == (ListKind.COMPLETE, ["h1 ready", "h2 ready"])
                watch.write(chunk("\n") + chunk(news(entry("h2", it.host.address, "leaving"))))
                assert await told(it) == (ListKind.DELTA, ["h2 draining"])

    run(test())


@pytest.mark.parametrize("bad", ["{", '{"index": 9, "endpoints": [', "[[[", "}"])
def test_a_message_that_is_cut_off_costs_no_other(bad: str, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(bad + "\n") + chunk(news(entry("h2", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            watch.write(chunk(bad + "\n") + chunk("\n"))
            watch.write(chunk(json.dumps(json.loads(news(entry("h3", it.host.address))), indent=1) + "\n"))
            assert await told(it) == (ListKind.DELTA, ["h3 ready"])
            logs.flush()  # the second within a second is counted
            assert caplog.text.count("skipped what discovery said") == 2

    run(test())


def test_a_list_too_long_ends_its_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "LINE_LIMIT", 2_000)

    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk("{\n" + "x" * 1_000 + "\n") + chunk("x" * 1_000))
            assert await told(it) == (ListKind.ERROR, [])

    run(test())


def test_a_whole_list_keeps_what_it_names_and_cannot_say() -> None:
    """An entry that could not be read was left out, and its host was taken for gone."""

    async def test() -> None:
        async with gateway(hosts=2) as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            listed = [entry("h0", "nowhere"), entry("h2", it.host.address), entry("h3", "nowhere")]
            watch.write(chunk(news(*listed, snapshot=True)))
            assert await told(it) == (ListKind.COMPLETE, ["h0 ready", "h2 ready"])
            hosts = it.proxy.upstream.hosts
            assert [hosts[endpoint_id_of(f"h{n}")].draining for n in range(3)] == [False, True, False]

    run(test())


@pytest.mark.parametrize("listed", [[], [7, {}], [entry("h7", "nowhere")]])
def test_a_whole_list_of_nothing_empties_no_list(
    listed: list[object], caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(*listed, snapshot=True)))
            watch.write(chunk(news(entry("h2", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            assert "a whole list without a host" in caplog.text
            await it.served(await it.client())

    run(test())


def test_a_move_is_followed_at_once_while_a_failed_call_waits_for_its_repeat() -> None:
    """Only a call that was out was made again, and a repeat could be 4 s off: as long as the rules give."""

    async def test() -> None:
        changed = settings()
        changed["contract"] = {"mustAskInUs": 4_000_000_000, "stopSendingWithinUs": 0}
        async with gateway(discovery="127.0.0.1:1", settings=changed) as it:
            await told(it)
            it.proxy.discovery.watch(True)
            assert await told(it) == (ListKind.ERROR, [])
            it.proxy.discovery.move(parse_address(it.registry.address))
            _, watch = await it.registry.watches.get()
            it.proxy.carry_out(SubscribeEndpoints())  # the repeat finds the watch open
            watch.write(chunk(news(entry("h1", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h1 ready"])
            assert it.registry.connections == 1

    run(test())


def test_the_old_address_has_no_last_word() -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, old = await it.registry.watches.get()
            elsewhere = Registry()
            await elsewhere.start()
            send_now(old, chunk(news(entry("h9", it.host.address))))
            it.proxy.discovery.move(parse_address(elsewhere.address))
            _, watch = await elsewhere.watches.get()
            watch.write(chunk(news(entry("h2", it.host.address))))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            elsewhere.stop()

    run(test())


def test_a_move_to_an_address_that_is_none_is_an_error_and_tried_again() -> None:
    """It raises no OSError: the call never ended, and none was made again."""

    async def test() -> None:
        async with gateway() as it:
            await told(it)
            await it.registry.watches.get()
            it.proxy.discovery.move(("a..b", 80))
            assert await told(it) == (ListKind.ERROR, [])
            it.proxy.discovery.move(parse_address(it.registry.address))
            await it.registry.watches.get()

    run(test())


def test_a_watch_that_is_cut_in_mid_line_begins_where_the_last_whole_one_ended() -> None:
    async def test() -> None:
        async with gateway() as it:
            await told(it)
            _, watch = await it.registry.watches.get()
            watch.write(chunk(news(index=12)) + chunk(news(entry("h1", it.host.address), index=13)[:30]))
            assert await told(it) == (ListKind.DELTA, [])
            watch.transport.abort()
            assert await told(it) == (ListKind.ERROR, [])
            first, watch = await it.registry.watches.get()
            assert "index=12" in first
            # An index that runs backwards is asked from again: more comes than is new, and never less.
            watch.write(chunk(news(entry("h2", it.host.address), index=5)))
            assert await told(it) == (ListKind.DELTA, ["h2 ready"])
            watch.transport.abort()
            assert await told(it) == (ListKind.ERROR, [])
            assert "index=5" in (await it.registry.watches.get())[0]

    run(test())


def test_a_pushed_list_is_listened_to_again_long_before_a_drain_must_be_heeded() -> None:
    waits_s: list[float] = []
    loop = SimpleNamespace(call_later=lambda delay_s, *_: waits_s.append(delay_s))
    nameless = NameTable((), (), (), ())
    it = discovery.DiscoveryClient(
        cast(asyncio.AbstractEventLoop, loop), ("", 0), nameless, True, lambda _: None
    )
    for _ in range(12):
        it.current = call = cast(discovery.Call, object())
        it.failed(call)
    assert waits_s[0] <= discovery.REOPEN_S and max(waits_s) <= discovery.REOPEN_MOST_S < 0.5
    assert sum(waits_s[:3]) < sum(waits_s[3:6]) and len(set(waits_s)) == 12


@pytest.mark.parametrize("must_ask_s", [1, 10, 60, 600])
def test_a_failed_call_is_repeated_in_time_whatever_the_time_for_asking(must_ask_s: int) -> None:
    """It was repeated after a fortieth of that time: with 60 s, when the 6 s of a silent watch were over."""
    ask = Driver(
        Settings((SAFE,), endpoints_are_pushed=False, max_poll_interval_us=must_ask_s * 1_000_000),
        endpoints=0,
    )
    waits_s = []
    for _ in range(8):
        (timer,) = timers(ask.handle(EndpointListReceived(ListKind.ERROR)))
        waits_s.append((timer.due_us - ask.now_us) / 1e6)
    assert max(waits_s[:1]) <= min(0.5, must_ask_s / 20) and max(waits_s) <= min(4.0, must_ask_s / 2)
    assert sum(waits_s[:3]) < sum(waits_s[3:6])
