"""A client of the gateway on one connection, and the requests that it sends."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from tests.gateway.stub_server import Headers, read_message

_request_numbers = itertools.count(1)


def encode_request(
    request_class: str = "look", method: str = "", body: bytes = b"", **headers: str | None
) -> bytes:
    """Encode a request of a class with an id of its own; a header given as None is left out."""
    header_values: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": f"{next(_request_numbers):016x}",
        "Request-Class": request_class,
        "Request-Timeout-Ms": "30000",
        "Content-Length": str(len(body)) if body else None,
        "Idempotency-Key": "77" if request_class == "pay" else None,
    }
    header_values |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in header_values.items() if value is not None)
    method = method or ("GET" if request_class == "look" else "POST")
    return f"{method} /{request_class}?user=00ff HTTP/1.1\r\n{head}\r\n".encode() + body


@dataclass
class HttpClient:
    """One connection to the gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_response(self) -> tuple[int, Headers, bytes]:
        status_line, headers, body = await read_message(self.reader)
        return int(status_line.split()[1]), headers, body

    async def request(self, data: bytes) -> tuple[int, Headers, bytes]:
        self.send(data)
        return await self.read_response()

    async def is_closed(self) -> bool:
        return await self.reader.read() == b""
