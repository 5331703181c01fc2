"""Memory of messages that are being received: hostile peers must not bring a gateway over its limit."""

from __future__ import annotations

import tracemalloc
import weakref
from collections.abc import Iterator

import pytest

from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.gateway.http_message import BODY_LIMIT, HEADER_COUNT_LIMIT, HttpRequestError
from load_balancer.gateway.incoming_request import IncomingRequest, RequestReader
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import running_gateway

READ_BYTES = 4096
# `BODY_LIMIT` bytes in the smallest pieces that are objects of their own; the last chunk is missing.
SMALL_CHUNKS = b"2\r\nab\r\n" * (BODY_LIMIT // 2)
# What a body may take: its content, a quarter more for the growth of its buffer, and the objects around it.
BODY_MEMORY_LIMIT = BODY_LIMIT * 5 // 4 + 16 * 1024
# What may remain of a message that has been freed: the objects around it.
FREED_MEMORY_LIMIT = 16 * 1024

# What a request takes whatever it contains: the objects around it, counted as a part of its connection.
FIXED_REQUEST_BYTES = 1024


class RequestRecorder:
    """Keeps the requests that a reader has parsed."""

    def __init__(self) -> None:
        self.requests: list[IncomingRequest] = []

    def head_received(self, request: IncomingRequest) -> None:
        pass

    def request_received(self, request: IncomingRequest) -> None:
        self.requests.append(request)

    def statuses(self) -> list[int]:
        """Return the statuses of the rejections."""
        return [each.rejection.response.status for each in self.requests if each.rejection is not None]


class MemoryMeter:
    """Measures the memory that Python's objects take."""

    def __init__(self) -> None:
        self._before = 0
        self.restart()

    def restart(self) -> None:
        """Measure from now on."""
        self._before = tracemalloc.get_traced_memory()[0]

    def used(self) -> int:
        """Return how many bytes have been allocated since the start and not been freed."""
        return tracemalloc.get_traced_memory()[0] - self._before


@pytest.fixture
def memory() -> Iterator[MemoryMeter]:
    """Trace allocations during the test."""
    tracemalloc.start()
    yield MemoryMeter()
    tracemalloc.stop()


def feed(reader: RequestReader, data: bytes) -> None:
    """Feed a reader in pieces of `READ_BYTES`, as long as it reads."""
    for start in range(0, len(data), READ_BYTES):
        if not reader.is_stopped:
            reader.feed(data[start : start + READ_BYTES])


def test_a_request_body_in_small_chunks_takes_no_more_than_its_content(memory: MemoryMeter) -> None:
    """Kept as one object for each chunk, 40 bodies of 64 KB took over 70 MB, and the gateway was killed."""
    reader = RequestReader(RequestRecorder(), lambda: 0.0)
    feed(reader, encode_request("buy", Transfer_Encoding="chunked") + SMALL_CHUNKS)
    assert memory.used() < BODY_MEMORY_LIMIT


@runs_in_event_loop
async def test_a_response_body_in_small_chunks_takes_no_more_than_its_content(memory: MemoryMeter) -> None:
    """Kept as one object for each chunk, a response of 64 KB took 1.4 MB like a request."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request())
        await gateway.endpoint.requests.get()
        (connection,) = gateway.proxy.upstream.connections
        memory.restart()
        connection.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(SMALL_CHUNKS), READ_BYTES):
            connection.data_received(SMALL_CHUNKS[start : start + READ_BYTES])
        assert memory.used() < BODY_MEMORY_LIMIT


MANY_HEADERS = b"".join(b"X-%d: 1\r\n" % number for number in range(HEADER_COUNT_LIMIT + 2))


def test_a_request_with_many_small_headers_is_rejected_and_freed(memory: MemoryMeter) -> None:
    """Limited by size alone, a head of 16 KB in small headers took 200 KB, on each connection."""
    recorder = RequestRecorder()
    reader = RequestReader(recorder, lambda: 0.0)
    feed(reader, b"GET /look HTTP/1.1\r\n" + MANY_HEADERS)
    assert recorder.statuses() == [431]
    assert memory.used() < FREED_MEMORY_LIMIT


SHORT_HEADERS = b"".join(b"%03d: bcd\r\n" % number for number in range(HEADER_COUNT_LIMIT - 8))


@pytest.mark.parametrize("is_whole", [True, False])
def test_small_headers_count_by_what_they_take_in_memory(is_whole: bool, memory: MemoryMeter) -> None:
    """Counted by their bytes on the wire, queued requests of 450 clients took 18 MB of a budget of 5 MB."""
    recorder = RequestRecorder()
    readers = [RequestReader(recorder, lambda: 0.0) for _ in range(20)]
    memory.restart()
    for reader in readers:
        reader.feed(encode_request()[:-2] + SHORT_HEADERS + (b"\r\n" if is_whole else b""))
    counted = sum(each.buffered_bytes for each in readers) + sum(r.memory_bytes for r in recorder.requests)
    assert memory.used() < counted + len(readers) * FIXED_REQUEST_BYTES


@runs_in_event_loop
async def test_small_headers_of_a_response_count_by_what_they_take_in_memory(memory: MemoryMeter) -> None:
    """Counted by their bytes on the wire, they took ten times as much."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request())
        await gateway.endpoint.requests.get()
        (connection,) = gateway.proxy.upstream.connections
        counted_before = gateway.proxy.buffers.used_bytes
        memory.restart()
        connection.data_received(b"HTTP/1.1 200 OK\r\n" + SHORT_HEADERS)
        counted = gateway.proxy.buffers.used_bytes - counted_before
        assert memory.used() < counted + FIXED_REQUEST_BYTES


@runs_in_event_loop
async def test_a_response_with_many_small_headers_is_a_reset() -> None:
    """Limited by size alone, an endpoint's head in small headers took as much as a client's."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy"))
        received = await gateway.endpoint.requests.get()
        received.respond_raw(b"HTTP/1.1 200 OK\r\n" + MANY_HEADERS + b"Content-Length: 0\r\n\r\n")
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.RESET


@pytest.mark.parametrize("prefix", [b"0\r\nTrailer: ", b"1;extension="])
def test_what_follows_the_content_of_a_body_is_limited(prefix: bytes, memory: MemoryMeter) -> None:
    """A trailer without an end was kept by the parser, so that 96 clients took 190 MB."""
    recorder = RequestRecorder()
    reader = RequestReader(recorder, lambda: 0.0)
    reader.feed(encode_request("buy", Transfer_Encoding="chunked") + prefix + b"x" * BODY_LIMIT)
    assert recorder.statuses() == [431]
    assert memory.used() < FREED_MEMORY_LIMIT


def test_a_rejected_request_is_freed(memory: MemoryMeter) -> None:
    """The body of a request that was answered 408 stayed in memory until its connection had ended."""
    reader = RequestReader(RequestRecorder(), lambda: 0.0)
    feed(reader, encode_request("buy", Content_Length=str(BODY_LIMIT)) + bytes(BODY_LIMIT - 1))
    assert memory.used() > BODY_LIMIT
    reader.fail(HttpRequestError(408, "late"))
    assert memory.used() < FREED_MEMORY_LIMIT


@runs_in_event_loop
async def test_idle_connections_keep_no_message(memory: MemoryMeter) -> None:
    """The last request and the last response stayed in memory while their connections were idle."""
    async with running_gateway() as gateway:
        client = await gateway.client()
        await gateway.serve_request(client)
        memory.restart()
        client.send(encode_request("buy", body=bytes(BODY_LIMIT)))
        (await gateway.endpoint.requests.get()).respond(body=bytes(BODY_LIMIT))
        assert len((await client.read_response())[2]) == BODY_LIMIT
        assert memory.used() < BODY_LIMIT


@pytest.mark.usefixtures("no_garbage_collection")
def test_a_stopped_reader_is_freed_without_garbage_collection() -> None:
    """Parser and reader refer to each other; closed connections stayed in memory until a collection."""
    reader = RequestReader(RequestRecorder(), lambda: 0.0)
    reference = weakref.ref(reader)
    reader.stop()
    del reader
    assert reference() is None


@pytest.mark.usefixtures("no_garbage_collection")
@runs_in_event_loop
async def test_a_closed_upstream_connection_is_freed_without_garbage_collection() -> None:
    """Parser and connection refer to each other, as on the side of the clients."""
    async with running_gateway() as gateway:
        await gateway.serve_request(await gateway.client())
        reference = weakref.ref(next(iter(gateway.proxy.upstream.connections)))
        gateway.proxy.upstream.close()
        await wait_until(lambda: reference() is None)
