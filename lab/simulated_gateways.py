"""Simulated gateways: many Balancers with discovery clients in a process, with seeded requests and outcomes.

A schedule replaces the clients, and timers replace the connections to endpoints. Discovery and the timers of
the Balancer work as in the real gateway.
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
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListSkipped,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.gateway.clock import Clock
from load_balancer.gateway.discovery import DiscoveryClient
from load_balancer.gateway.discovery_messages import WatchEvent

TIMEOUT_US = 2_000_000
ANSWER_S = 0.005  # mean latency of an attempt
ERROR_SHARE = 0.03  # share of the attempts that end as an error
PLAN_INTERVAL_S = 1.0  # requests are planned in advance for this long
PLANNED_ANSWERS = 4096  # drawn in advance and repeated

ChangeKey = tuple[int, str, int]  # endpoint id, status, start in microseconds


class SimulatedGateway:
    """One gateway: its Balancer and its discovery client.

    Attributes:
        pool: The pool that the gateway belongs to.
        balancer: The Balancer.
        discovery: The discovery client.
        events: Events that wait until the Balancer has handled an earlier one.
        delivering: Whether the Balancer is handling events.
        attempts: By request, a timer for each attempt, or None once it has ended.
        endpoint_ids: The endpoint of each attempt in flight, by request and attempt.
        began_ns: When the gateway was started.
        list_count: Messages handled from discovery, except empty ones after the first.
    """

    def __init__(self, pool: GatewayPool, config: Config, seed: int) -> None:
        self.pool = pool
        self.balancer = Balancer(config.settings, seed)
        self.discovery = DiscoveryClient(
            pool.loop,
            config.discovery,
            config.names,
            config.settings.endpoints_are_pushed,
            self.receive,
            lambda: self.deliver(EndpointListSkipped()),
        )
        self.events: deque[Event] = deque()
        self.delivering = False
        self.attempts: dict[str, list[asyncio.TimerHandle | None]] = {}
        self.endpoint_ids: dict[tuple[str, int], int] = {}
        self.began_ns = time.monotonic_ns()
        self.list_count = 0

    def receive(self, message: WatchEvent) -> None:
        """Pass a message from discovery to the Balancer, and record when its changes are in force."""
        event = message.to_balancer_event()
        began = time.perf_counter_ns()
        self.deliver(event)
        done_ns = time.monotonic_ns()
        if not event.endpoints:
            if self.list_count:
                return
        else:
            self.pool.list_latency.record((time.perf_counter_ns() - began) / 1e3)
        self.list_count += 1
        if self.list_count == 1:  # the cached list, with which the real gateway is ready
            self.pool.ready.record((done_ns - self.began_ns) / 1e3)
            return
        for endpoint in event.endpoints if event.kind is ListKind.DELTA else ():
            key = (endpoint.id, endpoint.status.value, endpoint.started_us)
            self.pool.received.setdefault(key, []).append(done_ns)

    def deliver(self, event: Event) -> None:
        """Pass an event to the Balancer and execute the actions that it returns."""
        self.events.append(event)
        if self.delivering:
            return
        self.delivering = True
        try:
            while self.events:
                for action in self.balancer.handle(self.pool.clock.now_us(), self.events.popleft()):
                    self.execute(action)
        finally:
            self.delivering = False

    def execute(self, action: Action) -> None:
        """Execute an action as the real gateway does, except for connections and clients."""
        loop, counts = self.pool.loop, self.pool.counts
        match action:
            case Send():
                counts["sent"] += 1
                attempts = self.attempts.setdefault(action.request_id, [])
                answer_s, outcome = self.pool.next_answer()
                timer = loop.call_later(
                    answer_s, self.end_attempt, action.request_id, len(attempts), outcome, int(answer_s * 1e6)
                )
                self.endpoint_ids[action.request_id, len(attempts)] = action.endpoint_id
                attempts.append(timer)
            case Cancel():
                timer_or_none = self.attempts.get(action.request_id, [])[action.attempt]
                if timer_or_none is not None:
                    timer_or_none.cancel()
                    loop.call_soon(self.end_attempt, action.request_id, action.attempt, Outcome.CANCELLED, 0)
            case Reject() | Fail():
                counts["refused" if isinstance(action, Reject) else "failed"] += 1
                self.drop_if_ended(action.request_id)
            case SetTimer():
                delay_us = action.due_us - self.pool.clock.now_us()
                loop.call_later(max(0, delay_us) / 1e6, self.deliver, TimerFired(action.token))
            case SubscribeEndpoints():
                self.discovery.set_subscribed(action.active)
            case PollEndpoints():
                self.discovery.poll()

    def end_attempt(self, request: str, attempt: int, outcome: Outcome, latency_us: int) -> None:
        """Report the end of an attempt to the Balancer."""
        self.attempts[request][attempt] = None
        endpoint_id = self.endpoint_ids.pop((request, attempt))
        finished = outcome is Outcome.OK
        self.pool.counts["served"] += finished
        began = time.perf_counter_ns()
        self.deliver(AttemptEnded(request, attempt, endpoint_id, outcome, latency_us, finished))
        self.pool.spent_ns += time.perf_counter_ns() - began
        self.drop_if_ended(request)

    def drop_if_ended(self, request: str) -> None:
        """Forget a request that has no attempt in flight."""
        if not any(self.attempts.get(request, ())):
            self.attempts.pop(request, None)


class GatewayPool:
    """The gateways of one process, the requests to them and their counters.

    Attributes:
        loop: The event loop of the process.
        clock: The clock of the gateways.
        gateways: All gateways of the process.
        config: The configuration that the gateways share, once it has been read.
        received: The times at which gateways handled each change, in nanoseconds; one for each gateway.
        ready: Time from a gateway's start until it was ready.
        list_latency: Time to handle an endpoint list.
        late: How far requests were behind their schedule.
        counts: Requests and attempts by what became of them.
        spent_ns: Wall time spent on requests and the ends of attempts.
        answers: Latencies in seconds and outcomes of attempts.
        requests: The task that sends requests.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock()
        self.gateways: list[SimulatedGateway] = []
        self.config: Config | None = None
        self.received: dict[ChangeKey, list[int]] = {}
        self.ready = Histogram()
        self.list_latency = Histogram()
        self.late = Histogram()
        self.counts = dict.fromkeys(("asked", "sent", "served", "refused", "failed"), 0)
        self.spent_ns = 0
        self.answers: list[tuple[float, Outcome]] = []
        self.requests: asyncio.Task[None] | None = None

    def next_answer(self) -> tuple[float, Outcome]:
        """Return the latency in seconds and the outcome of the next attempt."""
        return self.answers[self.counts["sent"] % len(self.answers)]

    def read_config(self, path: str, address: str, seed: int) -> None:
        """Read the configuration that all gateways of the process share, and draw the answers."""
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
        self.config = parse_config(raw | {"discovery": address})
        rng = schedule.stream(seed, "outcomes")
        latencies_s = (ANSWER_S * (0.5 + rng.gamma(4.0, 0.125, PLANNED_ANSWERS))).tolist()
        failing = (rng.random(PLANNED_ANSWERS) < ERROR_SHARE).tolist()
        self.answers = [
            (answer_s, Outcome.ERROR if fails else Outcome.OK)
            for answer_s, fails in zip(latencies_s, failing, strict=True)
        ]

    async def add_gateways(self, count: int, first: int, seed: int) -> None:
        """Start more gateways, numbered from `first`."""
        assert self.config is not None
        for number in range(first, first + count):
            settings = replace(self.config.settings, gateway_index=number, zone=number % len(fleet.ZONES))
            gateway = SimulatedGateway(self, replace(self.config, settings=settings), seed + number)
            self.gateways.append(gateway)
            gateway.discovery.start(self.config.cached_endpoint_list)
            await asyncio.sleep(0)  # lets the gateways already started read their messages

    async def send_requests(self, rate: float, routes: int, tenants: int, seed: int) -> None:
        """Send `rate` requests per second to each gateway until cancelled."""
        start = time.monotonic()
        interval = 0
        while True:
            planned_requests = schedule.requests(
                seed,
                f"hollow {interval}",
                rate * len(self.gateways),
                PLAN_INTERVAL_S,
                routes,
                tenants,
                len(self.gateways),
            )
            arrivals = zip(
                planned_requests.times_s,
                planned_requests.routes,
                planned_requests.tenants,
                planned_requests.targets,
                strict=True,
            )
            for arrival_s, route, tenant, target in arrivals:
                wait_s = start + interval * PLAN_INTERVAL_S + arrival_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self.late.record((time.monotonic() - start - interval * PLAN_INTERVAL_S - arrival_s) * 1e6)
                self.counts["asked"] += 1
                started = time.perf_counter_ns()
                self.gateways[target].deliver(
                    RequestArrived(
                        str(self.counts["asked"]),
                        route,
                        TIMEOUT_US,
                        key=self.counts["asked"] * 7919,
                        tenant=tenant,
                    )
                )
                self.spent_ns += time.perf_counter_ns() - started
            interval += 1
            await asyncio.sleep(max(0.0, start + interval * PLAN_INTERVAL_S - time.monotonic()))

    def measure_in_force(self, changes: list[WrittenChange]) -> InForce:
        """Return the times from when discovery wrote changes until they were in force at these gateways."""
        histogram = Histogram()
        unseen = 0
        for change in changes:
            key = (change.endpoint_id, change.status, change.started_us)
            received = self.received.get(key, ())
            for done_ns in received:
                histogram.record((done_ns - change.written_ns) / 1e3)
            unseen += max(0, len(self.gateways) - len(received))
        self.received.clear()
        return InForce(histogram.encode(), unseen)

    async def stop_requests(self) -> None:
        """Stop sending requests; an exception that ended the sending is raised here."""
        if self.requests is not None:
            self.requests.cancel()
            await asyncio.wait([self.requests])
            if not self.requests.cancelled():
                self.requests.result()
            self.requests = None

    async def handle(self, command: PoolCommand) -> Any:
        """Execute a command and return its answer."""
        match command:
            case ReadConfig():
                self.read_config(command.path, command.address, command.seed)
                return psutil.Process().memory_info().rss
            case AddGateways():
                await self.stop_requests()
                await self.add_gateways(command.count, command.first, command.seed)
            case StartRequests():
                await self.stop_requests()
                # A full garbage collection would traverse the objects of all gateways in this process.
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
        """Return the counters; an exception that ended the sending of requests is raised here."""
        if self.requests is not None and self.requests.done():
            self.requests.result()
        return PoolStats(
            gateways=len(self.gateways),
            ready=self.ready.encode(),
            list_read=self.list_latency.encode(),
            late=self.late.encode(),
            counts=self.counts,
            spent_ns=self.spent_ns,
        )


def create_handler() -> Handler[PoolCommand]:
    """Return the handler of commands, which uses the running event loop."""
    return GatewayPool(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, PoolCommand)
