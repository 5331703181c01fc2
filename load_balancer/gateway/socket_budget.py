"""How the file descriptors that the process may hold are divided among its connections."""

from __future__ import annotations

# Sockets kept free for the listener, discovery, peers and connections that are rejected.
RESERVED_SOCKETS = 64
# Share of the remaining sockets for connections to endpoints; the others are for clients.
UPSTREAM_SHARE = 0.5


def upstream_connection_limit(sockets: int) -> int:
    """Return how many connections to endpoints may be open at once."""
    return int((sockets - RESERVED_SOCKETS) * UPSTREAM_SHARE)


def client_connection_limit(sockets: int) -> int:
    """Return how many connections from clients are served at once."""
    return int((sockets - RESERVED_SOCKETS) * (1 - UPSTREAM_SHARE))
