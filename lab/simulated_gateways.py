"""Simulated gateways: the real Discovery and Balancer, many in a process, with seeded requests and outcomes.

Instead of client sockets and connections to servers there are a schedule and a clock. What the balancer asks
of discovery and of timers is carried out as the real gateway does it.
"""

from __future__ import annotations

import asyncio
import gc
import json
import time
from collections import deque
from dataclasses import replace
from pathlib import Path
from typing import Any, assert_never

import psutil

from lab import fleet, schedule
from lab.child import Handler, Histogram, serve
from lab.gateway_messages import (
    AddGateways,
    InForce,
    MeasureInForce,
    PoolCommand,
    PoolStats,
    ReadConfig,
    ReadPoolStats,
    StartRequests,
)
from lab.messages import WrittenChange
from load_balancer.config.file import parse_config
from load_balancer.config.gateway_config import Config
from load_balancer.decisions.actions import (
    Action,
    Cancel,
    Fail,
    PollEndpoints,
    Reject,
    Send,
    SetTimer,
    SubscribeEndpoints,
)
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import AttemptEnded, Event, Outcome, RequestArrived, TimerFired
from load_balancer.gateway.clock import Clock
from load_balancer.gateway.discovery import DiscoveryClient
from load_balancer.gateway.discovery_messages import WatchEvent

TIMEOUT_US = 2_000_000
ANSWER_S = 0.005
ERROR_SHARE = 0.03
PLANNED_S = 1.0  # of requests planned at a time
DRAWS = 4096

KnownChange = tuple[int, str, int]  # endpoint's id, status, start in us


