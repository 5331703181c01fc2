"""A real gateway between the rig's stand-ins, which keep PROTOCOL."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from lab import fleet
from lab.clients import ask_bytes
from lab.messages import ListIdle, WatchIdle
from lab.registry import Registry
from lab.statements import StatementServers
from load_balancer.config.file import parse_config
from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.reverse_proxy import ReverseProxy
from tests.gateway.event_loop import run_in_event_loop
from tests.gateway.http_client import HttpClient
from tests.gateway.running_gateway import RunningGateway
from tests.gateway.stub_discovery import StubDiscovery
from tests.gateway.stub_endpoint import StubEndpoint

SERVERS = 8


@dataclass
class Rig:
    registry: Registry
    statements: StatementServers
    ports: dict[str, int]
    gateway: RunningGateway

    async def listed(self, kind: ListKind, status: EndpointStatus | None = None) -> EndpointListReceived:
        return await self.gateway.wait_for_event(
            EndpointListReceived, lambda e: e.kind is kind and (not status or e.endpoints[0].status is status)
        )


@asynccontextmanager
async def rig(index: int | None = None) -> AsyncIterator[Rig]:
    """The real gateway between the rig's stand-ins; it has last held the list of `index`."""
    loop = asyncio.get_running_loop()
    registry, statements = Registry(loop), StatementServers(loop)
    ports = await statements.listen(seed=1)
    address = (await registry.listen())["real"]
    registry.set_fleet(SERVERS, ports["gateway"])
    known = {
        "index": registry.index if index is None else index,
        "endpoints": fleet.entries(SERVERS, ports["gateway"]),
    }
    settings = fleet.settings(routes=4, tenants=3)
    settings["contract"]["mustAskInUs"] = 100_000
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": address,
        "known": known,
        "settings": settings,
    }
    config = parse_config(raw)
    proxy = ReverseProxy(config, loop)
    it = RunningGateway(proxy, ClientServer(config, proxy, loop), StubEndpoint(), StubDiscovery())
    it.record_events()
    await proxy.start()
    await it.client_server.start()
    try:
        yield Rig(registry, statements, ports, it)
    finally:
        assert it.client_server.listener is not None
        it.client_server.listener.close()
        for connection in list(it.client_server.connections):
            connection.close()
        proxy.close()
        registry.go_down()
        for sock in statements.listeners:
            sock.close()


@pytest.mark.parametrize("route", range(4))
def test_a_request_of_every_effect_goes_through_the_real_gateway(route: int) -> None:
    async def test() -> None:
        async with rig() as it:
            client = await it.gateway.client()
            status, _, body = await client.request(ask_bytes(route, tenant=2, number=0xAB))
            assert (status, body) == (200, b"00000000000000ab /route-%d\n" % route)
            stats = it.statements.stats["gateway"]
            assert (stats["requests"], stats["bad"]) == (1, 0)

    run_in_event_loop(test())


def test_statement_servers_answer_each_form_of_request_by_protocol() -> None:
    async def test() -> None:
        async with rig() as it:
            client = HttpClient(*await asyncio.open_connection(fleet.host(5), it.ports["direct"]))
            for path, headers, expected in (
                ("/health/live", "", 404),
                ("/stats", "", 404),
                ("/route-0", "", 404),
                ("/route-0", "Request-Id: no-client-sent-this\r\n", 400),
                ("/route-0", "Request-Id: 0123456789abcdef\r\n", 200),
            ):
                status, head, _ = await client.request(f"GET {path} HTTP/1.1\r\n{headers}\r\n".encode())
                assert status == expected
                assert ("server-load" in head) == (expected == 200)
            (connection,) = it.statements.connections["direct"]
            assert connection.server == 5

    run_in_event_loop(test())


def test_the_watch_begins_with_what_has_changed_since() -> None:
    async def test() -> None:
        async with rig() as it:
            assert not (await it.listed(ListKind.DELTA)).endpoints
            it.registry.change([(3, "leaving")], restarted=False)
            (server,) = (await it.listed(ListKind.DELTA, EndpointStatus.DRAINING)).endpoints
            it.registry.change([(3, "left")], restarted=True)
            await it.listed(ListKind.DELTA, EndpointStatus.GONE)
            it.registry.change([(3, "active")], restarted=True)
            (again,) = (await it.listed(ListKind.DELTA, EndpointStatus.READY)).endpoints
            assert again.id == server.id
            assert again.started_us > 0

    run_in_event_loop(test())


def test_an_index_that_is_not_held_brings_the_whole_list() -> None:
    async def test() -> None:
        async with rig(index=3) as it:
            assert len((await it.listed(ListKind.COMPLETE)).endpoints) == SERVERS

    run_in_event_loop(test())


def test_an_outage_ends_watches_and_the_return_brings_what_was_missed() -> None:
    async def test() -> None:
        async with rig() as it:
            await it.listed(ListKind.DELTA)
            it.registry.go_down()
            it.registry.change([(1, "leaving"), (2, "leaving")], restarted=True)
            await it.listed(ListKind.ERROR)
            await it.registry.listen()
            assert len((await it.listed(ListKind.DELTA)).endpoints) == 2

    run_in_event_loop(test())


def test_a_leaving_server_sees_its_idle_connection_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lab.statements.IDLE_FOR_S", -1.0)  # no wait: what has answered is idle

    async def test() -> None:
        async with rig() as it:
            await it.listed(ListKind.DELTA)
            client = await it.gateway.client()
            await client.request(ask_bytes(0, tenant=0, number=1))
            ((server, count),) = await it.statements.handle(ListIdle())
            assert count == await it.statements.handle(WatchIdle(endpoint=server)) == 1
            since_ns = it.registry.change([(server, "leaving")], restarted=False)
            while (closes := it.statements.closes(server, since_ns)).standing:
                await asyncio.sleep(0)
            assert len(closes.after_us) == 1

    run_in_event_loop(test())


def test_a_call_that_waits_too_long_is_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lab.registry.MAX_WAIT_S", 0.0)

    async def test() -> None:
        async with rig() as it:
            assert (await it.listed(ListKind.ERROR)).endpoints == ()
            assert it.registry.stats["real"]["turned_away"] >= 1

    run_in_event_loop(test())
