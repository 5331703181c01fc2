"""The parts that all runs on loopback have: stand-ins, clients, real gateways."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lab import fleet
from lab.child import Hist
from lab.clients import DIRECT_SERVERS
from lab.gateway_messages import ReadPoolStats
from lab.messages import (
    Address,
    AwaitRequests,
    ClientResult,
    ListenForCalls,
    ListenForStatements,
    PlayRequests,
    ReadRegistryStats,
    ReadStatementStats,
    SetFleet,
    TargetResult,
)
from lab.processes import Child, Children
from lab.records import Plan, Problems, Reading

START_S = 120.0  # until a gateway is ready, at most
WATCH_S = 20.0  # until it watches
POLL_S = 0.005
GATEWAY_SOCKETS = 1024
REQUESTS_MARGIN = 100  # of request ids, beyond what a rate gives on average
WRONG_ANSWERS = ("wrong body", "400", "404")

ReportProgress = Callable[[str], None]
FinishRequests = Callable[[], Coroutine[Any, Any, dict[str, TargetResult]]]


@dataclass
class RealGateway:
    """A gateway process that is ready."""

    child: Child
    address: Address
    ready_s: float
    start_cpu_s: float
    ready_bytes: int
    settings_bytes: int


class Rig:
    """Starts and asks the processes of a run."""

    def __init__(self, plan: Plan, children: Children, out: Path, report_progress: ReportProgress) -> None:
        self.plan = plan
        self.children = children
        self.out = out
        self.report_progress = report_progress
        self.problems = Problems()
        self.reals: list[RealGateway] = []
        self.simulated: list[Child] = []  # processes of many gateways each
        self.simulated_base = 0  # bytes that they hold without a gateway, the settings read
        self.addresses: dict[str, str] = {}  # of discovery
        self.ports: dict[str, int] = {}  # of the statement servers
        self.list_index = 0
        self.list_bytes = 0
        self._next_request = 2  # even, so that each pair has one service time

    async def open(self) -> None:
        """Start the stand-ins and the clients."""
        self.registry, self.statements, self.clients = [
            await self.children.start(name, f"lab.{name}") for name in ("registry", "statements", "clients")
        ]
        self.addresses = await self.registry.ask(ListenForCalls())
        self.ports = await self.statements.ask(ListenForStatements(seed=self.plan.seed))

    async def set_fleet(self, endpoints: int) -> None:
        """Let discovery list another fleet."""
        state = await self.registry.ask(SetFleet(endpoints=endpoints, port=self.ports["gateway"]))
        self.list_index = state.index
        self.list_bytes = state.bytes

    def write_config(
        self, name: str, servers: int, routes: int, tenants: int, index: int = 0, gateways: int = 1
    ) -> tuple[Path, int]:
        """Write a gateway's configuration file; returns how long its settings are too, in bytes."""
        settings = fleet.settings(routes, tenants, gateways, index)
        known = fleet.entries(servers, self.ports["gateway"])
        raw = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": self.addresses["real"],
            "seed": f"{self.plan.seed + index:x}",
            "limits": {"sockets": GATEWAY_SOCKETS},
            "known": {"index": self.list_index, "snapshot": True, "endpoints": known},
            "settings": settings,
        }
        path = self.out / "logs" / f"{name}.json"
        path.write_text(json.dumps(raw), encoding="utf-8")
        return path, len(json.dumps(settings))

    async def start_gateway(
        self, name: str, servers: int, routes: int, tenants: int, index: int = 0, gateways: int = 1
    ) -> RealGateway:
        """Start a real gateway; returns once it says that it is ready."""
        path, settings_bytes = self.write_config(name, servers, routes, tenants, index, gateways)
        host = f"127.0.1.{index + 1}"
        with socket.create_server((host, 0)) as free:
            port = free.getsockname()[1]
        began = time.monotonic()
        child = await self.children.start(
            name, "load_balancer", ROUTER_CONFIG=str(path.resolve()), ROUTER_LISTEN=f"{host}:{port}"
        )
        async with asyncio.timeout(START_S):
            while not await is_ready(host, port):
                child.check()
                await asyncio.sleep(POLL_S)
        ready_s = time.monotonic() - began
        return RealGateway(child, (host, port), ready_s, child.cpu_s(), child.resident(), settings_bytes)

    async def start_reals(self) -> None:
        """Start all real gateways of the plan; returns once they watch."""
        plan = self.plan
        self.report_progress(f"{plan.real} real gateways")
        self.list_index = (await self.registry.ask(ReadRegistryStats())).index
        starting = (
            self.start_gateway(f"real-{n}", plan.servers, plan.routes, plan.tenants, n, plan.real)
            for n in range(plan.real)
        )
        self.reals = list(await asyncio.gather(*starting))
        await self.await_watches("real", plan.real)

    async def await_watches(self, gateway_kind: str, count: int) -> None:
        """Wait until so many gateways of a kind watch."""
        try:
            async with asyncio.timeout(WATCH_S):
                while (await self.registry.ask(ReadRegistryStats())).counters[gateway_kind].watches < count:
                    for child in self.children.running:
                        child.check()
                    await asyncio.sleep(4 * POLL_S)
        except TimeoutError:
            self.problems.schedule.append(
                f"of {count} {gateway_kind} gateways not all watch after {WATCH_S:g} s"
            )

    async def play_clients(
        self,
        gateways: list[RealGateway],
        rate: float,
        seconds: float,
        routes: int,
        tenants: int,
        warm: float,
    ) -> FinishRequests:
        """Start clients; straight requests go along where they are to be compared.

        Returns:
            What waits until all requests have ended, and returns what came of them.
        """
        straight = min(DIRECT_SERVERS, self.plan.servers) if warm else 0
        await self.clients.ask(
            PlayRequests(
                seed=self.plan.seed,
                rate=rate,
                seconds=seconds,
                routes=routes,
                tenants=tenants,
                first=self._next_request,
                warm=warm,
                gateways=[gateway.address for gateway in gateways],
                direct=[(fleet.host(n), self.ports["direct"]) for n in range(straight)],
            )
        )
        self._next_request += 4 * int(rate * seconds + REQUESTS_MARGIN)
        return self._finish_clients

    async def _finish_clients(self) -> dict[str, TargetResult]:
        result: ClientResult = await self.clients.ask(AwaitRequests())
        self.problems.note_late("clients", result.late)
        for name, target in result.targets.items():
            for what in WRONG_ANSWERS:
                if target.counts.get(what):
                    self.problems.broken.append(f"{target.counts[what]} requests ({name}) ended as {what}")
        return result.targets

    async def read(self) -> Reading:
        """The counters of now; how late the stand-ins are is noted with them."""
        registry, statements = await asyncio.gather(
            self.registry.ask(ReadRegistryStats()), self.statements.ask(ReadStatementStats())
        )
        simulated = await asyncio.gather(*(child.ask(ReadPoolStats()) for child in self.simulated))
        late = self.problems.late
        late["registry"], late["statements"] = Hist(registry.late), Hist(statements.late)
        if simulated:
            late["hollow"] = Hist()
            for stats in simulated:
                self.problems.note_late("hollow", stats.late)
        cpu_s = {child.name: child.cpu_s() for child in self.children.running}
        return Reading(time.monotonic(), registry.counters, statements.counters, list(simulated), cpu_s)


async def is_ready(host: str, port: int) -> bool:
    """Whether a gateway says that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
        return (await reader.readline()).split()[1:2] == [b"200"]
    except OSError:
        return False
    finally:
        writer.close()
