"""Gateways whose configuration is read again from a file."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Generator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from load_balancer.config import file as configs
from load_balancer.config.file import load_config_steps
from load_balancer.config.gateway_config import Config
from load_balancer.gateway import reload
from load_balancer.gateway.reload import ConfigReloader
from tests.gateway.configurations import configuration, request_class_settings, settings
from tests.gateway.event_loop import wait_until
from tests.gateway.running_gateway import RunningGateway, running_gateway

TENANTS = [{"name": "acme"}, {"name": "umbrella"}]


FIRST = {**settings(maxAttempts=1), "tenants": TENANTS}


@dataclass
class ReloadableGateway:
    """A running gateway, and the file that its configuration is read from."""

    gateway: RunningGateway
    reloader: ConfigReloader
    path: Path
    raw: dict[str, Any]

    def write(self, settings: object = None, **changed: Any) -> None:
        raw = {**self.raw, **({"settings": settings} if settings is not None else {}), **changed}
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(raw))
        new.replace(self.path)

    async def finish_reading(self) -> None:
        await wait_until(lambda: not self.reloader.is_reading)

    async def reload(self, settings: object = None, **changed: Any) -> None:
        self.write(settings, **changed)
        self.reloader.request_reload()
        await self.finish_reading()

    @property
    def settings_version(self) -> int:
        return self.gateway.proxy.settings_version.number


@asynccontextmanager
async def reloadable(tmp_path: Path) -> AsyncIterator[ReloadableGateway]:
    """A gateway whose configuration stands in a file."""
    async with running_gateway(endpoints=2, settings=FIRST) as it:
        raw = configuration({"h0": it.endpoint.address}, it.discovery.address, settings=FIRST)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw))
        environ: Mapping[str, str] = {"ROUTER_CONFIG": str(path)}
        loaded = configs.load_config(environ)
        loaded.cached_endpoint_list.clear()
        reloader = ConfigReloader(loaded, it.proxy, it.client_server, environ)
        try:
            yield ReloadableGateway(it, reloader, path, raw)
        finally:
            reloader.close()


def logged(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    events: list[Any] = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    return [event for event in events if event["event"].startswith("config.")]


def with_classes(*classes: str, **changed: Any) -> dict[str, Any]:
    """Settings with classes of those names, idempotent ones but for `buy`."""
    lanes = [request_class_settings(name, "single_shot" if name == "buy" else "free") for name in classes]
    return {**FIRST, "lanes": lanes, **changed}


def hold_reading(monkeypatch: pytest.MonkeyPatch) -> tuple[list[Config | None], asyncio.Event]:
    """Readings go on only once the event is set; returns what each began with."""
    began: list[Config | None] = []
    free = asyncio.Event()

    def held(environ: Mapping[str, str], before: Config | None = None) -> Generator[None, None, Config]:
        began.append(before)
        steps = load_config_steps(environ, before)
        next(steps)  # the file is open, and as it was
        while not free.is_set():
            yield
        return (yield from steps)

    monkeypatch.setattr(reload, "load_config_steps", held)
    return began, free
