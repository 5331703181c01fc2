"""A gateway in the process of the test, between a stub endpoint and a stub discovery on 127.0.0.1."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import pytest

from load_balancer.config.file import parse_config
from load_balancer.decisions.actions import Action
from load_balancer.decisions.events import Event
from load_balancer.gateway.client_connection import ClientConnection
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.reverse_proxy import ReverseProxy
from tests.gateway.configurations import configuration
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.stub_discovery import StubDiscovery
from tests.gateway.stub_endpoint import StubEndpoint
from tests.gateway.stub_server import socket_with_small_buffer

EventT = TypeVar("EventT")


@dataclass
class RunningGateway:
    """A gateway, the stubs that it connects to and the events that its balancer has handled."""

    proxy: ReverseProxy
    client_server: ClientServer
    endpoint: StubEndpoint
    discovery: StubDiscovery
    events: list[Event] = field(default_factory=list)
    event_recorded: asyncio.Event = field(default_factory=asyncio.Event)

    def record_events(self) -> None:
        """Record the events that the balancer handles, in order."""
        handle = self.proxy.balancer.handle

        def record_and_handle(now_us: int, event: Event) -> list[Action]:
            self.events.append(event)
            self.event_recorded.set()
            return handle(now_us, event)

        self.proxy.balancer.handle = record_and_handle  # type: ignore[method-assign]

    async def wait_for_event(
        self, event_type: type[EventT], matches: Callable[[EventT], bool] = lambda _: True
    ) -> EventT:
        """Wait for the first matching event; it and those before it are removed from `events`."""
        while True:
            while self.events:
                event = self.events.pop(0)
                if isinstance(event, event_type) and matches(event):
                    return event
            self.event_recorded.clear()
            await self.event_recorded.wait()

    async def serve_request(self, client: HttpClient, data: bytes = b"") -> None:
        """Send a request, respond with 200 at the endpoint and expect 200 at the client."""
        client.send(data or encode_request())
        (await self.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200

    def stop_reading(self, client: HttpClient) -> ClientConnection:
        """Stop reading at the client and shrink the gateway's send buffer; returns its connection there."""
        (connection,) = self.client_server.connections
        shrink_send_buffer(connection.transport)
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        return connection

    async def connect_endpoint_that_stops_reading(self, client: HttpClient) -> asyncio.Transport:
        """Open a connection to the endpoint, which then stops reading; returns the gateway's transport of it.

        Its send buffer is small, so that most of a large request stays in the transport.
        """
        await self.serve_request(client)
        (connection,) = self.proxy.upstream.connections
        (writer,) = self.endpoint.writers
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.events.clear()
        return shrink_send_buffer(connection.transport)

    async def client(self) -> HttpClient:
        """Connect a client with a small receive buffer."""
        assert self.client_server.listener is not None
        host, port = self.client_server.listener.sockets[0].getsockname()
        client_socket = socket_with_small_buffer()
        client_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client_socket, (host, port))
        return HttpClient(*await asyncio.open_connection(sock=client_socket))


def shrink_send_buffer(transport: asyncio.Transport | None) -> asyncio.Transport:
    """Shrink the send buffer of an open connection's socket."""
    assert transport is not None
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return transport


@asynccontextmanager
async def running_gateway(
    endpoint_count: int = 1, reuse_delay_s: float = 0.0, **overrides: Any
) -> AsyncIterator[RunningGateway]:
    """Run a gateway with endpoints `h0`, `h1`, ... in its cached list, all at the address of one stub."""
    endpoint, discovery = StubEndpoint(), StubDiscovery()
    await endpoint.start()
    await discovery.start()
    endpoint_addresses = {f"h{n}": endpoint.address for n in range(endpoint_count)}
    config = parse_config(configuration(endpoint_addresses, discovery.address, **overrides))
    loop = asyncio.get_running_loop()
    proxy = ReverseProxy(config, loop)
    proxy.upstream.timing.reuse_delay_s = reuse_delay_s
    client_server = ClientServer(config, proxy, loop)
    gateway = RunningGateway(proxy, client_server, endpoint, discovery)
    gateway.record_events()
    await proxy.start()
    await client_server.start()
    try:
        yield gateway
    finally:
        assert client_server.listener is not None
        client_server.listener.close()
        for connection in list(client_server.connections):
            connection.close()
        proxy.close()
        endpoint.stop()
        discovery.stop()


def pause_endpoint_connects(gateway: RunningGateway, monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Delay connections to the endpoint until the returned event is set."""
    loop, resume = gateway.proxy.loop, asyncio.Event()
    connect = loop.create_connection

    async def connect_when_resumed(protocol: Any, host: str, port: int, **kwargs: Any) -> Any:
        if f"{host}:{port}" == gateway.endpoint.address:
            await resume.wait()
        return await connect(protocol, host, port, **kwargs)

    monkeypatch.setattr(loop, "create_connection", connect_when_resumed)
    return resume
