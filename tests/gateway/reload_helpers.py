"""Gateways whose configuration file is read again while they run."""

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


INITIAL_SETTINGS = {**settings(maxAttempts=1), "tenants": TENANTS}


@dataclass
class ReloadableGateway:
    """A running gateway, and the file that its configuration is read from."""

    gateway: RunningGateway
    reloader: ConfigReloader
    path: Path
    raw_config: dict[str, Any]

    def write(self, settings: object = None, **overrides: Any) -> None:
        document = {
            **self.raw_config,
            **({"settings": settings} if settings is not None else {}),
            **overrides,
        }
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(document))
        new_path.replace(self.path)

    async def finish_reading(self) -> None:
        await wait_until(lambda: not self.reloader.is_reading)

    async def reload(self, settings: object = None, **overrides: Any) -> None:
        self.write(settings, **overrides)
        self.reloader.request_reload()
        await self.finish_reading()

    @property
    def settings_version(self) -> int:
        return self.gateway.proxy.settings_version.number


@asynccontextmanager
async def reloadable_gateway(tmp_path: Path) -> AsyncIterator[ReloadableGateway]:
    """Run a gateway whose configuration is in a file, with two endpoints at one stub."""
    async with running_gateway(endpoint_count=2, settings=INITIAL_SETTINGS) as gateway:
        raw_config = configuration(
            {"h0": gateway.endpoint.address}, gateway.discovery.address, settings=INITIAL_SETTINGS
        )
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw_config))
        environ: Mapping[str, str] = {"ROUTER_CONFIG": str(path)}
        loaded = configs.load_config(environ)
        loaded.cached_endpoint_list.clear()
        reloader = ConfigReloader(loaded, gateway.proxy, gateway.client_server, environ)
        try:
            yield ReloadableGateway(gateway, reloader, path, raw_config)
        finally:
            reloader.close()


def logged_config_events(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    """Return the `config.*` events that were logged."""
    events: list[Any] = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    return [event for event in events if event["event"].startswith("config.")]


def settings_with_classes(*names: str, **overrides: Any) -> dict[str, Any]:
    """Return settings with classes of these names, all idempotent except `buy`."""
    class_settings = [
        request_class_settings(name, "single_shot" if name == "buy" else "free") for name in names
    ]
    return {**INITIAL_SETTINGS, "lanes": class_settings, **overrides}


def pause_config_reads(monkeypatch: pytest.MonkeyPatch) -> tuple[list[Config | None], asyncio.Event]:
    """Pause each read of the configuration until the returned event is set.

    Also returns a list, to which each read adds the configuration in force when it begins.
    """
    previous_configs: list[Config | None] = []
    resume = asyncio.Event()

    def paused_read_steps(
        environ: Mapping[str, str], previous: Config | None = None
    ) -> Generator[None, None, Config]:
        previous_configs.append(previous)
        steps = load_config_steps(environ, previous)
        next(steps)  # opens the file, so that a later replacement is not read
        while not resume.is_set():
            yield
        return (yield from steps)

    monkeypatch.setattr(reload, "load_config_steps", paused_read_steps)
    return previous_configs, resume
