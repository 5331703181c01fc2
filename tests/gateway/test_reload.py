"""Reloading of the configuration: changes apply to later requests, not to those in flight."""

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
    INITIAL_SETTINGS,
    TENANTS,
    logged_config_events,
    pause_config_reads,
    reloadable_gateway,
    settings_with_classes,
)
from tests.gateway.stub_discovery import StubDiscovery, encode_chunk, endpoint_entry, watch_event


async def test_changed_settings_apply_to_the_next_request(tmp_path: Path) -> None:
    async with reloadable_gateway(tmp_path) as instance:
        client = await instance.gateway.client()
        await instance.gateway.serve_request(client, encode_request(Tenant="acme"))
        await instance.reload(settings_with_classes("buy", "find", tenants=[{"name": "wayne"}]))
        assert instance.settings_version == 2
        assert (await client.request(encode_request(Tenant="acme")))[0] == 404  # the class has been removed
        assert (await client.request(encode_request("find", "GET", Tenant="acme")))[0] == 400
        await instance.gateway.serve_request(client, encode_request("find", "GET", Tenant="wayne"))
        arrived = await instance.gateway.wait_for_event(RequestArrived, lambda event: event.request_id == "2")
        assert (arrived.request_class, arrived.tenant) == (1, 0)


async def test_the_same_content_changes_nothing_and_is_logged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    async with reloadable_gateway(tmp_path) as instance:
        lookup_before = instance.gateway.client_server.lookup
        await instance.reload()
        assert instance.settings_version == 1
        assert instance.gateway.client_server.lookup is lookup_before
        (event,) = logged_config_events(caplog)
        assert (event["event"], event["settings_version"]) == ("config.unchanged", 1)


def settings_with_class(**overrides: Any) -> dict[str, Any]:
    return {**INITIAL_SETTINGS, "lanes": [{**request_class_settings("look", "free"), **overrides}]}


UNUSABLE_FILES: list[tuple[str, Callable[[str], str]]] = [
    ("unexpected end of input", lambda text: text[:-9]),
    (
        "settings.lanes[0].windowUs: expected a finite number, got NaN",
        lambda text: text.replace("60000000", "NaN", 1),
    ),
    ("settings.lanes[0].aimUs", lambda text: with_settings(text, settings_with_class(aimUs="x"))),
    ("settings.lanes[0].giveUpUs", lambda text: with_settings(text, settings_with_class(giveUpUs=-1))),
    (
        "settings.tenants[1].name",
        lambda text: with_settings(text, {**INITIAL_SETTINGS, "tenants": TENANTS[:1] * 2}),
    ),
    ("settings.zones differs", lambda text: with_settings(text, {**INITIAL_SETTINGS, "zones": ["b", "a"]})),
    ("limits.sockets differs", lambda text: text.replace("1024", "512")),
    ("too large", lambda text: text + " " * 2_000),
]


def with_settings(text: str, settings: object) -> str:
    return json.dumps({**json.loads(text), "settings": settings})


