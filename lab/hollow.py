"""Hollow gateways: the real Discovery and Balancer, many in a process, with seeded requests and outcomes.

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
from typing import Any

import psutil

from lab import fleet, schedule
from lab.child import Handler, Hist, Order, obey
from load_balancer.config.file import Config, parse_config
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

PATIENCE_US = 2_000_000
ANSWER_S = 0.005
FAILING = 0.03
PLANNED_S = 1.0  # of requests planned at a time
DRAWS = 4096

Known = tuple[int, str, int]  # host's id, status, start: one change


class Hollow:
    def __init__(self, crowd: Crowd, config: Config, seed: int) -> None:
        self.crowd = crowd
        self.balancer = Balancer(config.settings, seed)
        self.discovery = DiscoveryClient(
            crowd.loop, config.discovery, config.names, config.settings.endpoints_are_pushed, self.on_news
        )
        self.events: deque[Event] = deque()
        self.busy = False
        self.attempts: dict[str, list[asyncio.TimerHandle | None]] = {}
        self.servers: dict[tuple[str, int], int] = {}
        self.began_ns = time.monotonic_ns()
        self.lists = 0

    def on_news(self, news: WatchEvent) -> None:
        event = news.to_balancer_event()
        began = time.perf_counter_ns()
        self.feed(event)
        done_ns = time.monotonic_ns()
        if not event.endpoints:
            if self.lists:
                return
        else:
            self.crowd.list_time.add((time.perf_counter_ns() - began) / 1e3)
        self.lists += 1
        if self.lists == 1:  # the list as last held, which the real gateway calls ready
            self.crowd.ready.add((done_ns - self.began_ns) / 1e3)
            return
        for server in event.endpoints if event.kind is ListKind.DELTA else ():
            key = (server.id, server.status.value, server.started_us)
            self.crowd.heard.setdefault(key, []).append(done_ns)

    def feed(self, event: Event) -> None:
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                for action in self.balancer.handle(self.crowd.clock.now_us(), self.events.popleft()):
                    self.carry_out(action)
        finally:
            self.busy = False

    def carry_out(self, action: Action) -> None:
        loop, counts = self.crowd.loop, self.crowd.counts
        match action:
            case Send():
                counts["sent"] += 1
                attempts = self.attempts.setdefault(action.request_id, [])
                answer_s, outcome = self.crowd.draw()
                timer = loop.call_later(
                    answer_s, self.ended, action.request_id, len(attempts), outcome, int(answer_s * 1e6)
                )
                self.servers[action.request_id, len(attempts)] = action.endpoint_id
                attempts.append(timer)
            case Cancel():
                timer_or_none = self.attempts.get(action.request_id, [])[action.attempt]
                if timer_or_none is not None:
                    timer_or_none.cancel()
                    loop.call_soon(self.ended, action.request_id, action.attempt, Outcome.CANCELLED, 0)
            case Reject() | Fail():
                counts["refused" if isinstance(action, Reject) else "failed"] += 1
                self.forget_if_over(action.request_id)
            case SetTimer():
                delay_us = action.due_us - self.crowd.clock.now_us()
                loop.call_later(max(0, delay_us) / 1e6, self.feed, TimerFired(action.token))
            case SubscribeEndpoints():
                self.discovery.set_subscribed(action.active)
            case PollEndpoints():
                self.discovery.poll()

    def ended(self, request: str, attempt: int, outcome: Outcome, latency_us: int) -> None:
        self.attempts[request][attempt] = None
        server = self.servers.pop((request, attempt))
        finished = outcome is Outcome.OK
        self.crowd.counts["served"] += finished
        began = time.perf_counter_ns()
        self.feed(AttemptEnded(request, attempt, server, outcome, latency_us, finished))
        self.crowd.spent_ns += time.perf_counter_ns() - began
        self.forget_if_over(request)

    def forget_if_over(self, request: str) -> None:
        if not any(self.attempts.get(request, ())):
            self.attempts.pop(request, None)


class Crowd:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock()
        self.gateways: list[Hollow] = []
        self.config: Config | None = None
        self.heard: dict[Known, list[int]] = {}
        self.ready, self.list_time, self.late = Hist(), Hist(), Hist()
        self.counts = dict.fromkeys(("asked", "sent", "served", "refused", "failed"), 0)
        self.spent_ns = 0
        self.draws: list[tuple[float, Outcome]] = []
        self.pump: asyncio.Task[None] | None = None

    def draw(self) -> tuple[float, Outcome]:
        return self.draws[self.counts["sent"] % len(self.draws)]

    def read(self, path: str, address: str, seed: int) -> None:
        """The settings are held once for all gateways of the process."""
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
        self.config = parse_config(raw | {"discovery": address})
        rng = schedule.stream(seed, "outcomes")
        times = (ANSWER_S * (0.5 + rng.gamma(4.0, 0.125, DRAWS))).tolist()
        failing = (rng.random(DRAWS) < FAILING).tolist()
        self.draws = [
            (s, Outcome.ERROR if fails else Outcome.OK) for s, fails in zip(times, failing, strict=True)
        ]

    async def add(self, count: int, first: int, seed: int) -> None:
        assert self.config is not None
        for number in range(first, first + count):
            settings = replace(self.config.settings, gateway_index=number, zone=number % len(fleet.ZONES))
            gateway = Hollow(self, replace(self.config, settings=settings), seed + number)
            self.gateways.append(gateway)
            gateway.discovery.start(self.config.known)
            await asyncio.sleep(0)  # what the earlier ones are told is read in between

    async def ask(self, rate: float, routes: int, tenants: int, seed: int) -> None:
        """Requests at `rate` a second to each gateway, until cancelled."""
        start, part = time.monotonic(), 0
        while True:
            asked = schedule.requests(
                seed,
                f"hollow {part}",
                rate * len(self.gateways),
                PLANNED_S,
                routes,
                tenants,
                len(self.gateways),
            )
            kinds = zip(asked.times_s, asked.routes, asked.tenants, asked.targets, strict=True)
            for at_s, route, tenant, target in kinds:
                wait_s = start + part * PLANNED_S + at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self.late.add((time.monotonic() - start - part * PLANNED_S - at_s) * 1e6)
                self.counts["asked"] += 1
                began = time.perf_counter_ns()
                self.gateways[target].feed(
                    RequestArrived(
                        str(self.counts["asked"]),
                        route,
                        PATIENCE_US,
                        key=self.counts["asked"] * 7919,
                        tenant=tenant,
                    )
                )
                self.spent_ns += time.perf_counter_ns() - began
            part += 1
            await asyncio.sleep(max(0.0, start + part * PLANNED_S - time.monotonic()))

    def force(self, changes: list[tuple[int, str, int, int]]) -> dict[str, Any]:
        """From each change at discovery to its being in force, over all gateways here."""
        hist, unseen = Hist(), 0
        for server, status, started_us, at_ns in changes:
            heard = self.heard.get((server, status, started_us), ())
            for done_ns in heard:
                hist.add((done_ns - at_ns) / 1e3)
            unseen += max(0, len(self.gateways) - len(heard))
        self.heard.clear()
        return {"force": hist.text(), "unseen": unseen}

    async def stop_asking(self) -> None:
        if self.pump is not None:
            self.pump.cancel()
            await asyncio.wait([self.pump])
            if not self.pump.cancelled():
                self.pump.result()
            self.pump = None

    async def handle(self, order: Order) -> Any:
        match order["do"]:
            case "read":
                self.read(order["path"], order["address"], order["seed"])
                return psutil.Process().memory_info().rss
            case "add":
                await self.stop_asking()
                await self.add(order["count"], order["first"], order["seed"])
                return None
            case "ask":
                await self.stop_asking()
                # A full collection would walk all the gateways here for the garbage of one.
                gc.freeze()
                self.pump = self.loop.create_task(
                    self.ask(order["rate"], order["routes"], order["tenants"], order["seed"])
                )
                return None
            case "force":
                return self.force(order["changes"])
            case "stats":
                if self.pump is not None and self.pump.done():
                    self.pump.result()
                return {
                    "gateways": len(self.gateways),
                    "ready": self.ready.text(),
                    "list": self.list_time.text(),
                    "late": self.late.text(),
                    "counts": self.counts,
                    "spent_ns": self.spent_ns,
                }
        raise ValueError(f"unknown order {order['do']!r}")


def make() -> Handler:
    return Crowd(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    obey(make)
