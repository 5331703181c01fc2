"""Pools of keep-alive connections to the listed endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from load_balancer.config.addresses import Address
from load_balancer.decisions.endpoint import EndpointStatus
from load_balancer.decisions.events import Outcome
from load_balancer.gateway.buffer_budget import BufferBudget
from load_balancer.gateway.close_reasons import UpstreamCloseReason
from load_balancer.gateway.upstream_attempt import AttemptCallback, OutgoingRequest, UpstreamAttempt
from load_balancer.gateway.upstream_connection import UpstreamConnection

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_IDLE_TIMEOUT_S = 5.0
# Share of the endpoints' idle timeout for which an idle connection is used. A request that is sent while the
# endpoint closes the connection would end as a reset, after which it may have run.
IDLE_TIMEOUT_SHARE = 0.7
# Pause between two requests on a connection. An endpoint that responds twice does so 1 to 4 ms late; without
# the pause, the second response would be taken for the response to the next request.
REUSE_DELAY_S = 0.01

EndpointId = int


@dataclass(slots=True)
class ConnectionTiming:
    """Timeouts of connections.

    Attributes:
        now: The loop's clock, in seconds.
        connect_timeout_s: Timeout for opening a connection.
        idle_timeout_s: How long a connection may be idle.
        reuse_delay_s: Time until a connection that has become idle may be used again.
    """

    now: Callable[[], float]
    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S * IDLE_TIMEOUT_SHARE
    reuse_delay_s: float = REUSE_DELAY_S


@dataclass(slots=True, eq=False)
class EndpointPool:
    """The connections to one endpoint.

    Attributes:
        address: Where the endpoint accepts connections.
        timing: Shared by all pools.
        buffers: The budget that responses are counted in; shared by all pools.
        open_connections: The connections to all endpoints, busy, idle or being opened; shared by all pools.
        draining: Whether the endpoint is draining or removed, so that no new request is sent to it.
        idle: Connections that carry no attempt, the most recently used one last.
    """

    address: Address
    timing: ConnectionTiming
    buffers: BufferBudget
    open_connections: set[UpstreamConnection]
    draining: bool = False
    idle: list[UpstreamConnection] = field(default_factory=list)

    def acquire_idle(self) -> UpstreamConnection | None:
        """Remove and return the most recently used reusable idle connection; close expired ones."""
        now = self.timing.now()
        for connection in reversed(self.idle[:]):
            if connection.idle_since > now - self.timing.reuse_delay_s:
                continue
            if connection.idle_since >= now - self.timing.idle_timeout_s and connection.is_reusable():
                self.idle.remove(connection)
                return connection
            connection.abort(UpstreamCloseReason.IDLE)
        return None

    def connect(self, loop: asyncio.AbstractEventLoop, attempt: UpstreamAttempt) -> None:
        """Open a connection for an attempt."""
        connection = UpstreamConnection(self, attempt)
        attempt.connection = connection
        self.open_connections.add(connection)
        connection.connect(loop, attempt, self.address, self.timing.connect_timeout_s)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request, unless the endpoint is draining."""
        if self.draining:
            connection.abort(UpstreamCloseReason.ENDPOINT_DRAINING)
            return
        connection.idle_since = self.timing.now()
        self.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection that is closed or is closing."""
        self.open_connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_unused(self, reason: UpstreamCloseReason) -> None:
        """Close unused connections, as the endpoint is draining, was removed or has a new address.

        Attempts that wait for a connection fail now, while there is time to try another endpoint.
        """
        for connection in list(self.open_connections):
            if connection.owner is self and connection.is_unused:
                connection.fail(reason)

    def close_idle(self, idle_since_before: float | None = None) -> None:
        """Close the idle connections, or only those that have been idle since before a loop time."""
        for connection in list(self.idle):
            if idle_since_before is None or connection.idle_since < idle_since_before:
                connection.abort(UpstreamCloseReason.IDLE)


class UpstreamPool:
    """The endpoints and the connections to them.

    Attributes:
        max_connections: How many connections may be open at once.
        timing: Timeouts of connections.
        buffers: The budget that responses are counted in.
        endpoints: The pool of each endpoint by its id.
        connections: All connections that are open or being opened.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        max_connections: int,
        connect_timeout_us: int,
        idle_timeout_us: int,
        buffers: BufferBudget,
    ) -> None:
        self.max_connections = max_connections
        self.buffers = buffers
        self.timing = ConnectionTiming(loop.time)
        self.endpoints: dict[EndpointId, EndpointPool] = {}
        self.connections: set[UpstreamConnection] = set()
        self._loop = loop
        self.set_timeouts(connect_timeout_us, idle_timeout_us)

    def set_timeouts(self, connect_timeout_us: int, idle_timeout_us: int) -> None:
        """Set the time to connect and the endpoints' idle timeout; 0 means the default."""
        idle_timeout_s = idle_timeout_us / 1e6 or DEFAULT_IDLE_TIMEOUT_S
        self.timing.connect_timeout_s = connect_timeout_us / 1e6 or DEFAULT_CONNECT_TIMEOUT_S
        self.timing.idle_timeout_s = idle_timeout_s * IDLE_TIMEOUT_SHARE

    # Endpoints

    def update_endpoint(self, endpoint_id: EndpointId, address: Address, status: EndpointStatus) -> None:
        """Add an endpoint, or update its address and status."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            endpoint = EndpointPool(address, self.timing, self.buffers, self.connections)
            self.endpoints[endpoint_id] = endpoint
        if endpoint.address != address:
            endpoint.close_unused(UpstreamCloseReason.ADDRESS_CHANGED)
            endpoint.address = address
        endpoint.draining = status is not EndpointStatus.READY
        if endpoint.draining:
            endpoint.close_unused(UpstreamCloseReason.ENDPOINT_DRAINING)

    def drain_unlisted(self, listed: Iterable[EndpointId]) -> None:
        """Drain every endpoint that a complete list does not name."""
        for endpoint_id in self.endpoints.keys() - set(listed):
            self.endpoints[endpoint_id].draining = True
            self.endpoints[endpoint_id].close_unused(UpstreamCloseReason.ENDPOINT_DRAINING)

    @property
    def ready_count(self) -> int:
        """Number of endpoints that requests may be sent to."""
        return sum(not endpoint.draining for endpoint in self.endpoints.values())

    def authority(self, endpoint_id: EndpointId) -> bytes:
        """Return an endpoint's address as host:port; empty if it is unknown."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None:
            return b""
        host, port = endpoint.address
        return b"%b:%d" % (host.encode(), port)

    # Attempts

    def send(
        self,
        endpoint_id: EndpointId,
        request: OutgoingRequest,
        timeout_s: float,
        on_end: AttemptCallback,
        write_timeout_s: float | None = None,
    ) -> UpstreamAttempt:
        """Send a request to an endpoint, on an idle connection if there is one.

        Args:
            endpoint_id: The endpoint to send it to.
            request: What to send.
            timeout_s: Timeout of the attempt, in seconds.
            on_end: Called exactly once, with the outcome and the response if there is one.
            write_timeout_s: Time in seconds in which all of it has to be written, or else it is not sent;
                None for no limit but the timeout.
        """
        attempt = UpstreamAttempt(self._loop, request, on_end)
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.draining:
            attempt.connection_lost()
            return attempt
        attempt.timer = self._loop.call_later(timeout_s, attempt.abandon, Outcome.TIMEOUT)
        if write_timeout_s is not None:
            attempt.write_timer = self._loop.call_later(write_timeout_s, attempt.abandon_unless_written)
        connection = endpoint.acquire_idle()
        if connection is not None:
            connection.write(attempt)
        elif len(self.connections) < self.max_connections or self._close_oldest_idle():
            endpoint.connect(self._loop, attempt)
        else:
            attempt.connection_lost()
        return attempt

    # Closing

    def close_idle(self, endpoint_id: EndpointId) -> None:
        """Close the idle connections to an endpoint."""
        endpoint = self.endpoints.get(endpoint_id)
        if endpoint is not None:
            endpoint.close_idle()

    def sweep(self) -> None:
        """Close connections past their idle timeout and remove endpoints that drain or are unlisted."""
        oldest = self.timing.now() - self.timing.idle_timeout_s
        for endpoint_id, endpoint in list(self.endpoints.items()):
            if endpoint.idle:
                endpoint.close_idle(idle_since_before=oldest)
            if endpoint.draining:
                del self.endpoints[endpoint_id]

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.abort(UpstreamCloseReason.SHUTDOWN)

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        oldest = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not oldest:
            return False
        min(oldest, key=lambda connection: connection.idle_since).abort(UpstreamCloseReason.CONNECTION_LIMIT)
        return True