class SimulatedGateway:
    """One gateway: its Balancer and its client of discovery."""

    def __init__(self, pool: GatewayPool, config: Config, seed: int) -> None:
        self.pool = pool
        self.balancer = Balancer(config.settings, seed)
        self.discovery = DiscoveryClient(
            pool.loop, config.discovery, config.names, config.settings.endpoints_are_pushed, self.receive
        )
        self.events: deque[Event] = deque()
        self.busy = False
        self.attempts: dict[str, list[asyncio.TimerHandle | None]] = {}
        self.servers: dict[tuple[str, int], int] = {}
        self.began_ns = time.monotonic_ns()
        self.lists = 0

    def receive(self, message: WatchEvent) -> None:
        """Deliver what discovery sends, and note when it is in force."""
        event = message.to_balancer_event()
        began = time.perf_counter_ns()
        self.deliver(event)
        done_ns = time.monotonic_ns()
        if not event.endpoints:
            if self.lists:
                return
        else:
            self.pool.list_time.record((time.perf_counter_ns() - began) / 1e3)
        self.lists += 1
        if self.lists == 1:  # the list as last held, which the real gateway calls ready
            self.pool.ready.record((done_ns - self.began_ns) / 1e3)
            return
        for server in event.endpoints if event.kind is ListKind.DELTA else ():
            key = (server.id, server.status.value, server.started_us)
            self.pool.received.setdefault(key, []).append(done_ns)

    def deliver(self, event: Event) -> None:
        """Give an event to the Balancer and execute what it decides."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                for action in self.balancer.handle(self.pool.clock.now_us(), self.events.popleft()):
                    self.execute(action)
        finally:
            self.busy = False

    def execute(self, action: Action) -> None:
        """Execute an action as the real gateway does, but for connections and clients."""
        loop, counts = self.pool.loop, self.pool.counts
        match action:
            case Send():
                counts["sent"] += 1
                attempts = self.attempts.setdefault(action.request_id, [])
                answer_s, outcome = self.pool.draw()
                timer = loop.call_later(
                    answer_s, self.end_attempt, action.request_id, len(attempts), outcome, int(answer_s * 1e6)
                )
                self.servers[action.request_id, len(attempts)] = action.endpoint_id
                attempts.append(timer)
            case Cancel():
                timer_or_none = self.attempts.get(action.request_id, [])[action.attempt]
                if timer_or_none is not None:
                    timer_or_none.cancel()
                    loop.call_soon(self.end_attempt, action.request_id, action.attempt, Outcome.CANCELLED, 0)
            case Reject() | Fail():
                counts["refused" if isinstance(action, Reject) else "failed"] += 1
                self.forget_if_ended(action.request_id)
            case SetTimer():
                delay_us = action.due_us - self.pool.clock.now_us()
                loop.call_later(max(0, delay_us) / 1e6, self.deliver, TimerFired(action.token))
            case SubscribeEndpoints():
                self.discovery.set_subscribed(action.active)
            case PollEndpoints():
                self.discovery.poll()

    def end_attempt(self, request: str, attempt: int, outcome: Outcome, latency_us: int) -> None:
        """End an attempt as its draw says."""
        self.attempts[request][attempt] = None
        server = self.servers.pop((request, attempt))
        finished = outcome is Outcome.OK
        self.pool.counts["served"] += finished
        began = time.perf_counter_ns()
        self.deliver(AttemptEnded(request, attempt, server, outcome, latency_us, finished))
        self.pool.spent_ns += time.perf_counter_ns() - began
        self.forget_if_ended(request)

    def forget_if_ended(self, request: str) -> None:
        """Drop a request that has no attempt in flight."""
        if not any(self.attempts.get(request, ())):
            self.attempts.pop(request, None)


class GatewayPool:
    """The gateways of one process, the requests to them and what they have received."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock()
        self.gateways: list[SimulatedGateway] = []
        self.config: Config | None = None
        self.received: dict[KnownChange, list[int]] = {}
        self.ready = Histogram()
        self.list_time = Histogram()
        self.late = Histogram()
        self.counts = dict.fromkeys(("asked", "sent", "served", "refused", "failed"), 0)
        self.spent_ns = 0
        self.draws: list[tuple[float, Outcome]] = []
        self.requests: asyncio.Task[None] | None = None

    def draw(self) -> tuple[float, Outcome]:
        """Seconds until the next attempt ends, and how."""
        return self.draws[self.counts["sent"] % len(self.draws)]

    def read(self, path: str, address: str, seed: int) -> None:
        """The settings are held once for all gateways of the process."""
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
        self.config = parse_config(raw | {"discovery": address})
        rng = schedule.stream(seed, "outcomes")
        times = (ANSWER_S * (0.5 + rng.gamma(4.0, 0.125, DRAWS))).tolist()
        failing = (rng.random(DRAWS) < ERROR_SHARE).tolist()
        self.draws = [
            (answer_s, Outcome.ERROR if fails else Outcome.OK)
            for answer_s, fails in zip(times, failing, strict=True)
        ]

    async def add(self, count: int, first: int, seed: int) -> None:
        """Start more gateways, numbered from `first`."""
        assert self.config is not None
        for number in range(first, first + count):
            settings = replace(self.config.settings, gateway_index=number, zone=number % len(fleet.ZONES))
            gateway = SimulatedGateway(self, replace(self.config, settings=settings), seed + number)
            self.gateways.append(gateway)
            gateway.discovery.start(self.config.cached_endpoint_list)
            await asyncio.sleep(0)  # what the earlier ones receive is read in between

    async def send_requests(self, rate: float, routes: int, tenants: int, seed: int) -> None:
        """Send requests at `rate` a second to each gateway, until cancelled."""
        start = time.monotonic()
        part = 0
        while True:
            planned = schedule.requests(
                seed,
                f"hollow {part}",
                rate * len(self.gateways),
                PLANNED_S,
                routes,
                tenants,
                len(self.gateways),
            )
            arrivals = zip(planned.times_s, planned.routes, planned.tenants, planned.targets, strict=True)
            for at_s, route, tenant, target in arrivals:
                wait_s = start + part * PLANNED_S + at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self.late.record((time.monotonic() - start - part * PLANNED_S - at_s) * 1e6)
                self.counts["asked"] += 1
                began = time.perf_counter_ns()
                self.gateways[target].deliver(
                    RequestArrived(
                        str(self.counts["asked"]),
                        route,
                        TIMEOUT_US,
                        key=self.counts["asked"] * 7919,
                        tenant=tenant,
                    )
                )
                self.spent_ns += time.perf_counter_ns() - began
            part += 1
            await asyncio.sleep(max(0.0, start + part * PLANNED_S - time.monotonic()))

    def measure_in_force(self, changes: list[WrittenChange]) -> InForce:
        """From each change at discovery to its being in force, over all gateways here."""
        hist = Histogram()
        unseen = 0
        for change in changes:
            key = (change.endpoint_id, change.status, change.started_us)
            received = self.received.get(key, ())
            for done_ns in received:
                hist.record((done_ns - change.written_ns) / 1e3)
            unseen += max(0, len(self.gateways) - len(received))
        self.received.clear()
        return InForce(hist.encode(), unseen)

    async def stop_requests(self) -> None:
        """Send no more requests; raises what has ended them before."""
        if self.requests is not None:
            self.requests.cancel()
            await asyncio.wait([self.requests])
            if not self.requests.cancelled():
                self.requests.result()
            self.requests = None

    async def handle(self, command: PoolCommand) -> Any:
        """Carry out a command; returns its answer."""
        match command:
            case ReadConfig():
                self.read(command.path, command.address, command.seed)
                return psutil.Process().memory_info().rss
            case AddGateways():
                await self.stop_requests()
                await self.add(command.count, command.first, command.seed)
            case StartRequests():
                await self.stop_requests()
                # A full collection would walk all the gateways here for the garbage of one.
                gc.freeze()
                self.requests = self.loop.create_task(
                    self.send_requests(command.rate, command.routes, command.tenants, command.seed)
                )
            case MeasureInForce():
                return self.measure_in_force(command.changes)
            case ReadPoolStats():
                return self.read_stats()
            case _:
                assert_never(command)
        return None

    def read_stats(self) -> PoolStats:
        """The counters; raises what has ended the requests."""
        if self.requests is not None and self.requests.done():
            self.requests.result()
        return PoolStats(
            gateways=len(self.gateways),
            ready=self.ready.encode(),
            list_read=self.list_time.encode(),
            late=self.late.encode(),
            counts=self.counts,
            spent_ns=self.spent_ns,
        )


def create_handler() -> Handler[PoolCommand]:
    """The handler of commands, on the running event loop."""
    return GatewayPool(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, PoolCommand)
