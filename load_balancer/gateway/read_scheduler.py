"""Shares the event loop among the connections on which more arrives than can be read at once."""

from __future__ import annotations

import asyncio

from load_balancer.gateway.http_message import BODY_LIMIT, HEAD_LIMIT

# How much is read at once: the largest request.
READ_BYTES = HEAD_LIMIT + BODY_LIMIT
# How much is read at once while others wait for their turn.
CONTENDED_READ_BYTES = 16 * 1024
# How many paused transports read again in one iteration of the loop, in which all others are read as well.
RESUMED_PER_ITERATION = 2


class ReadScheduler:
    """The buffer that connections read into, and the transports that have filled it and wait for their turn.

    Some bytes take long to parse, such as tiny chunks. If every transport were read until nothing is left, a
    single one whose client sends without a pause would keep the loop from all others.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._paused: dict[asyncio.Transport, None] = {}  # in the order in which they read again
        self._is_scheduled = False
        # One for all connections, as what is read is parsed before the next read.
        self._whole_buffer = memoryview(bytearray(READ_BYTES))
        self._contended_buffer = self._whole_buffer[:CONTENDED_READ_BYTES]
        self._buffer = self._whole_buffer

    def buffer(self) -> memoryview:
        """Return the buffer for the next read."""
        self._buffer = self._contended_buffer if self._paused else self._whole_buffer
        return self._buffer

    def received(self, byte_count: int) -> memoryview:
        """Return what the last read has brought, valid until the next one."""
        return self._buffer[:byte_count]

    def pause_if_full(self, transport: asyncio.Transport, byte_count: int) -> None:
        """Pause reading until it is the transport's turn, if the last read has filled the buffer."""
        if byte_count == len(self._buffer) and not transport.is_closing():
            transport.pause_reading()
            self._paused[transport] = None
            self._schedule()

    def is_paused(self, transport: asyncio.Transport | None) -> bool:
        """Return whether a transport waits for its turn; more has probably arrived on it."""
        return transport in self._paused

    def resume(self, transport: asyncio.Transport) -> None:
        """Read from a paused transport again now, unless it has been closed."""
        if transport in self._paused:
            del self._paused[transport]
            if not transport.is_closing():
                transport.resume_reading()

    def _schedule(self) -> None:
        if self._paused and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._resume_next)

    def _resume_next(self) -> None:
        self._is_scheduled = False
        for transport in list(self._paused)[:RESUMED_PER_ITERATION]:
            self.resume(transport)
        self._schedule()
