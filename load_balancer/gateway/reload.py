"""A replaced configuration, taken over under way: read beside the traffic, put in force at once."""

from __future__ import annotations

import asyncio
import ctypes
import gc
import os
from collections.abc import Callable, Generator, Mapping
from typing import TypeVar

from load_balancer.config.file import Config, ConfigError, read_steps
from load_balancer.decisions.settings_version import next_version
from load_balancer.gateway.client_server import ClientServer, lookup_steps
from load_balancer.gateway.event_log import log_event
from load_balancer.gateway.proxy import Proxy

T = TypeVar("T")

# What a process cannot change under way: its place in the network and in the fleet, what it has divided among
# its connections, and by which places and calls the list of hosts is read.
FIXED: dict[str, Callable[[Config], object]] = {
    "name": lambda config: config.name,
    "listen": lambda config: config.listen,
    "limits.sockets": lambda config: config.sockets,
    "peer_listen": lambda config: config.peer_listen,
    "settings.index": lambda config: config.settings.gateway_index,
    "settings.zone": lambda config: config.settings.zone,
    "settings.zones": lambda config: config.names.zones,
    "settings.shapes": lambda config: config.names.kinds,
    "settings.membershipMode": lambda config: config.settings.endpoints_are_pushed,
    "settings.stage": lambda config: (config.settings.tier, config.settings.tiers),
}


class ConfigReloader:
    """Reads the file when it is told to, once at a time, and hands over what has changed.

    Between two steps the loop does other work. Told again while it reads, it reads again afterwards, so that
    what stands in the file last is what is in force last.
    """

    def __init__(
        self,
        config: Config,
        proxy: Proxy,
        downstream: ClientServer,
        environ: Mapping[str, str] = os.environ,
    ) -> None:
        self.config, self.proxy, self.downstream, self.environ = config, proxy, downstream, environ
        self.told = False  # since the reading under way began
        self.reading: asyncio.Task[None] | None = None

    def tell(self) -> None:
        """The file has been replaced."""
        self.told = True
        if self.reading is None:
            self.reading = self.proxy.loop.create_task(self.read())

    def close(self) -> None:
        """What is being read comes too late."""
        if self.reading is not None:
            self.reading.cancel()

    async def read(self) -> None:
        try:
            while self.told:
                self.told = False
                gc.disable()  # a full collection looked at all that is read here, in one step of 7 ms
                try:
                    await self.take_over()
                except ConfigError as error:
                    log_event("config.rejected", error=error, settings_version=self.proxy.generation.number)
                finally:
                    gc.enable()  # what is left over is garbage by its reference count
                trim_heap()
        finally:
            self.reading = None

    async def take_over(self) -> None:
        before = self.config
        config = await run_cooperatively(read_steps(self.environ, before))
        for path, of in FIXED.items():
            if of(config) != of(before):
                raise ConfigError(
                    f"{path} differs: expected {of(before)}, which only a new process can change"
                )
        number = self.proxy.generation.number
        if config.content == before.content:
            log_event("config.unchanged", settings_version=number, settings_digest=config.content[:12])
        else:
            generation = await run_cooperatively(next_version(self.proxy.generation, config.settings))
            lookup = await run_cooperatively(lookup_steps(config, self.downstream.lookup))
            # In one turn of the loop: a request is taken by the names and the settings of one generation.
            self.proxy.take_over(config, generation)
            self.downstream.lookup = lookup
            log_event(
                "config.applied", settings_version=generation.number, settings_digest=config.content[:12]
            )
        self.config = config
        self.proxy.config = config
        self.proxy.discovery.change_address(config.discovery)


def trim_heap() -> None:
    """Return freed memory to the system, where the C library can.

    Guards against a process that keeps for good what one reading took for some milliseconds.
    """
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


async def run_cooperatively(steps: Generator[None, None, T]) -> T:
    """Run steps with a turn of the loop after each."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
        await asyncio.sleep(0)
