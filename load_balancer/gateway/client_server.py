"""The listener for clients: limits on its connections, timeouts and graceful shutdown."""

from __future__ import annotations

import asyncio
from operator import attrgetter

from load_balancer.config.gateway_config import Config
from load_balancer.config.steps import run_to_completion
from load_balancer.gateway.client_connection import TOO_MANY_CONNECTIONS, ClientConnection
from load_balancer.gateway.close_reasons import ClientCloseReason
from load_balancer.gateway.event_log import log_buffers_exhausted
from load_balancer.gateway.http_message import HttpRequestError
from load_balancer.gateway.read_scheduler import ReadScheduler
from load_balancer.gateway.request_parsing import lookup_steps
from load_balancer.gateway.reverse_proxy import ReverseProxy
from load_balancer.gateway.socket_budget import RESERVED_SOCKETS, client_connection_limit

BACKLOG = 1024
SWEEP_INTERVAL_S = 0.25

# Maximum number of connections over the limit whose requests are still read. A readiness check on them is
# answered as usual, any other request with 503.
MAX_REJECTED_CONNECTIONS = RESERVED_SOCKETS // 2
# Connections that are accepted beyond these while the connections chosen for eviction are being closed.
EVICTION_HEADROOM_CONNECTIONS = RESERVED_SOCKETS // 8

IDLE_TIMEOUT_S = 75.0
# How long a connection must be idle before it may be closed so that another can be accepted.
MIN_EVICTION_IDLE_S = 2.0
# Time from connecting to the last byte of the first request. With the interval of the sweep, a client that
# sends nothing or only a part of a request is closed or answered 408 within 3 s of connecting.
FIRST_REQUEST_TIMEOUT_S = 2.1
# Time from the first byte of a later request to its last byte, however slowly its bytes arrive.
REQUEST_READ_TIMEOUT_S = 2.1

# How long a graceful shutdown accepts connections: clients open new ones for up to 0.4 s after a planned
# restart has begun.
ACCEPT_GRACE_S = 0.5
# How long a graceful shutdown serves requests before it begins to close connections.
REQUEST_GRACE_S = 0.6
# How long it then waits for the rest of a request that has been received in part.
PARTIAL_REQUEST_GRACE_S = 0.1
# How long it then waits for a client to read the answers sent to it. It waits as long where memory runs out.
UNREAD_ANSWER_GRACE_S = 3.0
SHUTDOWN_POLL_S = 0.01


