"""A replaced configuration is applied to a running gateway, and to no request that has arrived before."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from load_balancer.config import file as configs
from load_balancer.decisions.events import ClientDisconnected, RequestArrived
from load_balancer.gateway import reload
from tests.gateway.configurations import request_class_settings, settings
from tests.gateway.event_loop import wait_until
from tests.gateway.http_client import HttpClient, encode_request
from tests.gateway.reload_helpers import (
    FIRST,
    TENANTS,
    hold_reading,
    logged,
    reloadable,
    with_classes,
)
from tests.gateway.stub_discovery import StubDiscovery, encode_chunk, endpoint_entry, watch_event


async def test_a_change_is_in_force_for_the_next_request(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as instance:
        client = await instance.gateway.client()
        await instance.gateway.serve_request(client, encode_request(Tenant="acme"))
        await instance.reload(with_classes("buy", "find", tenants=[{"name": "wayne"}]))
        assert instance.settings_version == 2
        assert (await client.request(encode_request(Tenant="acme")))[0] == 404  # no such class any more
        assert (await client.request(encode_request("find", "GET", Tenant="acme")))[0] == 400
        await instance.gateway.serve_request(client, encode_request("find", "GET", Tenant="wayne"))
        arrived = await instance.gateway.wait_for_event(RequestArrived, lambda event: event.request_id == "2")
        assert (arrived.request_class, arrived.tenant) == (1, 0)


async def test_the_same_content_changes_nothing_and_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with reloadable(tmp_path) as instance:
        before = instance.gateway.client_server.lookup
        await instance.reload()
        assert instance.settings_version == 1
        assert instance.gateway.client_server.lookup is before
        (one,) = logged(caplog)
        assert (one["event"], one["settings_version"]) == ("config.unchanged", 1)


def with_lane(**changed: Any) -> dict[str, Any]:
    return {**FIRST, "lanes": [{**request_class_settings("look", "free"), **changed}]}


UNUSABLE_FILES: list[tuple[str, Callable[[str], str]]] = [
    ("unexpected end of input", lambda text: text[:-9]),
    (
        "settings.lanes[0].windowUs: expected a finite number, got NaN",
        lambda text: text.replace("60000000", "NaN", 1),
    ),
    ("settings.lanes[0].aimUs", lambda text: changed(text, with_lane(aimUs="x"))),
    ("settings.lanes[0].giveUpUs", lambda text: changed(text, with_lane(giveUpUs=-1))),
    ("settings.tenants[1].name", lambda text: changed(text, {**FIRST, "tenants": TENANTS[:1] * 2})),
    ("settings.zones differs", lambda text: changed(text, {**FIRST, "zones": ["b", "a"]})),
    ("limits.sockets differs", lambda text: text.replace("1024", "512")),
    ("too large", lambda text: text + " " * 2_000),
]


def changed(text: str, settings: object) -> str:
    return json.dumps({**json.loads(text), "settings": settings})


@pytest.mark.parametrize(("named", "spoil"), UNUSABLE_FILES)
async def test_an_unusable_file_is_logged_in_one_line_and_changes_nothing(
    named: str,
    spoil: Callable[[str], str],
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    caplog.set_level(logging.INFO)
    async with reloadable(tmp_path) as instance:
        monkeypatch.setattr(configs, "MAX_CONFIG_BYTES", 2_000)
        instance.path.write_text(spoil(instance.path.read_text()))
        instance.reloader.request_reload()
        await instance.finish_reading()
        assert instance.settings_version == 1
        (one,) = logged(caplog)
        assert one["event"] == "config.rejected"
        assert one["settings_version"] == 1
        error = str(one["error"])
        assert named in error
        assert len(error.splitlines()) == 1
        await instance.gateway.serve_request(
            await instance.gateway.client(), encode_request(Tenant="umbrella")
        )


async def test_a_request_in_flight_ends_under_its_own_settings_version(tmp_path: Path) -> None:
    """Its class has another index, its tenant is gone; an idempotent class has the index it had."""
    async with reloadable(tmp_path) as instance:
        client, other = await instance.gateway.client(), await instance.gateway.client()
        client.send(encode_request("buy", "POST", Tenant="umbrella"))
        received = await instance.gateway.endpoint.requests.get()
        other.send(encode_request(Tenant="umbrella"))
        served = await instance.gateway.endpoint.requests.get()
        changed = with_classes("find", "pay", "look", "buy", tenants=[{"name": "acme"}])
        changed["caps"]["maxAttempts"] = 4
        await instance.reload(changed)
        received.writer.transport.abort()  # it may have run, and must not run twice
        assert (await client.read_response())[0] == 502
        served.respond()
        assert (await other.read_response())[0] == 200
        assert (await client.request(encode_request("buy", "POST", Tenant="umbrella")))[0] == 400
        assert instance.gateway.endpoint.requests.empty()


async def test_a_request_in_flight_keeps_its_further_attempts(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as instance:
        await instance.reload({**settings(maxAttempts=2), "tenants": TENANTS})
        client = await instance.gateway.client()
        client.send(encode_request(Tenant="acme"))
        received = await instance.gateway.endpoint.requests.get()
        await instance.reload({**settings(maxAttempts=1), "tenants": TENANTS})
        received.respond(503, Not_Started="1")
        (await instance.gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200


async def test_a_pipelined_request_is_read_by_the_settings_version_of_its_turn(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as instance:
        client = await instance.gateway.client()
        client.send(
            encode_request(Tenant="acme")
            + encode_request(Tenant="acme")
            + encode_request("find", "GET", Tenant="acme")
        )
        first = await instance.gateway.endpoint.requests.get()
        await instance.reload(with_classes("find"))
        first.respond()
        assert (await client.read_response())[0] == 200
        assert (await client.read_response())[0] == 404  # no `look` any more: answered, not lost
        (await instance.gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200


async def test_requests_are_served_during_a_reading_and_the_last_content_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with reloadable(tmp_path) as instance:
        began, free = hold_reading(monkeypatch)
        client = await instance.gateway.client()
        instance.write(with_classes("look", "find"))
        instance.reloader.request_reload()
        await wait_until(lambda: len(began) == 1)
        await instance.gateway.serve_request(client, encode_request(Tenant="acme"))
        for name in ("second", "third"):  # requested twice more: the second is never read
            instance.write(with_classes("look", name))
            instance.reloader.request_reload()
        free.set()
        await instance.finish_reading()
        assert len(began) == 2
        assert instance.settings_version == 3
        assert list(instance.gateway.client_server.lookup.classes) == [b"look", b"third"]


@pytest.mark.parametrize("end", ["applied", "rejected", "closed"])
async def test_no_garbage_collection_runs_during_a_reading(
    end: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A full collection of what is being read would be one long step."""
    async with reloadable(tmp_path) as instance:
        began, free = hold_reading(monkeypatch)
        instance.write({"lanes": 7} if end == "rejected" else with_classes("find"))
        instance.reloader.request_reload()
        await wait_until(lambda: bool(began))
        assert not gc.isenabled()
        if end == "closed":
            instance.reloader.close()
        free.set()
        await instance.finish_reading()
        assert gc.isenabled()
        assert instance.settings_version == (2 if end == "applied" else 1)