@pytest.mark.parametrize(("expected_error", "corrupt"), UNUSABLE_FILES)
async def test_an_unusable_file_is_logged_in_one_line_and_changes_nothing(
    expected_error: str,
    corrupt: Callable[[str], str],
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    caplog.set_level(logging.INFO)
    async with reloadable_gateway(tmp_path) as instance:
        monkeypatch.setattr(configs, "MAX_CONFIG_BYTES", 2_000)
        instance.path.write_text(corrupt(instance.path.read_text()))
        instance.reloader.request_reload()
        await instance.finish_reading()
        assert instance.settings_version == 1
        (event,) = logged_config_events(caplog)
        assert event["event"] == "config.rejected"
        assert event["settings_version"] == 1
        error = str(event["error"])
        assert expected_error in error
        assert len(error.splitlines()) == 1
        await instance.gateway.serve_request(
            await instance.gateway.client(), encode_request(Tenant="umbrella")
        )


async def test_a_request_in_flight_ends_under_its_own_settings_version(tmp_path: Path) -> None:
    """The new settings remove the request's tenant and give the index of its class to an idempotent class.

    Under them, a request that must not run twice would be sent again.
    """
    async with reloadable_gateway(tmp_path) as instance:
        buy_client, look_client = await instance.gateway.client(), await instance.gateway.client()
        buy_client.send(encode_request("buy", "POST", Tenant="umbrella"))
        buy_request = await instance.gateway.endpoint.requests.get()
        look_client.send(encode_request(Tenant="umbrella"))
        look_request = await instance.gateway.endpoint.requests.get()
        new_settings = settings_with_classes("find", "pay", "look", "buy", tenants=[{"name": "acme"}])
        new_settings["caps"]["maxAttempts"] = 4
        await instance.reload(new_settings)
        buy_request.writer.transport.abort()  # it may have run, and must not run twice
        assert (await buy_client.read_response())[0] == 502
        look_request.respond()
        assert (await look_client.read_response())[0] == 200
        assert (await buy_client.request(encode_request("buy", "POST", Tenant="umbrella")))[0] == 400
        assert instance.gateway.endpoint.requests.empty()


async def test_a_request_in_flight_keeps_its_further_attempts(tmp_path: Path) -> None:
    """It arrived under settings that allow two attempts; the new ones allow one."""
    async with reloadable_gateway(tmp_path) as instance:
        await instance.reload({**settings(maxAttempts=2), "tenants": TENANTS})
        client = await instance.gateway.client()
        client.send(encode_request(Tenant="acme"))
        received = await instance.gateway.endpoint.requests.get()
        await instance.reload({**settings(maxAttempts=1), "tenants": TENANTS})
        received.respond(503, Not_Started="1")
        (await instance.gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200


async def test_a_pipelined_request_follows_the_settings_in_force_at_its_turn(tmp_path: Path) -> None:
    async with reloadable_gateway(tmp_path) as instance:
        client = await instance.gateway.client()
        client.send(
            encode_request(Tenant="acme")
            + encode_request(Tenant="acme")
            + encode_request("find", "GET", Tenant="acme")
        )
        first = await instance.gateway.endpoint.requests.get()
        await instance.reload(settings_with_classes("find"))
        first.respond()
        assert (await client.read_response())[0] == 200
        assert (await client.read_response())[0] == 404  # `look` was removed: answered, not lost
        (await instance.gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200


async def test_requests_are_served_during_a_reload_and_the_last_content_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with reloadable_gateway(tmp_path) as instance:
        previous_configs, resume = pause_config_reads(monkeypatch)
        client = await instance.gateway.client()
        instance.write(settings_with_classes("look", "find"))
        instance.reloader.request_reload()
        await wait_until(lambda: len(previous_configs) == 1)
        await instance.gateway.serve_request(client, encode_request(Tenant="acme"))
        for class_name in ("second", "third"):  # only the last of these contents is read
            instance.write(settings_with_classes("look", class_name))
            instance.reloader.request_reload()
        resume.set()
        await instance.finish_reading()
        assert len(previous_configs) == 2
        assert instance.settings_version == 3
        assert list(instance.gateway.client_server.lookup.classes) == [b"look", b"third"]


@pytest.mark.parametrize("ending", ["applied", "rejected", "closed"])
async def test_no_garbage_collection_runs_during_a_reload(
    ending: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A full collection of the objects being read would block the loop for milliseconds."""
    async with reloadable_gateway(tmp_path) as instance:
        previous_configs, resume = pause_config_reads(monkeypatch)
        instance.write({"lanes": 7} if ending == "rejected" else settings_with_classes("find"))
        instance.reloader.request_reload()
        await wait_until(lambda: bool(previous_configs))
        assert not gc.isenabled()
        if ending == "closed":
            instance.reloader.close()
        resume.set()
        await instance.finish_reading()
        assert gc.isenabled()
        assert instance.settings_version == (2 if ending == "applied" else 1)


async def test_a_reload_interrupted_by_shutdown_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with reloadable_gateway(tmp_path) as instance:
        previous_configs, _ = pause_config_reads(monkeypatch)
        instance.write(settings_with_classes("find"))
        instance.reloader.request_reload()
        await wait_until(lambda: bool(previous_configs))
        instance.reloader.close()
        await instance.finish_reading()
        assert instance.settings_version == 1


async def test_a_change_during_a_drain_is_applied_to_later_requests(tmp_path: Path) -> None:
    async with reloadable_gateway(tmp_path) as instance:
        client, later_client = await instance.gateway.client(), await instance.gateway.client()
        client.send(encode_request(Tenant="umbrella"))
        received = await instance.gateway.endpoint.requests.get()
        drain = asyncio.ensure_future(instance.gateway.client_server.drain())
        await wait_until(lambda: instance.gateway.client_server.draining)
        await instance.reload(settings_with_classes("look", tenants=[{"name": "acme"}]))
        await instance.gateway.serve_request(later_client, encode_request(Tenant="acme"))
        received.respond()
        assert (await client.read_response())[0] == 200
        await drain


@pytest.mark.parametrize("same_settings", [False, True])
async def test_the_address_of_discovery_changes_with_or_without_changed_settings(
    same_settings: bool, tmp_path: Path
) -> None:
    new_discovery = StubDiscovery()
    await new_discovery.start()
    async with reloadable_gateway(tmp_path) as instance:
        _, old_watch = await instance.gateway.discovery.watches.get()
        await instance.reload(
            INITIAL_SETTINGS if same_settings else settings_with_classes("find"),
            discovery=new_discovery.address,
        )
        _, watch = await new_discovery.watches.get()
        assert instance.settings_version == (1 if same_settings else 2)
        watch.write(
            encode_chunk(watch_event(endpoint_entry("h9", instance.gateway.endpoint.address), index=9))
        )
        await wait_until(lambda: len(instance.gateway.proxy.upstream.endpoints) == 3)
        old_watch.close()
        request_class = "look" if same_settings else "find"
        await instance.gateway.serve_request(
            await instance.gateway.client(), encode_request(request_class, "GET", Tenant="acme")
        )
    new_discovery.stop()


async def test_state_of_replaced_settings_is_dropped(tmp_path: Path) -> None:
    """State of classes and tenants that only earlier versions had would otherwise grow with each reload."""
    async with reloadable_gateway(tmp_path) as instance:
        client = await instance.gateway.client()
        for index in range(60):
            tenants = [{"name": "acme"}, {"name": f"t{index}", "allowancePerS": 5.0}]
            await instance.reload(settings_with_classes(f"k{index}", "look", tenants=tenants))
            for request_class, tenant in ((f"k{index}", f"t{index}"), ("look", "acme")):
                await instance.gateway.serve_request(
                    client, encode_request(request_class, "GET", Tenant=tenant)
                )
        balancer = instance.gateway.proxy.balancer
        classes = balancer.context.classes
        assert instance.settings_version == 61
        assert len(classes) == 2 == len(classes.by_id)
        assert balancer.demand.within_quota.keys() <= classes.by_id.keys()
        assert not instance.gateway.proxy.request_tracker.pending
        assert not balancer.lifecycle.requests
        assert classes[1].answer_count == 60


async def test_the_heap_is_trimmed_after_each_reload(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Otherwise the process would keep the memory that reading the file took, even if it was rejected."""
    trim_calls = list[int]()
    monkeypatch.setattr(reload, "trim_heap", lambda: trim_calls.append(1))
    async with reloadable_gateway(tmp_path) as instance:
        for count, new_settings in enumerate(
            (settings_with_classes("find"), settings_with_classes("find"), {"lanes": 7})
        ):
            await instance.reload(new_settings)
            assert len(trim_calls) == count + 1
        assert instance.settings_version == 2
    monkeypatch.undo()
    reload.trim_heap()
    monkeypatch.setattr("ctypes.CDLL", lambda _: object())
    reload.trim_heap()  # does nothing where the C library has no malloc_trim


async def test_a_disconnect_after_a_settings_change_is_noticed(tmp_path: Path) -> None:
    async with reloadable_gateway(tmp_path) as instance:
        client: HttpClient = await instance.gateway.client()
        client.send(encode_request(Tenant="umbrella"))
        await instance.gateway.endpoint.requests.get()
        await instance.reload(settings_with_classes("find", tenants=[]))
        client.writer.close()
        await instance.gateway.wait_for_event(ClientDisconnected)
        await wait_until(lambda: not instance.gateway.proxy.request_tracker.pending)
