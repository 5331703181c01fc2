"""A replaced configuration is taken over under way: in one order, and no request under another's terms."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
from collections.abc import AsyncIterator, Callable, Generator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from load_balancer.config import file as configs
from load_balancer.config.file import Config, read_steps
from load_balancer.decisions.events import ClientDisconnected, RequestArrived
from load_balancer.gateway import reload
from load_balancer.gateway.reload import ConfigReloader
from tests.sockets import (
    Client,
    Gateway,
    Registry,
    ask,
    chunk,
    configuration,
    entry,
    gateway,
    lane,
    news,
    run,
    settings,
    until,
)

TENANTS = [{"name": "acme"}, {"name": "umbrella"}]
FIRST = {**settings(maxAttempts=1), "tenants": TENANTS}


@dataclass
class Reloaded:
    gateway: Gateway
    reloader: ConfigReloader
    path: Path
    raw: dict[str, Any]

    def write(self, settings: object = None, **changed: Any) -> None:
        raw = {**self.raw, **({"settings": settings} if settings is not None else {}), **changed}
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(raw))
        new.replace(self.path)

    async def over(self) -> None:
        """Until nothing is read any more."""
        await until(lambda: self.reloader.reading is None)

    async def take_over(self, settings: object = None, **changed: Any) -> None:
        self.write(settings, **changed)
        self.reloader.tell()
        await self.over()

    @property
    def number(self) -> int:
        return self.gateway.proxy.generation.number


@asynccontextmanager
async def reloaded(tmp_path: Path) -> AsyncIterator[Reloaded]:
    """A gateway whose configuration stands in a file."""
    async with gateway(hosts=2, settings=FIRST) as it:
        raw = configuration({"h0": it.host.address}, it.registry.address, settings=FIRST)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw))
        environ: Mapping[str, str] = {"ROUTER_CONFIG": str(path)}
        loaded = configs.load_config(environ)
        loaded.known.clear()
        reloader = ConfigReloader(loaded, it.proxy, it.downstream, environ)
        try:
            yield Reloaded(it, reloader, path, raw)
        finally:
            reloader.close()


def said(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    told: list[Any] = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    return [one for one in told if one["event"].startswith("config.")]


def others(*classes: str, **changed: Any) -> dict[str, Any]:
    """Settings with classes of those names, safe ones but for `buy`."""
    lanes = [lane(name, "single_shot" if name == "buy" else "free") for name in classes]
    return {**FIRST, "lanes": lanes, **changed}


def test_a_change_is_in_force_for_the_next_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            client = await it.gateway.client()
            await it.gateway.served(client, ask(Tenant="acme"))
            await it.take_over(others("buy", "find", tenants=[{"name": "wayne"}]))
            assert it.number == 2
            assert (await client.ask(ask(Tenant="acme")))[0] == 404  # no such class any more
            assert (await client.ask(ask("find", "GET", Tenant="acme")))[0] == 400
            await it.gateway.served(client, ask("find", "GET", Tenant="wayne"))
            arrived = await it.gateway.event(RequestArrived, lambda event: event.request_id == "2")
            assert (arrived.request_class, arrived.tenant) == (1, 0)

    run(test())


def test_the_same_content_changes_nothing_and_says_so(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            before = it.gateway.downstream.lookup
            await it.take_over()
            assert it.number == 1 and it.gateway.downstream.lookup is before
            (one,) = said(caplog)
            assert (one["event"], one["generation"]) == ("config.same", 1)

    caplog.set_level(logging.INFO)
    run(test())


def lanes(**changed: Any) -> dict[str, Any]:
    return {**FIRST, "lanes": [{**lane("look", "free"), **changed}]}


BAD: list[tuple[str, Callable[[str], str]]] = [
    ("ends in the middle", lambda text: text[:-9]),
    (
        "settings.lanes[0].windowUs: expected a finite number, got NaN",
        lambda text: text.replace("60000000", "NaN", 1),
    ),
    ("settings.lanes[0].aimUs", lambda text: changed(text, lanes(aimUs="x"))),
    ("settings.lanes[0].giveUpUs", lambda text: changed(text, lanes(giveUpUs=-1))),
    ("settings.tenants[1].name", lambda text: changed(text, {**FIRST, "tenants": TENANTS[:1] * 2})),
    ("settings.zones differs", lambda text: changed(text, {**FIRST, "zones": ["b", "a"]})),
    ("limits.sockets differs", lambda text: text.replace("1024", "512")),
    ("too large", lambda text: text + " " * 2_000),
]


def changed(text: str, settings: object) -> str:
    return json.dumps({**json.loads(text), "settings": settings})


@pytest.mark.parametrize(("named", "spoil"), BAD)
def test_a_file_that_cannot_be_used_is_one_line_and_changes_nothing(
    named: str,
    spoil: Callable[[str], str],
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            monkeypatch.setattr(configs, "CONFIG_LIMIT", 2_000)
            it.path.write_text(spoil(it.path.read_text()))
            it.reloader.tell()
            await it.over()
            assert it.number == 1
            (one,) = said(caplog)
            assert one["event"] == "config.kept" and one["generation"] == 1
            error = str(one["error"])
            assert named in error and len(error.splitlines()) == 1
            await it.gateway.served(await it.gateway.client(), ask(Tenant="umbrella"))

    caplog.set_level(logging.INFO)
    run(test())


def test_a_request_that_is_out_ends_under_its_own_generation(tmp_path: Path) -> None:
    """Its class has gone to another place, its tenant is gone; where it stood is one that may be repeated."""

    async def test() -> None:
        async with reloaded(tmp_path) as it:
            client, other = await it.gateway.client(), await it.gateway.client()
            client.send(ask("buy", "POST", Tenant="umbrella"))
            taken = await it.gateway.host.taken.get()
            other.send(ask(Tenant="umbrella"))
            served = await it.gateway.host.taken.get()
            changed = others("find", "pay", "look", "buy", tenants=[{"name": "acme"}])
            changed["caps"]["maxAttempts"] = 4
            await it.take_over(changed)
            taken.writer.transport.abort()  # it may have run, and must not run twice
            assert (await client.answer())[0] == 502
            served.answer()
            assert (await other.answer())[0] == 200
            assert (await client.ask(ask("buy", "POST", Tenant="umbrella")))[0] == 400
            assert it.gateway.host.taken.empty()

    run(test())


def test_a_request_that_is_out_keeps_its_further_attempts(tmp_path: Path) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            await it.take_over({**settings(maxAttempts=2), "tenants": TENANTS})
            client = await it.gateway.client()
            client.send(ask(Tenant="acme"))
            taken = await it.gateway.host.taken.get()
            await it.take_over({**settings(maxAttempts=1), "tenants": TENANTS})
            taken.answer(503, Not_Started="1")
            (await it.gateway.host.taken.get()).answer()
            assert (await client.answer())[0] == 200

    run(test())


def test_a_request_ahead_of_its_turn_is_taken_by_the_generation_of_its_turn(tmp_path: Path) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            client = await it.gateway.client()
            client.send(ask(Tenant="acme") + ask(Tenant="acme") + ask("find", "GET", Tenant="acme"))
            first = await it.gateway.host.taken.get()
            await it.take_over(others("find"))
            first.answer()
            assert (await client.answer())[0] == 200
            assert (await client.answer())[0] == 404  # no `look` any more: answered, not lost
            (await it.gateway.host.taken.get()).answer()
            assert (await client.answer())[0] == 200

    run(test())


def hold_reading(monkeypatch: pytest.MonkeyPatch) -> tuple[list[Config | None], asyncio.Event]:
    """Readings go on only once the event is set; returns what each began with."""
    began: list[Config | None] = []
    free = asyncio.Event()

    def held(environ: Mapping[str, str], before: Config | None = None) -> Generator[None, None, Config]:
        began.append(before)
        steps = read_steps(environ, before)
        next(steps)  # the file is open, and as it was
        while not free.is_set():
            yield
        return (yield from steps)

    monkeypatch.setattr(reload, "read_steps", held)
    return began, free


def test_requests_are_served_while_it_is_read_and_what_stands_last_is_in_force(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            began, free = hold_reading(monkeypatch)
            client = await it.gateway.client()
            it.write(others("look", "find"))
            it.reloader.tell()
            await until(lambda: len(began) == 1)
            await it.gateway.served(client, ask(Tenant="acme"))
            for name in ("second", "third"):  # told twice more: the second is never read
                it.write(others("look", name))
                it.reloader.tell()
            free.set()
            await it.over()
            assert len(began) == 2 and it.number == 3
            assert list(it.gateway.downstream.lookup.classes) == [b"look", b"third"]

    run(test())


@pytest.mark.parametrize("end", ["taken over", "kept", "closed"])
def test_nothing_is_collected_while_it_is_read(
    end: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Full collections of 23,000 pieces fell into single steps."""

    async def test() -> None:
        async with reloaded(tmp_path) as it:
            began, free = hold_reading(monkeypatch)
            it.write({"lanes": 7} if end == "kept" else others("find"))
            it.reloader.tell()
            await until(lambda: bool(began))
            assert not gc.isenabled()
            if end == "closed":
                it.reloader.close()
            free.set()
            await it.over()
            assert gc.isenabled() and it.number == (2 if end == "taken over" else 1)

    run(test())


