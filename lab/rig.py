"""The processes that all runs on loopback have in common: stand-ins, clients and real gateways."""

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
from lab.child import Histogram
from lab.clients import MAX_DIRECT_ENDPOINTS
from lab.gateway_messages import ReadPoolStats
from lab.messages import (
    Address,
    AwaitRequests,
    ClientResult,
    PlayRequests,
    ReadEndpointStats,
    ReadRegistryStats,
    SetFleet,
    StartDiscovery,
    StartEndpoints,
    TargetResult,
)
from lab.processes import Child, Children
from lab.records import Plan, Problems, Reading

START_TIMEOUT_S = 120.0  # from a gateway's start until it is ready
WATCH_TIMEOUT_S = 20.0  # until all gateways have a watch at discovery
POLL_S = 0.005  # between two checks whether a gateway is ready
GATEWAY_SOCKETS = 1024  # limit on a gateway's sockets
EXTRA_REQUEST_IDS = 100  # margin, since random arrivals may exceed the mean rate
WRONG_ANSWERS = ("wrong body", "400", "404")

ReportProgress = Callable[[str], None]
FinishRequests = Callable[[], Coroutine[Any, Any, dict[str, TargetResult]]]


@dataclass
class RealGateway:
    """A gateway process that is ready.

    Attributes:
        child: The process.
        address: The address on which it listens.
        ready_s: Seconds from its start until it was ready.
        start_cpu_s: Processor seconds until it was ready.
        resident_at_ready_bytes: Its resident memory when it was ready.
        settings_bytes: The length of its encoded settings.
    """

    child: Child
    address: Address
    ready_s: float
    start_cpu_s: float
    resident_at_ready_bytes: int
    settings_bytes: int


