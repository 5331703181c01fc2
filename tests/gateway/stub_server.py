"""Sockets and HTTP/1.1 framing that the stubs for clients, endpoints and discovery share."""

from __future__ import annotations

import asyncio
import os
import socket
import struct

Headers = dict[str, str]


def send_now(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send on the socket itself, in this iteration of the event loop, before either side reads again."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as duplicate:
        duplicate.send(data)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; closing it would end it in order."""
    no_linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


def socket_with_small_buffer() -> socket.socket:
    """Return a socket whose small receive buffer makes the peer's writes block early."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    return sock


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Read the first line and the headers, whose names are returned in lower case."""
    start_line, *header_lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").rstrip().split("\r\n")
    return start_line, {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in header_lines)
    }


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read the first line, the headers and a body of Content-Length bytes."""
    start_line, headers = await read_head(reader)
    return start_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class StubServer:
    """Accepts connections on a port of its own."""

    def __init__(self) -> None:
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.sock: socket.socket | None = None
        self.listener: asyncio.Server | None = None
        self.address = ""

    def bind(self) -> str:
        """Reserve a port, which refuses connections until `start` is called; returns the address."""
        self.sock = socket_with_small_buffer()
        self.sock.bind(("127.0.0.1", 0))
        host, port = self.sock.getsockname()
        self.address = f"{host}:{port}"
        return self.address

    async def start(self) -> None:
        if self.sock is None:
            self.bind()
        self.listener = await asyncio.start_server(self.accept, sock=self.sock)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            await self.connection_lost(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def connection_lost(self, writer: asyncio.StreamWriter) -> None:
        writer.close()

    def stop(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for writer in self.writers:
            writer.transport.abort()
