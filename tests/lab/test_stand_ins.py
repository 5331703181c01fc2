"""A real gateway with the lab's stand-ins for discovery and endpoints, which must follow the protocol."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from lab import fleet
from lab.clients import encode_request
from lab.messages import ListIdle, WatchIdle
from lab.registry import Registry
from lab.statements import StandInEndpoints
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
    """A real gateway and the stand-ins that it connects to, with the ports of the stand-in endpoints."""

    registry: Registry
    statements: StandInEndpoints
    ports: dict[str, int]
    gateway: RunningGateway

    async def wait_for_list(
        self, kind: ListKind, status: EndpointStatus | None = None
    ) -> EndpointListReceived:
        return await self.gateway.wait_for_event(
            EndpointListReceived, lambda e: e.kind is kind and (not status or e.endpoints[0].status is status)
        )


@asynccontextmanager
async def running_rig(index: int | None = None) -> AsyncIterator[Rig]:
    """Start a real gateway with the stand-ins; its cached list has `index`, by default the current one."""
    loop = asyncio.get_running_loop()
    registry, statements = Registry(loop), StandInEndpoints(loop)
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
    gateway = RunningGateway(proxy, ClientServer(config, proxy, loop), StubEndpoint(), StubDiscovery())
    gateway.record_events()
    await proxy.start()
    await gateway.client_server.start()
    try:
        yield Rig(registry, statements, ports, gateway)
    finally:
        assert gateway.client_server.listener is not None
        gateway.client_server.listener.close()
        for connection in list(gateway.client_server.connections):
            connection.close()
        proxy.close()
        registry.go_down()
        for sock in statements.listeners:
            sock.close()


@pytest.mark.parametrize("route", range(4))
def test_a_request_of_every_effect_goes_through_the_real_gateway(route: int) -> None:
    async def test() -> None:
        async with running_rig() as rig:
            client = await rig.gateway.client()
            status, _, body = await client.request(encode_request(route, tenant=2, request_id=0xAB))
            assert (status, body) == (200, b"00000000000000ab /route-%d\n" % route)
            stats = rig.statements.stats["gateway"]
            assert (stats["requests"], stats["bad"]) == (1, 0)

    run_in_event_loop(test())


def test_stand_in_endpoints_answer_each_form_of_request_as_protocol_says() -> None:
    async def test() -> None:
        async with running_rig() as rig:
            client = HttpClient(*await asyncio.open_connection(fleet.server_host(5), rig.ports["direct"]))
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
            (connection,) = rig.statements.connections["direct"]
            assert connection.endpoint_number == 5

    run_in_event_loop(test())


def test_a_watch_starts_with_the_changes_since_its_index() -> None:
    async def test() -> None:
        async with running_rig() as rig:
            assert not (await rig.wait_for_list(ListKind.DELTA)).endpoints
            rig.registry.change([(3, "leaving")], restarted=False)
            (server,) = (await rig.wait_for_list(ListKind.DELTA, EndpointStatus.DRAINING)).endpoints
            rig.registry.change([(3, "left")], restarted=True)
            await rig.wait_for_list(ListKind.DELTA, EndpointStatus.GONE)
            rig.registry.change([(3, "active")], restarted=True)
            (returned,) = (await rig.wait_for_list(ListKind.DELTA, EndpointStatus.READY)).endpoints
            assert returned.id == server.id
            assert returned.started_us > 0

    run_in_event_loop(test())


def test_a_watch_from_an_unknown_index_starts_with_the_whole_list() -> None:
    async def test() -> None:
        async with running_rig(index=3) as rig:
            assert len((await rig.wait_for_list(ListKind.COMPLETE)).endpoints) == SERVERS

    run_in_event_loop(test())


def test_an_outage_ends_watches_and_new_ones_start_with_the_missed_changes() -> None:
    async def test() -> None:
        async with running_rig() as rig:
            await rig.wait_for_list(ListKind.DELTA)
            rig.registry.go_down()
            rig.registry.change([(1, "leaving"), (2, "leaving")], restarted=True)
            await rig.wait_for_list(ListKind.ERROR)
            await rig.registry.listen()
            assert len((await rig.wait_for_list(ListKind.DELTA)).endpoints) == 2

    run_in_event_loop(test())


def test_the_gateway_closes_idle_connections_to_a_leaving_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lab.statements.MIN_IDLE_S", -1.0)  # a connection counts as idle at once

    async def test() -> None:
        async with running_rig() as rig:
            await rig.wait_for_list(ListKind.DELTA)
            client = await rig.gateway.client()
            await client.request(encode_request(0, tenant=0, request_id=1))
            ((server, count),) = await rig.statements.handle(ListIdle())
            assert count == await rig.statements.handle(WatchIdle(endpoint=server)) == 1
            since_ns = rig.registry.change([(server, "leaving")], restarted=False)
            while (closes := rig.statements.closes(server, since_ns)).standing:
                await asyncio.sleep(0)
            assert len(closes.after_us) == 1

    run_in_event_loop(test())


def test_a_call_that_would_wait_too_long_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("lab.registry.MAX_WAIT_S", 0.0)

    async def test() -> None:
        async with running_rig() as rig:
            assert (await rig.wait_for_list(ListKind.ERROR)).endpoints == ()
            assert rig.registry.stats["real"]["turned_away"] >= 1

    run_in_event_loop(test())
