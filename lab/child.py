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

CommandT = TypeVar("CommandT")
Handler = Callable[[CommandT], Awaitable[Any]]
CreateHandler = Callable[[], Callable[[CommandT], Awaitable[Any]]]

MAX_LINE_BYTES = 64 * 1024 * 1024  # bytes of a command or an answer
MAX_DURATION_US = 60_000_000


class Histogram:
    """Durations in microseconds, to three digits, up to a minute."""

    def __init__(self, encoded: str = "") -> None:
        self.inner: Any = HdrHistogram.decode(encoded) if encoded else HdrHistogram(1, MAX_DURATION_US, 3)

    def record(self, value_us: float) -> None:
        """Record a duration."""
        self.inner.record_value(min(MAX_DURATION_US, max(1, int(value_us))))

    def merge(self, other: Histogram) -> None:
        """Add all that another one has recorded."""
        self.inner.add(other.inner)

    @property
    def count(self) -> int:
        """Durations recorded."""
        return int(self.inner.get_total_count())

    def percentile_ms(self, percent: float) -> float:
        """The percentile in milliseconds."""
        return float(self.inner.get_value_at_percentile(percent)) / 1e3

    def encode(self) -> str:
        """All of it as text, from which it can be made again."""
        return base64.b64encode(base64.b64decode(self.inner.encode())).decode()

    def summary(self) -> dict[str, float] | None:
        """p50, p99 and most in milliseconds; None where nothing was recorded."""
        if not self.count:
            return None
        return {
            "count": self.count,
            "p50_ms": self.percentile_ms(50),
            "p99_ms": self.percentile_ms(99),
            "most_ms": self.percentile_ms(100),
        }


async def _serve(create_handler: CreateHandler[CommandT], command_type: Any) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle = create_handler()
    decoder: msgspec.json.Decoder[CommandT] = msgspec.json.Decoder(command_type)
    while line := await reader.readline():
        answer = await handle(decoder.decode(line))
        print(msgspec.json.encode(answer).decode(), flush=True)


def serve(create_handler: CreateHandler[CommandT], command_type: Any) -> None:
    """Handle commands, one after the other, until the input ends: with the run ends its child.

    Args:
        create_handler: Called once in the event loop.
        command_type: The union of the commands that it handles.
    """
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(create_handler, command_type))
