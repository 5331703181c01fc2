"""Messages of discovery: how a watch is split into them, and which messages and entries are skipped."""

from __future__ import annotations

import json

import pytest

from load_balancer.decisions.endpoint import ListKind
from load_balancer.gateway import event_log
from load_balancer.gateway.discovery_messages import JsonStreamSplitter, endpoint_id_of
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.http_client import encode_request
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event


async def test_a_line_in_several_chunks_is_one_message() -> None:
    async with gateway_with_watch() as (gateway, watch):
        line = watch_event(endpoint_entry("h1", gateway.endpoint.address))
        watch.write(encode_chunk(line[:30]))
        await watch.drain()
        watch.write(encode_chunk(line[30:] + watch_event(endpoint_entry("h2", gateway.endpoint.address))))
        assert await next_list(gateway) == (ListKind.DELTA, ["h1 ready"])
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])


BAD_ENTRIES: list[object] = [
    7,
    {"name": "h1"},
    endpoint_entry("h1", "nowhere"),
    endpoint_entry("h1", "127.0.0.1:70000"),
    endpoint_entry("h1", "127.0.0.1:1", status="asleep"),
    endpoint_entry("h1", "127.0.0.1:1", zone="mars"),
    endpoint_entry("h1", "127.0.0.1:1", type="abacus"),
    endpoint_entry("h1", "127.0.0.1:1", weight=0),
    endpoint_entry("h1", "127.0.0.1:1", weight="heavy"),
    endpoint_entry("h1", "127.0.0.1:1", since_ms=None),
    endpoint_entry("h1", "127.0.0.1:1", since_ms=-5),
    endpoint_entry("h1", "127.0.0.1:1", group=[]),
]


@pytest.mark.parametrize("malformed_entry", BAD_ENTRIES)
async def test_a_malformed_entry_is_skipped(
    malformed_entry: object, caplog: pytest.LogCaptureFixture
) -> None:
    async with gateway_with_watch() as (gateway, watch):
        watch.write(
            encode_chunk(watch_event(malformed_entry, endpoint_entry("h2", gateway.endpoint.address)))
        )
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])
        assert "skipped a list entry" in caplog.text


@pytest.mark.parametrize("malformed_line", ["no json", "[]", '{"index":9}', '{"endpoints":{}}', "\xff"])
async def test_a_malformed_line_is_skipped(malformed_line: str, caplog: pytest.LogCaptureFixture) -> None:
    async with gateway_with_watch() as (gateway, watch):
        watch.write(
            encode_chunk(malformed_line + "\n")
            + encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address)))
        )
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])
        assert "skipped a message of discovery" in caplog.text


class CountedBytes(bytes):
    """Bytes that count how many bytes are copied when they are appended to others."""

    copied = 0

    def __radd__(self, prefix: bytes) -> bytes:
        CountedBytes.copied += len(prefix) + len(self)
        return bytes(prefix) + bytes(self)


@pytest.mark.parametrize("indent", [None, 1])
def test_a_long_list_in_small_pieces_is_joined_once(indent: int | None) -> None:
    """Appended to a buffer one by one, the pieces of a list would be copied again with each new piece."""
    text = json.dumps(
        json.loads(watch_event(*(endpoint_entry(f"h{n}", "127.0.0.1:9") for n in range(200)))), indent=indent
    )
    data, splitter, CountedBytes.copied = (
        text.encode() + b"\n\n" + text.encode()[:50],
        JsonStreamSplitter(),
        0,
    )
    messages = []
    for start in range(0, len(data), 100):
        messages += splitter.feed(CountedBytes(data[start : start + 100]))
    assert messages == [text.encode()]
    assert CountedBytes.copied <= len(data)
    newlines = text[:50].count("\n")
    assert splitter.buffered_bytes == 50 - newlines
    assert splitter.completed == 2


