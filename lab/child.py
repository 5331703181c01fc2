"""The child processes' side of a run: JSON commands on standard input, JSON answers on standard output."""

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

MAX_LINE_BYTES = 64 * 1024 * 1024  # longest command or answer
MAX_DURATION_US = 60_000_000


class Histogram:
    """A histogram of durations from 1 us to a minute, with three significant digits.

    Longer durations are recorded as a minute, shorter ones as 1 us.

    Args:
        encoded: What `encode` of another histogram has returned, to start with its contents; "" for none.
    """

    def __init__(self, encoded: str = "") -> None:
        self.inner: Any = HdrHistogram.decode(encoded) if encoded else HdrHistogram(1, MAX_DURATION_US, 3)

    def record(self, value_us: float) -> None:
        """Record a duration in microseconds."""
        self.inner.record_value(min(MAX_DURATION_US, max(1, int(value_us))))

    def merge(self, other: Histogram) -> None:
        """Add the durations that another histogram has recorded."""
        self.inner.add(other.inner)

    @property
    def count(self) -> int:
        """Return the number of recorded durations."""
        return int(self.inner.get_total_count())

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile, given as 0 to 100, in milliseconds."""
        return float(self.inner.get_value_at_percentile(percent)) / 1e3

    def encode(self) -> str:
        """Return the histogram as text, from which an equal one can be created."""
        return base64.b64encode(base64.b64decode(self.inner.encode())).decode()

    def summary(self) -> dict[str, float] | None:
        """Return the count, and p50, p99 and maximum in milliseconds; None where nothing was recorded."""
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
    """Handle commands one after the other until standard input ends.

    The input ends with the process that holds its other end, so that a child does not outlive its run.

    Args:
        create_handler: Returns the handler of the commands; called once, in the event loop.
        command_type: The union of the commands' types.
    """
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(create_handler, command_type))