class Rig:
    """Starts the processes of a run and sends them commands."""

    def __init__(self, plan: Plan, children: Children, out: Path, report_progress: ReportProgress) -> None:
        self.plan = plan
        self.children = children
        self.out = out
        self.report_progress = report_progress
        self.problems = Problems()
        self.real_gateways: list[RealGateway] = []
        self.simulated_processes: list[Child] = []  # each holds many simulated gateways
        # Resident memory of these processes with their settings read, before the first gateway is started.
        self.simulated_base_bytes = 0
        self.addresses: dict[str, str] = {}  # discovery's address for each kind of gateway
        self.ports: dict[str, int] = {}  # the endpoints' port for each target
        self.list_index = 0
        self.list_bytes = 0
        # Always even: a request through a gateway has an even id, its direct counterpart the next odd one.
        # The stand-in for the endpoints gives such a pair the same service time.
        self._next_request_id = 2

    async def open(self) -> None:
        """Start the stand-ins and the clients."""
        self.registry, self.statements, self.clients = [
            await self.children.start(name, f"lab.{name}") for name in ("registry", "statements", "clients")
        ]
        self.addresses = await self.registry.execute(StartDiscovery())
        self.ports = await self.statements.execute(StartEndpoints(seed=self.plan.seed))

    async def set_fleet(self, endpoints: int) -> None:
        """Replace the fleet that discovery lists."""
        state = await self.registry.execute(SetFleet(endpoints=endpoints, port=self.ports["gateway"]))
        self.list_index = state.index
        self.list_bytes = state.bytes

    def write_config(
        self, name: str, servers: int, routes: int, tenants: int, index: int = 0, gateways: int = 1
    ) -> tuple[Path, int]:
        """Write a gateway's configuration file; return its path and the length of its settings in bytes."""
        settings = fleet.settings(routes, tenants, gateways, index)
        entries = fleet.entries(servers, self.ports["gateway"])
        config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": self.addresses["real"],
            "seed": f"{self.plan.seed + index:x}",
            "limits": {"sockets": GATEWAY_SOCKETS},
            "known": {"index": self.list_index, "snapshot": True, "endpoints": entries},
            "settings": settings,
        }
        path = self.out / "logs" / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        return path, len(json.dumps(settings))

    async def start_gateway(
        self, name: str, servers: int, routes: int, tenants: int, index: int = 0, gateways: int = 1
    ) -> RealGateway:
        """Start a real gateway and wait until it is ready.

        Raises:
            ChildError: The gateway has ended.
            TimeoutError: The gateway is not ready in time.
        """
        path, settings_bytes = self.write_config(name, servers, routes, tenants, index, gateways)
        host = f"127.0.1.{index + 1}"
        with socket.create_server((host, 0)) as listener:
            port = listener.getsockname()[1]
        started_s = time.monotonic()
        child = await self.children.start(
            name, "load_balancer", ROUTER_CONFIG=str(path.resolve()), ROUTER_LISTEN=f"{host}:{port}"
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await is_ready(host, port):
                child.raise_if_ended()
                await asyncio.sleep(POLL_S)
        ready_s = time.monotonic() - started_s
        return RealGateway(
            child, (host, port), ready_s, child.cpu_s(), child.resident_bytes(), settings_bytes
        )

    async def start_real_gateways(self) -> None:
        """Start all real gateways of the plan and wait until each has a watch at discovery."""
        plan = self.plan
        self.report_progress(f"{plan.real} real gateways are starting")
        self.list_index = (await self.registry.execute(ReadRegistryStats())).index
        starting = (
            self.start_gateway(f"real-{n}", plan.servers, plan.routes, plan.tenants, n, plan.real)
            for n in range(plan.real)
        )
        self.real_gateways = list(await asyncio.gather(*starting))
        await self.await_watches("real", plan.real)

    async def await_watches(self, kind: str, count: int) -> None:
        """Wait until `count` gateways of a kind have a watch at discovery, or note that they do not."""
        try:
            async with asyncio.timeout(WATCH_TIMEOUT_S):
                while (await self.registry.execute(ReadRegistryStats())).counters[kind].watches < count:
                    for child in self.children.running:
                        child.raise_if_ended()
                    await asyncio.sleep(4 * POLL_S)
        except TimeoutError:
            self.problems.schedule.append(
                f"not all {count} {kind} gateways had a watch after {WATCH_TIMEOUT_S:g} s"
            )

    async def play_clients(
        self,
        gateways: list[RealGateway],
        rate: float,
        seconds: float,
        routes: int,
        tenants: int,
        warm_up_s: float,
    ) -> FinishRequests:
        """Start sending requests through gateways.

        Args:
            gateways: The gateways.
            rate: Requests per second through all of them together.
            seconds: How long requests are sent.
            routes: The number of routes.
            tenants: The number of tenants.
            warm_up_s: Seconds from the start in which requests are not counted. Unless it is 0, as many
                requests are sent directly to endpoints, so that the latencies can be compared.

        Returns:
            A function that waits until all requests have ended, and returns their results by target.
        """
        direct_count = min(MAX_DIRECT_ENDPOINTS, self.plan.servers) if warm_up_s else 0
        await self.clients.execute(
            PlayRequests(
                seed=self.plan.seed,
                rate=rate,
                seconds=seconds,
                routes=routes,
                tenants=tenants,
                first=self._next_request_id,
                warm=warm_up_s,
                gateways=[gateway.address for gateway in gateways],
                direct=[(fleet.server_host(n), self.ports["direct"]) for n in range(direct_count)],
            )
        )
        self._next_request_id += 4 * int(rate * seconds + EXTRA_REQUEST_IDS)
        return self._finish_clients

    async def _finish_clients(self) -> dict[str, TargetResult]:
        result: ClientResult = await self.clients.execute(AwaitRequests())
        self.problems.note_late("clients", result.late)
        for name, target in result.targets.items():
            for outcome in WRONG_ANSWERS:
                if target.counts.get(outcome):
                    self.problems.broken.append(
                        f"{target.counts[outcome]} requests ({name}) ended as {outcome}"
                    )
        return result.targets

    async def read_counters(self) -> Reading:
        """Read the counters of all processes, and note how late the processes were."""
        registry, statements = await asyncio.gather(
            self.registry.execute(ReadRegistryStats()), self.statements.execute(ReadEndpointStats())
        )
        pool_stats = await asyncio.gather(
            *(child.execute(ReadPoolStats()) for child in self.simulated_processes)
        )
        late = self.problems.late
        late["registry"], late["statements"] = Histogram(registry.late), Histogram(statements.late)
        if pool_stats:
            late["hollow"] = Histogram()
            for stats in pool_stats:
                self.problems.note_late("hollow", stats.late)
        cpu_s = {child.name: child.cpu_s() for child in self.children.running}
        return Reading(time.monotonic(), registry.counters, statements.counters, list(pool_stats), cpu_s)


async def is_ready(host: str, port: int) -> bool:
    """Return whether a gateway answers that it is ready."""
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
