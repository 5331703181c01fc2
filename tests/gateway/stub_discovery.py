"""A stub of the discovery service, whose watch events the test writes."""

from __future__ import annotations

import asyncio
import json

from tests.gateway.stub_server import StubServer, read_head

CACHED_INDEX = 7  # of the list with which gateways under test start
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class StubDiscovery(StubServer):
    """Queues each opened watch for the test to write to; answers polls with `complete_list`.

    Attributes:
        watches: The first line of each watch's request, and the connection to write to.
        complete_list: The body of the answer to a poll.
        poll_delay_s: Time until polls are answered.
        poll_response: A response to polls in place of the usual one, after which the connection is closed.
        watch_head: The head of the answer to a watch.
    """

    def __init__(self) -> None:
        super().__init__()
        self.watches: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()
        self.complete_list = b"{}"
        self.poll_delay_s = 0.0
        self.poll_response = b""
        self.watch_head = WATCH_HEAD

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line, _ = await read_head(reader)
        if "stream=1" not in request_line:
            await asyncio.sleep(self.poll_delay_s)
        if "stream=1" not in request_line and self.poll_response:
            writer.write(self.poll_response)
            writer.close()
            return
        if "stream=1" not in request_line:
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                % (len(self.complete_list), self.complete_list)
            )
            return
        writer.write(self.watch_head)
        self.watches.put_nowait((request_line, writer))
        await reader.read()  # until the gateway closes the call
        writer.close()


def encode_chunk(line: str) -> bytes:
    """Encode text of a watch as one chunk of the chunked transfer coding."""
    data = line.encode()
    return b"%x\r\n%b\r\n" % (len(data), data)


def endpoint_entry(name: str, address: str, status: str = "active", **extra: object) -> dict[str, object]:
    """Return an endpoint as the lists of discovery contain it."""
    return {"name": name, "address": address, "zone": "a", "type": "m1", "status": status, **extra}


def watch_event(*entries: object, index: int = CACHED_INDEX + 1, snapshot: bool = False) -> str:
    """Return a line with changed endpoints, or with the complete list if `snapshot` is set."""
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}) + "\n"
