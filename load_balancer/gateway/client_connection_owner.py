"""What a connection from a client needs of the server that it belongs to."""

from __future__ import annotations

import asyncio
from typing import Protocol, TypeVar

from load_balancer.gateway.read_scheduler import ReadScheduler
from load_balancer.gateway.request_parsing import RequestLookup
from load_balancer.gateway.reverse_proxy import ReverseProxy

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ClientConnectionOwner(Protocol[ConnectionT_contra]):
    """The server that a connection belongs to.

    Attributes:
        loop: Runs the connection.
        proxy: Accepts its requests.
        lookup: Indexes of classes and tenants by name.
        reads: Gives connections on which much arrives their turns to read.
        draining: Whether the gateway is shutting down.
    """

    loop: asyncio.AbstractEventLoop
    proxy: ReverseProxy
    lookup: RequestLookup
    reads: ReadScheduler
    draining: bool

    def add(self, connection: ConnectionT_contra) -> None:
        """Register a connection that has been opened."""

    def discard(self, connection: ConnectionT_contra) -> None:
        """Remove a connection that is closed."""

    def reclaim_buffers(self) -> None:
        """Free memory until requests may be served, as far as that is possible."""
