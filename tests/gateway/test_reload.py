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
from tests.gateway.reload_helpers import (
    FIRST,
    TENANTS,
    hold_reading,
    logged,
    reloadable,
    with_classes,
)
from tests.sockets import (
    Client,
    Registry,
    ask,
    chunk,
    entry,
    lane,
    news,
    settings,
    until,
)


async def test_a_change_is_in_force_for_the_next_request(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as it:
        client = await it.gateway.client()
        await it.gateway.served(client, ask(Tenant="acme"))
        await it.reload(with_classes("buy", "find", tenants=[{"name": "wayne"}]))
        assert it.settings_version == 2
        assert (await client.ask(ask(Tenant="acme")))[0] == 404  # no such class any more
        assert (await client.ask(ask("find", "GET", Tenant="acme")))[0] == 400
        await it.gateway.served(client, ask("find", "GET", Tenant="wayne"))
        arrived = await it.gateway.event(RequestArrived, lambda event: event.request_id == "2")
        assert (arrived.request_class, arrived.tenant) == (1, 0)


async def test_the_same_content_changes_nothing_and_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with reloadable(tmp_path) as it:
        before = it.gateway.client_server.lookup
        await it.reload()
        assert it.settings_version == 1
        assert it.gateway.client_server.lookup is before
        (one,) = logged(caplog)
        assert (one["event"], one["settings_version"]) == ("config.unchanged", 1)


def with_lane(**changed: Any) -> dict[str, Any]:
    return {**FIRST, "lanes": [{**lane("look", "free"), **changed}]}


UNUSABLE_FILES: list[tuple[str, Callable[[str], str]]] = [
    ("ends in the middle", lambda text: text[:-9]),
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
    async with reloadable(tmp_path) as it:
        monkeypatch.setattr(configs, "CONFIG_LIMIT", 2_000)
        it.path.write_text(spoil(it.path.read_text()))
        it.reloader.request_reload()
        await it.finish_reading()
        assert it.settings_version == 1
        (one,) = logged(caplog)
        assert one["event"] == "config.rejected"
        assert one["settings_version"] == 1
        error = str(one["error"])
        assert named in error
        assert len(error.splitlines()) == 1
        await it.gateway.served(await it.gateway.client(), ask(Tenant="umbrella"))


async def test_a_request_in_flight_ends_under_its_own_settings_version(tmp_path: Path) -> None:
    """Its class has another index, its tenant is gone; an idempotent class has the index it had."""
    async with reloadable(tmp_path) as it:
        client, other = await it.gateway.client(), await it.gateway.client()
        client.send(ask("buy", "POST", Tenant="umbrella"))
        taken = await it.gateway.host.taken.get()
        other.send(ask(Tenant="umbrella"))
        served = await it.gateway.host.taken.get()
        changed = with_classes("find", "pay", "look", "buy", tenants=[{"name": "acme"}])
        changed["caps"]["maxAttempts"] = 4
        await it.reload(changed)
        taken.writer.transport.abort()  # it may have run, and must not run twice
        assert (await client.answer())[0] == 502
        served.answer()
        assert (await other.answer())[0] == 200
        assert (await client.ask(ask("buy", "POST", Tenant="umbrella")))[0] == 400
        assert it.gateway.host.taken.empty()


async def test_a_request_in_flight_keeps_its_further_attempts(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as it:
        await it.reload({**settings(maxAttempts=2), "tenants": TENANTS})
        client = await it.gateway.client()
        client.send(ask(Tenant="acme"))
        taken = await it.gateway.host.taken.get()
        await it.reload({**settings(maxAttempts=1), "tenants": TENANTS})
        taken.answer(503, Not_Started="1")
        (await it.gateway.host.taken.get()).answer()
        assert (await client.answer())[0] == 200


async def test_a_pipelined_request_is_read_by_the_settings_version_of_its_turn(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as it:
        client = await it.gateway.client()
        client.send(ask(Tenant="acme") + ask(Tenant="acme") + ask("find", "GET", Tenant="acme"))
        first = await it.gateway.host.taken.get()
        await it.reload(with_classes("find"))
        first.answer()
        assert (await client.answer())[0] == 200
        assert (await client.answer())[0] == 404  # no `look` any more: answered, not lost
        (await it.gateway.host.taken.get()).answer()
        assert (await client.answer())[0] == 200


async def test_requests_are_served_during_a_reading_and_the_last_content_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with reloadable(tmp_path) as it:
        began, free = hold_reading(monkeypatch)
        client = await it.gateway.client()
        it.write(with_classes("look", "find"))
        it.reloader.request_reload()
        await until(lambda: len(began) == 1)
        await it.gateway.served(client, ask(Tenant="acme"))
        for name in ("second", "third"):  # requested twice more: the second is never read
            it.write(with_classes("look", name))
            it.reloader.request_reload()
        free.set()
        await it.finish_reading()
        assert len(began) == 2
        assert it.settings_version == 3
        assert list(it.gateway.client_server.lookup.classes) == [b"look", b"third"]


@pytest.mark.parametrize("end", ["applied", "rejected", "closed"])
async def test_no_garbage_collection_runs_during_a_reading(
    end: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A full collection of what is being read would be one long step."""
    async with reloadable(tmp_path) as it:
        began, free = hold_reading(monkeypatch)
        it.write({"lanes": 7} if end == "rejected" else with_classes("find"))
        it.reloader.request_reload()
        await until(lambda: bool(began))
        assert not gc.isenabled()
        if end == "closed":
            it.reloader.close()
        free.set()
        await it.finish_reading()
        assert gc.isenabled()
        assert it.settings_version == (2 if end == "applied" else 1)


async def test_a_reading_under_way_at_shutdown_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with reloadable(tmp_path) as it:
        began, _ = hold_reading(monkeypatch)
        it.write(with_classes("find"))
        it.reloader.request_reload()
        await until(lambda: bool(began))
        it.reloader.close()
        await it.finish_reading()
        assert it.settings_version == 1


async def test_a_change_during_a_drain_is_applied_to_later_requests(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as it:
        client, late = await it.gateway.client(), await it.gateway.client()
        client.send(ask(Tenant="umbrella"))
        taken = await it.gateway.host.taken.get()
        drain = asyncio.ensure_future(it.gateway.client_server.drain())
        await until(lambda: it.gateway.client_server.draining)
        await it.reload(with_classes("look", tenants=[{"name": "acme"}]))
        await it.gateway.served(late, ask(Tenant="acme"))
        taken.answer()
        assert (await client.answer())[0] == 200
        await drain


@pytest.mark.parametrize("same", [False, True])
async def test_the_address_of_discovery_changes_with_the_settings_and_without(
    same: bool, tmp_path: Path
) -> None:
    elsewhere = Registry()
    await elsewhere.start()
    async with reloadable(tmp_path) as it:
        _, old = await it.gateway.registry.watches.get()
        await it.reload(FIRST if same else with_classes("find"), discovery=elsewhere.address)
        _, watch = await elsewhere.watches.get()
        assert it.settings_version == (1 if same else 2)
        watch.write(chunk(news(entry("h9", it.gateway.host.address), index=9)))
        await until(lambda: len(it.gateway.proxy.upstream.endpoints) == 3)
        old.close()
        request_class = "look" if same else "find"
        await it.gateway.served(await it.gateway.client(), ask(request_class, "GET", Tenant="acme"))
    elsewhere.stop()


async def test_many_changes_leave_no_state_behind(tmp_path: Path) -> None:
    """With a request under each version: what only an earlier one had is dropped."""
    async with reloadable(tmp_path) as it:
        client = await it.gateway.client()
        for turn in range(60):
            tenants = [{"name": "acme"}, {"name": f"t{turn}", "allowancePerS": 5.0}]
            await it.reload(with_classes(f"k{turn}", "look", tenants=tenants))
            for request_class, tenant in ((f"k{turn}", f"t{turn}"), ("look", "acme")):
                await it.gateway.served(client, ask(request_class, "GET", Tenant=tenant))
        balancer = it.gateway.proxy.balancer
        classes = balancer.context.classes
        assert it.settings_version == 61
        assert len(classes) == 2 == len(classes.by_id)
        assert balancer.demand.within_quota.keys() <= classes.by_id.keys()
        assert not it.gateway.proxy.ledger.pending
        assert not balancer.lifecycle.requests
        assert classes[1].answers == 60


async def test_the_memory_of_a_reading_is_returned(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also where the file could not be used."""
    trims = list[int]()
    monkeypatch.setattr(reload, "trim_heap", lambda: trims.append(1))
    async with reloadable(tmp_path) as it:
        for count, change in enumerate((with_classes("find"), with_classes("find"), {"lanes": 7})):
            await it.reload(change)
            assert len(trims) == count + 1
        assert it.settings_version == 2
    monkeypatch.undo()
    reload.trim_heap()
    monkeypatch.setattr("ctypes.CDLL", lambda _: object())
    reload.trim_heap()  # where the C library has no such call


async def test_a_client_that_disconnects_after_the_change_is_noticed(tmp_path: Path) -> None:
    async with reloadable(tmp_path) as it:
        client: Client = await it.gateway.client()
        client.send(ask(Tenant="umbrella"))
        await it.gateway.host.taken.get()
        await it.reload(with_classes("find", tenants=[]))
        client.writer.close()
        await it.gateway.event(ClientDisconnected)
        await until(lambda: not it.gateway.proxy.ledger.pending)