def test_a_reading_that_is_under_way_at_the_end_changes_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            began, _ = hold_reading(monkeypatch)
            it.write(others("find"))
            it.reloader.tell()
            await until(lambda: bool(began))
            it.reloader.close()
            await it.over()
            assert it.number == 1

    run(test())


def test_a_change_during_a_drain_holds_for_what_still_comes(tmp_path: Path) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            client, late = await it.gateway.client(), await it.gateway.client()
            client.send(ask(Tenant="umbrella"))
            taken = await it.gateway.host.taken.get()
            drain = asyncio.ensure_future(it.gateway.downstream.drain())
            await until(lambda: it.gateway.downstream.draining)
            await it.take_over(others("look", tenants=[{"name": "acme"}]))
            await it.gateway.served(late, ask(Tenant="acme"))
            taken.answer()
            assert (await client.answer())[0] == 200
            await drain

    run(test())


@pytest.mark.parametrize("same", [False, True])
def test_discovery_moves_with_the_change_and_without_one(same: bool, tmp_path: Path) -> None:
    async def test() -> None:
        elsewhere = Registry()
        await elsewhere.start()
        async with reloaded(tmp_path) as it:
            _, old = await it.gateway.registry.watches.get()
            await it.take_over(FIRST if same else others("find"), discovery=elsewhere.address)
            _, watch = await elsewhere.watches.get()
            assert it.number == (1 if same else 2)
            watch.write(chunk(news(entry("h9", it.gateway.host.address), index=9)))
            await until(lambda: len(it.gateway.proxy.upstream.hosts) == 3)
            old.close()
            klass = "look" if same else "find"
            await it.gateway.served(await it.gateway.client(), ask(klass, "GET", Tenant="acme"))
        elsewhere.stop()

    run(test())


