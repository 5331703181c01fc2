"""The current state of a socket, polled without waiting for the event loop."""

from __future__ import annotations

import asyncio
import select


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Return whether bytes or the other side's close can be read."""
    return _poll(transport, select.POLLIN)


def has_peer_closed(transport: asyncio.Transport) -> bool:
    """Return whether the other side has closed, or only its sending side."""
    return _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.Transport, events: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
