"""A stub endpoint that queues each request for the test, which writes the response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tests.gateway.stub_server import Headers, StubServer, read_message


@dataclass
class ReceivedRequest:
    """A complete request, and the connection on which it is answered."""

    request_line: str
    headers: Headers
    body: bytes
    writer: asyncio.StreamWriter

    def respond(self, status: int = 200, body: bytes = b"served", **headers: str) -> None:
        lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        self.respond_raw(
            f"HTTP/1.1 {status} Any\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body
        )

    def respond_raw(self, data: bytes, close: bool = False) -> None:
        self.writer.write(data)
        if close:
            self.writer.close()


class StubEndpoint(StubServer):
    """Queues the requests that it reads; the test responds to each.

    Attributes:
        requests: Requests that the test has not taken from the queue yet.
        closed_connections: An item for each connection that the gateway has closed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.requests: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.closed_connections: asyncio.Queue[None] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            self.requests.put_nowait(ReceivedRequest(*await read_message(reader), writer))

    async def connection_lost(self, writer: asyncio.StreamWriter) -> None:
        self.closed_connections.put_nowait(None)
        writer.close()