async def test_an_indented_list_is_one_message() -> None:
    """Split at line ends, an indented list would be skipped as a series of malformed messages."""
    async with gateway_with_watch() as (gateway, watch):
        message = json.loads(
            watch_event(
                endpoint_entry("h1", gateway.endpoint.address, note="} ["),
                endpoint_entry("h2", gateway.endpoint.address),
            )
        )
        for indent in (2, 0, "\t"):
            text = json.dumps({**message, "snapshot": True}, indent=indent) + "\n"
            for fragment in (text[:40], text[40:90], text[90:]):
                watch.write(encode_chunk(fragment))
            assert await next_list(gateway) == (ListKind.COMPLETE, ["h1 ready", "h2 ready"])
            watch.write(
                encode_chunk("\n")
                + encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address, "leaving")))
            )
            assert await next_list(gateway) == (ListKind.DELTA, ["h2 draining"])


@pytest.mark.parametrize("truncated", ["{", '{"index": 9, "endpoints": [', "[[[", "}"])
async def test_a_truncated_message_does_not_lose_the_next_one(
    truncated: str, caplog: pytest.LogCaptureFixture
) -> None:
    """If the splitter looked for its end in the next message, both would be skipped."""
    async with gateway_with_watch() as (gateway, watch):
        watch.write(
            encode_chunk(truncated + "\n")
            + encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address)))
        )
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])
        watch.write(encode_chunk(truncated + "\n") + encode_chunk("\n"))
        watch.write(
            encode_chunk(
                json.dumps(json.loads(watch_event(endpoint_entry("h3", gateway.endpoint.address))), indent=1)
                + "\n"
            )
        )
        assert await next_list(gateway) == (ListKind.DELTA, ["h3 ready"])
        event_log.flush()  # logs the second event, which was only counted as it came within a second
        assert caplog.text.count("skipped a message of discovery") == 2


async def test_a_complete_list_keeps_endpoints_whose_entries_cannot_be_read() -> None:
    """If it counted as unlisted, an endpoint would be drained because of an error in its entry."""
    async with gateway_with_watch(endpoint_count=2) as (gateway, watch):
        entries = [
            endpoint_entry("h0", "nowhere"),
            endpoint_entry("h2", gateway.endpoint.address),
            endpoint_entry("h3", "nowhere"),
        ]
        watch.write(encode_chunk(watch_event(*entries, snapshot=True)))
        assert await next_list(gateway) == (ListKind.COMPLETE, ["h0 ready", "h2 ready"])
        endpoints = gateway.proxy.upstream.endpoints
        assert [endpoints[endpoint_id_of(f"h{n}")].draining for n in range(3)] == [False, True, False]


@pytest.mark.parametrize("entries", [[7, {}], [{"status": "active"}]])
async def test_a_complete_list_of_entries_without_names_is_ignored(
    entries: list[object], caplog: pytest.LogCaptureFixture
) -> None:
    """Applied as an empty list, it would drain every endpoint."""
    async with gateway_with_watch() as (gateway, watch):
        watch.write(encode_chunk(watch_event(*entries, snapshot=True)))
        watch.write(encode_chunk(watch_event(endpoint_entry("h2", gateway.endpoint.address))))
        assert await next_list(gateway) == (ListKind.DELTA, ["h2 ready"])
        assert "a complete list without a readable endpoint" in caplog.text
        await gateway.serve_request(await gateway.client())


async def test_a_complete_list_without_entries_removes_every_endpoint() -> None:
    async with gateway_with_watch(endpoint_count=2) as (gateway, watch):
        watch.write(encode_chunk(watch_event(index=9, snapshot=True)))
        assert await next_list(gateway) == (ListKind.COMPLETE, [])
        assert gateway.proxy.upstream.ready_count == 0
        assert not gateway.proxy.balancer.endpoints.by_id
        client = await gateway.client()
        assert (await client.request(encode_request()))[0] == 503
        assert gateway.endpoint.requests.empty()