async def test_a_reading_under_way_at_shutdown_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with reloadable(tmp_path) as instance:
        began, _ = hold_reading(monkeypatch)
        instance.write(with_classes("find"))
        instance.reloader.request_reload()
        await wait_until(lambda: bool(began))
        instance.reloader.close()
        await instance.finish_reading()
        assert instance.settings_version == 1


async def test_a_change_during_a_drain_is_applied_to_later_requests(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as instance:
        client, late = await instance.gateway.client(), await instance.gateway.client()
        client.send(encode_request(Tenant="umbrella"))
        received = await instance.gateway.endpoint.requests.get()
        drain = asyncio.ensure_future(instance.gateway.client_server.drain())
        await wait_until(lambda: instance.gateway.client_server.draining)
        await instance.reload(with_classes("look", tenants=[{"name": "acme"}]))
        await instance.gateway.serve_request(late, encode_request(Tenant="acme"))
        received.respond()
        assert (await client.read_response())[0] == 200
        await drain


@pytest.mark.parametrize("same", [False, True])
async def test_the_address_of_discovery_changes_with_the_settings_and_without(
    same: bool, tmp_path: Path
) -> None:
    elsewhere = StubDiscovery()
    await elsewhere.start()
    async with reloadable(tmp_path) as instance:
        _, old = await instance.gateway.discovery.watches.get()
        await instance.reload(FIRST if same else with_classes("find"), discovery=elsewhere.address)
        _, watch = await elsewhere.watches.get()
        assert instance.settings_version == (1 if same else 2)
        watch.write(
            encode_chunk(watch_event(endpoint_entry("h9", instance.gateway.endpoint.address), index=9))
        )
        await wait_until(lambda: len(instance.gateway.proxy.upstream.endpoints) == 3)
        old.close()
        request_class = "look" if same else "find"
        await instance.gateway.serve_request(
            await instance.gateway.client(), encode_request(request_class, "GET", Tenant="acme")
        )
    elsewhere.stop()


async def test_many_changes_leave_no_state_behind(tmp_path: Path) -> None:
    """With a request under each version: what only an earlier one had is dropped."""
    async with reloadable(tmp_path) as instance:
        client = await instance.gateway.client()
        for turn in range(60):
            tenants = [{"name": "acme"}, {"name": f"t{turn}", "allowancePerS": 5.0}]
            await instance.reload(with_classes(f"k{turn}", "look", tenants=tenants))
            for request_class, tenant in ((f"k{turn}", f"t{turn}"), ("look", "acme")):
                await instance.gateway.serve_request(
                    client, encode_request(request_class, "GET", Tenant=tenant)
                )
        balancer = instance.gateway.proxy.balancer
        classes = balancer.context.classes
        assert instance.settings_version == 61
        assert len(classes) == 2 == len(classes.by_id)
        assert balancer.demand.within_quota.keys() <= classes.by_id.keys()
        assert not instance.gateway.proxy.ledger.pending
        assert not balancer.lifecycle.requests
        assert classes[1].answers == 60


async def test_the_memory_of_a_reading_is_returned(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also where the file could not be used."""
    trims = list[int]()
    monkeypatch.setattr(reload, "trim_heap", lambda: trims.append(1))
    async with reloadable(tmp_path) as instance:
        for count, change in enumerate((with_classes("find"), with_classes("find"), {"lanes": 7})):
            await instance.reload(change)
            assert len(trims) == count + 1
        assert instance.settings_version == 2
    monkeypatch.undo()
    reload.trim_heap()
    monkeypatch.setattr("ctypes.CDLL", lambda _: object())
    reload.trim_heap()  # where the C library has no such call


async def test_a_client_that_disconnects_after_the_change_is_noticed(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as instance:
        client: HttpClient = await instance.gateway.client()
        client.send(encode_request(Tenant="umbrella"))
        await instance.gateway.endpoint.requests.get()
        await instance.reload(with_classes("find", tenants=[]))
        client.writer.close()
        await instance.gateway.wait_for_event(ClientDisconnected)
        await wait_until(lambda: not instance.gateway.proxy.ledger.pending)