def test_many_changes_leave_nothing_behind(tmp_path: Path) -> None:
    """With a request under each generation: what only an ended one had goes with it."""

    async def test() -> None:
        async with reloaded(tmp_path) as it:
            client = await it.gateway.client()
            for turn in range(60):
                tenants = [{"name": "acme"}, {"name": f"t{turn}", "allowancePerS": 5.0}]
                await it.take_over(others(f"k{turn}", "look", tenants=tenants))
                for klass, tenant in ((f"k{turn}", f"t{turn}"), ("look", "acme")):
                    await it.gateway.served(client, ask(klass, "GET", Tenant=tenant))
            balancer = it.gateway.proxy.balancer
            classes = balancer.context.classes
            assert it.number == 61 and len(classes) == 2 == len(classes.by_id)
            assert balancer.demand.within_quota.keys() <= classes.by_id.keys()
            assert not it.gateway.proxy.requests and not balancer.lifecycle.requests
            assert classes[1].answers == 60

    run(test())


def test_what_a_reading_took_is_given_back(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A process kept 8 MB more from its first change on; also where the file could not be used."""
    given = list[int]()
    monkeypatch.setattr(reload, "trim_heap", lambda: given.append(1))

    async def test() -> None:
        async with reloaded(tmp_path) as it:
            for count, change in enumerate((others("find"), others("find"), {"lanes": 7})):
                await it.take_over(change)
                assert len(given) == count + 1
            assert it.number == 2

    run(test())
    monkeypatch.undo()
    reload.trim_heap()
    monkeypatch.setattr("ctypes.CDLL", lambda _: object())
    reload.trim_heap()  # where the C library has no such call


def test_a_client_that_leaves_after_the_change_is_heard(tmp_path: Path) -> None:
    async def test() -> None:
        async with reloaded(tmp_path) as it:
            client: Client = await it.gateway.client()
            client.send(ask(Tenant="umbrella"))
            await it.gateway.host.taken.get()
            await it.take_over(others("find", tenants=[]))
            client.writer.close()
            await it.gateway.event(ClientDisconnected)
            await until(lambda: not it.gateway.proxy.requests)

    run(test())
