"""Reloading of the configuration, which is read in small steps and applied in one iteration of the loop."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from load_balancer.config.errors import ConfigError
from load_balancer.config.file import load_config_steps
from load_balancer.config.gateway_config import Config
from load_balancer.config.steps import Steps
from load_balancer.decisions.settings_version import SettingsVersion, next_version
from load_balancer.gateway.client_server import ClientServer
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.request_parsing import lookup_steps
from load_balancer.gateway.reverse_proxy import ReverseProxy

Result = TypeVar("Result")

LOGGED_DIGEST_CHARACTERS = 12


@dataclass(frozen=True, slots=True)
class RestartOnlySetting:
    """A setting that only a new process can change.

    Attributes:
        path: Its JSON path in the file.
        value_in: Returns its value in a configuration.
    """

    path: str
    value_in: Callable[[Config], object]


# A process cannot change its position in the network and among the gateways, how its sockets are divided
# among clients and endpoints, or the names by which the endpoint list is read.
RESTART_ONLY_SETTINGS = (
    RestartOnlySetting("name", lambda config: config.name),
    RestartOnlySetting("listen", lambda config: config.listen),
    RestartOnlySetting("limits.sockets", lambda config: config.max_sockets),
    RestartOnlySetting("peer_listen", lambda config: config.peer_listen),
    RestartOnlySetting("settings.index", lambda config: config.settings.gateway_index),
    RestartOnlySetting("settings.zone", lambda config: config.settings.zone),
    RestartOnlySetting("settings.zones", lambda config: config.names.zones),
    RestartOnlySetting("settings.shapes", lambda config: config.names.endpoint_kinds),
    RestartOnlySetting("settings.membershipMode", lambda config: config.settings.endpoints_are_pushed),
    RestartOnlySetting("settings.stage", lambda config: (config.settings.tier, config.settings.tiers)),
)


def restart_only_changes(before: Config, after: Config) -> list[RestartOnlySetting]:
    """Return the settings that differ between two configurations and that only a new process can change."""
    return [
        setting for setting in RESTART_ONLY_SETTINGS if setting.value_in(before) != setting.value_in(after)
    ]


class ConfigReloader:
    """A reader of the configuration file that applies the changes, one reload at a time.

    The loop does other work between two steps of a reload. A reload that is requested during another one is
    done afterwards, so that the last content of the file is applied in the end.

    Args:
        config: The configuration in force.
        proxy: Where settings and addresses are applied.
        client_server: Where the names of classes and tenants are looked up.
        environ: The environment variables that name the file.
    """

    def __init__(
        self,
        config: Config,
        proxy: ReverseProxy,
        client_server: ClientServer,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        self._config = config
        self._proxy = proxy
        self._client_server = client_server
        self._environ = environ
        self._is_requested = False  # whether a reload has been requested since the last one began
        self._task: asyncio.Task[None] | None = None

    @property
    def is_reading(self) -> bool:
        """Whether a reload is in progress."""
        return self._task is not None

    def request_reload(self) -> None:
        """Request that the file be read again."""
        self._is_requested = True
        if self._task is None:
            self._task = self._proxy.loop.create_task(self._reload_while_requested())

    def close(self) -> None:
        """Cancel a reload in progress; nothing of it is applied."""
        if self._task is not None:
            self._task.cancel()

    async def _reload_while_requested(self) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                await self._reload()
        finally:
            self._task = None

    async def _reload(self) -> None:
        gc.disable()  # a full collection of the objects being read would block the loop for milliseconds
        try:
            await self._read_and_apply()
        except ConfigError as error:
            log_event("config.rejected", error=error, settings_version=self._proxy.settings_version.number)
        finally:
            gc.enable()  # no garbage is left, as the reading creates no reference cycles
        trim_heap()

    async def _read_and_apply(self) -> None:
        before = self._config
        config = await run_cooperatively(load_config_steps(self._environ, before))
        changes = restart_only_changes(before, config)
        if changes:
            expected = changes[0].value_in(before)
            raise ConfigError(
                f"{changes[0].path} differs from the value in force, {expected}: only a restart can change it"
            )
        version = self._proxy.settings_version
        digest = config.settings_digest[:LOGGED_DIGEST_CHARACTERS]
        if config.settings_digest == before.settings_digest:
            log_event("config.unchanged", settings_version=version.number, settings_digest=digest)
        else:
            version = await self._apply_settings(config)
            log_event("config.applied", settings_version=version.number, settings_digest=digest)
        self._config = config
        self._proxy.config = config
        self._proxy.buffers.set_memory_limit(config.memory_limit_mb)
        self._proxy.discovery.change_address(config.discovery)

    async def _apply_settings(self, config: Config) -> SettingsVersion:
        version = await run_cooperatively(next_version(self._proxy.settings_version, config.settings))
        lookup = await run_cooperatively(lookup_steps(config, self._client_server.lookup))
        # Both in one iteration of the loop, so that a request sees names and settings of one version.
        self._proxy.apply_settings(config, version)
        self._client_server.lookup = lookup
        return version


def trim_heap() -> None:
    """Return freed memory to the system, where the C library can.

    Otherwise the process would keep the memory that a reload uses temporarily.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


async def run_cooperatively(steps: Steps[Result]) -> Result:
    """Run steps, with an iteration of the event loop after each, and return their result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result
        await asyncio.sleep(0)
