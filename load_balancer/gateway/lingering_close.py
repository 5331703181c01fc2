"""Closing of a connection on which the client may still be sending."""

from __future__ import annotations

import asyncio

LINGER_S = 1.0


class LingeringClose:
    """The lingering close of one connection: its sending side at once, the rest after `LINGER_S` or later.

    Until then, bytes from the client are read and discarded. Closing a socket that holds unread bytes would
    send a reset, which can reach the client before it has read the last answer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
        self._loop = loop
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None
        transport.write_eof()
        self._schedule_close()

    def _schedule_close(self) -> None:
        self._timer = self._loop.call_later(LINGER_S, self.close_if_sent)

    def cancel(self) -> None:
        """Forget the connection, which is closed; the timer would keep it in memory until it fires."""
        if self._timer is not None:
            self._timer.cancel()

    def close_if_sent(self) -> None:
        """Close the connection, or wait longer if a part of the answer is not sent yet."""
        if self._transport.get_write_buffer_size() > 0:
            self._schedule_close()
        else:
            self._transport.abort()
