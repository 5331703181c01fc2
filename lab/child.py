"""A child's side of a run: one command a line on standard input, one answer a line on standard output."""

from __future__ import annotations

import asyncio
import base64
import gc
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

C = TypeVar("C")
Handler = Callable[[C], Awaitable[Any]]
CreateHandler = Callable[[], Callable[[C], Awaitable[Any]]]

LINE_LIMIT = 64 * 1024 * 1024  # bytes of a command or an answer
MAX_US = 60_000_000


class Hist:
    """Durations in microseconds, to three digits, up to a minute."""

    def __init__(self, text: str = "") -> None:
        self.inner: Any = HdrHistogram.decode(text) if text else HdrHistogram(1, MAX_US, 3)

    def add(self, value_us: float) -> None:
        """Record a duration."""
        self.inner.record_value(min(MAX_US, max(1, int(value_us))))

    def join(self, other: Hist) -> None:
        """Add all that another one has recorded."""
        self.inner.add(other.inner)

    @property
    def count(self) -> int:
        """Durations recorded."""
        return int(self.inner.get_total_count())

    def at(self, percent: float) -> float:
        """The percentile in milliseconds."""
        return float(self.inner.get_value_at_percentile(percent)) / 1e3

    def text(self) -> str:
        """All of it as text, from which it can be made again."""
        return base64.b64encode(base64.b64decode(self.inner.encode())).decode()

    def summary(self) -> dict[str, float] | None:
        """p50, p99 and most in milliseconds; None where nothing was recorded."""
        if not self.count:
            return None
        return {"count": self.count, "p50_ms": self.at(50), "p99_ms": self.at(99), "most_ms": self.at(100)}


async def _serve(create_handler: CreateHandler[C], command_type: Any) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle = create_handler()
    decoder: msgspec.json.Decoder[C] = msgspec.json.Decoder(command_type)
    while line := await reader.readline():
        answer = await handle(decoder.decode(line))
        print(msgspec.json.encode(answer).decode(), flush=True)


def serve(create_handler: CreateHandler[C], command_type: Any) -> None:
    """Handle commands, one after the other, until the input ends: with the run ends its child.

    Args:
        create_handler: Called once in the event loop.
        command_type: The union of the commands that it handles.
    """
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(create_handler, command_type))
