"""Closing of a connection on which the client may still be sending."""

from __future__ import annotations

import asyncio

LINGER_S = 1.0


class LingeringClose:
    """Closes the sending side at once, and the connection after `LINGER_S` or later.

    What the client still sends is read and dropped until then. Closing over unread bytes would send a reset,
    which can overtake the last answer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
        self._loop = loop
        self._transport = transport
        transport.write_eof()
        self._schedule_close()

    def _schedule_close(self) -> None:
        self._loop.call_later(LINGER_S, self.close_if_sent)

    def close_if_sent(self) -> None:
        """Close, unless a part of the answer is still to be sent."""
        if self._transport.get_write_buffer_size() > 0:
            self._schedule_close()
        else:
            self._transport.abort()