class ClientServer:
    """A server that accepts connections from clients.

    Attributes:
        proxy: Accepts the requests.
        loop: Runs the server.
        lookup: Indexes of classes and tenants by name.
        reads: Gives connections on which much arrives their turns to read.
        max_connections: How many connections are served at once.
        connections: All open connections.
        draining: Whether a graceful shutdown has begun.
        listener: The server socket; None until `start`.
    """

    def __init__(self, config: Config, proxy: ReverseProxy, loop: asyncio.AbstractEventLoop) -> None:
        self.proxy = proxy
        self.loop = loop
        self.lookup = run_to_completion(lookup_steps(config))
        self.reads = ReadScheduler(loop)
        self.max_connections = client_connection_limit(config.max_sockets)
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.listener: asyncio.Server | None = None
        self._address = config.listen

    async def start(self) -> None:
        """Begin to accept connections.

        Raises:
            OSError: If the address cannot be used.
        """
        host, port = self._address
        self.listener = await self.loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=BACKLOG, reuse_address=True
        )
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    # Limits

    def add(self, connection: ClientConnection) -> None:
        """Register a new connection, within the limit on file descriptors.

        Over the limit an idle connection is closed; where there is none, the new one is answered 503. Of
        those that are answered 503, the oldest that has sent no request is closed first. Idle clients
        therefore cannot block a readiness check on a new connection.
        """
        excess = len(self.connections) - self.max_connections
        if excess >= 0:
            self._evict_or_reject(connection, excess)
        self.connections.add(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)

    def _evict_or_reject(self, connection: ClientConnection, excess: int) -> None:
        idle_since = self.loop.time() - MIN_EVICTION_IDLE_S
        evictable = [
            open_connection
            for open_connection in self.connections
            if open_connection.is_evictable and open_connection.last_activity <= idle_since
        ]
        connection.is_over_limit = not evictable
        if excess >= MAX_REJECTED_CONNECTIONS and not evictable:
            evictable = [
                open_connection
                for open_connection in self.connections
                if open_connection.is_evictable
                and open_connection.is_over_limit
                and not open_connection.reader.has_read_request
            ]
        if evictable:
            oldest = min(evictable, key=attrgetter("last_activity"))
            oldest.close_when_idle(ClientCloseReason.CONNECTION_LIMIT)
        if excess >= MAX_REJECTED_CONNECTIONS + (EVICTION_HEADROOM_CONNECTIONS if evictable else 0):
            connection.write(TOO_MANY_CONNECTIONS.encode(close=True))
            connection.close(ClientCloseReason.CONNECTION_LIMIT)

    # Memory

    def reclaim_buffers(self) -> None:
        """Free memory until requests may be served: first that of the largest requests received in part.

        If that is not enough, connections are closed whose clients do not read their answers.
        """
        while self.proxy.buffers.is_exhausted_for_requests:
            if not (self._reject_largest_partial_request() or self._close_largest_unread_answer()):
                return

    def _reject_largest_partial_request(self) -> bool:
        reclaimable = [each for each in self.connections if each.is_reclaimable]
        if not reclaimable:
            return False
        log_buffers_exhausted(self.proxy.buffers, "a request received in part was rejected")
        largest = max(reclaimable, key=lambda each: (each.reservation.size, -each.reader.began_at))
        largest.reject_partial_request(HttpRequestError(503, "too many bytes buffered"))
        return True

    def _close_largest_unread_answer(self) -> bool:
        since = self.loop.time() - UNREAD_ANSWER_GRACE_S
        unread = [each for each in self.connections if each.has_unread_answer(since)]
        if not unread:
            return False
        log_buffers_exhausted(self.proxy.buffers, "the connection of an answer that is not read was closed")
        max(unread, key=lambda each: each.reservation.size).abort(ClientCloseReason.UNREAD_ANSWER)
        return True

    # Timeouts

    def sweep(self) -> None:
        """Close connections past their idle timeout; answer requests that were not received whole in time."""
        now = self.loop.time()
        for connection in list(self.connections):
            if connection.reservation.size:
                connection.count_buffered()  # answers may have left the process
            if connection.is_idle:
                if self._is_past_idle_timeout(connection, now):
                    connection.close_when_idle(ClientCloseReason.IDLE)
            elif (
                connection.has_only_partial_request
                and now - connection.reader.began_at > REQUEST_READ_TIMEOUT_S
            ):
                connection.reject_partial_request(
                    HttpRequestError(408, "the rest of the request has not come")
                )
        self.loop.call_later(SWEEP_INTERVAL_S, self.sweep)

    def _is_past_idle_timeout(self, connection: ClientConnection, now: float) -> bool:
        if connection.reader.has_read_request:
            return now - connection.last_activity > IDLE_TIMEOUT_S
        return now - connection.reader.began_at > FIRST_REQUEST_TIMEOUT_S

    # Graceful shutdown

    async def drain(self) -> None:
        """Shut down gracefully: accept and answer requests for a grace period, then close."""
        self.draining = True
        await asyncio.sleep(ACCEPT_GRACE_S)
        for _ in range(2):  # iterations of the loop, in which it accepts pending connections
            await asyncio.sleep(0)
        self.stop_listening()
        await asyncio.sleep(REQUEST_GRACE_S - ACCEPT_GRACE_S)
        await self.close_connections()

    def stop_listening(self) -> None:
        """Accept no further connection."""
        if self.listener is not None:
            self.listener.close()

    async def close_connections(self) -> None:
        """Close each connection once no answer is pending on it, and wait until all are closed."""
        began = self.loop.time()
        while self.connections:
            waited_s = self.loop.time() - began
            for connection in list(self.connections):
                self._close_if_finished(connection, waited_s)
            await asyncio.sleep(SHUTDOWN_POLL_S)

    def _close_if_finished(self, connection: ClientConnection, waited_s: float) -> None:
        if waited_s > UNREAD_ANSWER_GRACE_S and not connection.has_pending_answer:
            connection.abort()
        elif connection.is_idle:
            connection.close_when_idle(ClientCloseReason.SHUTDOWN)
        elif connection.has_only_partial_request and waited_s > PARTIAL_REQUEST_GRACE_S:
            # Answered rather than closed: a close would lose the rest if it has just arrived.
            connection.reject_partial_request(HttpRequestError(503, "ending; trying again is harmless"))
