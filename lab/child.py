"""The child's side of the run: one order a line on standard input, one answer a line on standard output."""

from __future__ import annotations

import asyncio
import base64
import gc
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop
from hdrh.histogram import HdrHistogram

Order = dict[str, Any]
Handler = Callable[[Order], Awaitable[Any]]

ORDER_LIMIT = 64 * 1024 * 1024
LONGEST_US = 60_000_000


class Hist:
    """Durations in microseconds, to three digits, up to a minute."""

    def __init__(self, text: str = "") -> None:
        self.inner: Any = HdrHistogram.decode(text) if text else HdrHistogram(1, LONGEST_US, 3)

    def add(self, value_us: float) -> None:
        self.inner.record_value(min(LONGEST_US, max(1, int(value_us))))

    def join(self, other: Hist) -> None:
        self.inner.add(other.inner)

    @property
    def count(self) -> int:
        return int(self.inner.get_total_count())

    def at(self, percent: float) -> float:
        """The percentile in milliseconds."""
        return float(self.inner.get_value_at_percentile(percent)) / 1e3

    def text(self) -> str:
        return base64.b64encode(base64.b64decode(self.inner.encode())).decode()

    def summary(self) -> dict[str, float] | None:
        """p50, p99 and most in milliseconds; None where nothing was recorded."""
        if not self.count:
            return None
        return {"count": self.count, "p50_ms": self.at(50), "p99_ms": self.at(99), "most_ms": self.at(100)}


async def _obey(make: Callable[[], Handler]) -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=ORDER_LIMIT)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle = make()
    while line := await reader.readline():
        print(json.dumps(await handle(json.loads(line))), flush=True)


def obey(make: Callable[[], Handler]) -> None:
    """Carry out orders, one after the other, until the input ends: with the run ends its child."""
    gc.freeze()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_obey(make))
