"""Polls the readiness of gateways; the latency shows how long their event loops were blocked."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable

from lab.child import Histogram
from lab.messages import Address

POLL_S = 0.002  # pause between an answer and the next poll of the same gateway
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n"


async def fetch(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, payload: bytes
) -> tuple[int, bytes]:
    """Send one request on a connection and return the status and body of its answer."""
    writer.write(payload)
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
    return int(head.split()[1]), await reader.readexactly(length)


class ReadinessPoller:
    """Polls the readiness of gateways and records the latency of the answers."""

    def __init__(self) -> None:
        self.latency = Histogram()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, gateways: Iterable[Address]) -> None:
        """Start polling, with an empty histogram and one connection to each gateway."""
        self.latency = Histogram()
        self.tasks = [asyncio.create_task(self._poll(host, port)) for host, port in gateways]

    async def _poll(self, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            while True:
                began = time.perf_counter_ns()
                await fetch(reader, writer, READY_REQUEST)
                self.latency.record((time.perf_counter_ns() - began) / 1e3)
                await asyncio.sleep(POLL_S)
        finally:
            writer.close()

    async def stop(self) -> str:
        """Stop polling and return the latency as the text of a histogram.

        An exception that has ended the polling of a gateway is raised here.
        """
        for task in self.tasks:
            if task.done():
                task.result()
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.latency.encode()
