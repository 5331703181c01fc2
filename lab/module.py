"""The decisions alone: what one Balancer costs at a size, with no sockets. One process for each size."""

from __future__ import annotations

import heapq
import json
import statistics
import sys
import time
import tracemalloc
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import numpy as np
import psutil

from lab import fleet, schedule
from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.actions import Fail, Reject, Send, SetTimer
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.decisions.settings import Settings
from load_balancer.gateway.discovery_messages import parse_list
from load_balancer.simulator.codec import parse_settings

START_US = 1_000_000_000
SPAN_S = 10.0  # spent at most on each of the three measurements
REQUESTS = 3_000
RESTARTS = 200
GAP_S = 0.001  # mean time between two requests
ANSWER_US = 5_000
ERROR_SHARE = 0.03  # of the attempts
RESTART_GAP_US = 100_000
WARM_UP_US = 60_000_000  # after the restarts, so that all endpoints have warmed up again
# Overload: all servers together answer one request every so often, in turn, and more than twice as many come.
OVERLOAD_GAP_S = 0.001
OVERLOAD_TURN_US = 2_500


class Size(NamedTuple):
    """What one Balancer is measured at."""

    servers: int
    routes: int
    tenants: int


@dataclass
class BalancerDriver:
    """Drives one Balancer on a simulated clock and records the time that `handle` takes for each request."""

    balancer: Balancer
    rng: np.random.Generator
    now_us: int = START_US
    agenda: list[tuple[int, int, Event]] = field(default_factory=list)  # due, order of scheduling, event
    spent_ns: dict[str, int] = field(default_factory=dict)  # by request id
    other_ns: int = 0  # events that belong to no request
    refused: int = 0
    overloaded: bool = False
    free_us: int = 0  # under overload: when the servers have answered what was sent by now
    scheduled: int = 0
    attempts: dict[str, int] = field(default_factory=dict)

    def handle(self, event: Event) -> None:
        """Give an event to the Balancer and carry out what it decides."""
        started_ns = time.perf_counter_ns()
        actions = self.balancer.handle(self.now_us, event)
        took_ns = time.perf_counter_ns() - started_ns
        if isinstance(event, RequestArrived | AttemptEnded):
            self.spent_ns[event.request_id] = self.spent_ns.get(event.request_id, 0) + took_ns
        else:
            self.other_ns += took_ns
        for action in actions:
            if isinstance(action, Send):
                self.answer(action)
            elif isinstance(action, SetTimer):
                self.schedule(action.due_us, TimerFired(action.token))
            elif isinstance(action, Reject | Fail):
                self.refused += 1

    def handle_list(self, kind: ListKind, endpoints: tuple[Endpoint, ...]) -> float:
        """Give an endpoint list to the Balancer; returns the milliseconds that it took."""
        self.other_ns = 0
        self.handle(EndpointListReceived(kind, endpoints))
        return self.other_ns / 1e6

    def schedule(self, due_us: int, event: Event) -> None:
        """Handle an event once the clock has reached a time."""
        self.scheduled += 1
        heapq.heappush(self.agenda, (due_us, self.scheduled, event))

    def answer(self, send: Send) -> None:
        """Schedule the end of an attempt, at random as an error."""
        number = self.attempts.get(send.request_id, 0)
        self.attempts[send.request_id] = number + 1
        after_us = ANSWER_US
        if self.overloaded:
            self.free_us = max(self.free_us, self.now_us) + OVERLOAD_TURN_US
            after_us += self.free_us - self.now_us
        outcome = Outcome.ERROR if self.rng.random() < ERROR_SHARE else Outcome.OK
        ended = AttemptEnded(
            send.request_id, number, send.endpoint_id, outcome, after_us, outcome is Outcome.OK
        )
        self.schedule(self.now_us + after_us, ended)

    def advance_to(self, due_us: int) -> None:
        """Handle all events that are due by a time, and set the clock to it."""
        while self.agenda and self.agenda[0][0] <= due_us:
            self.now_us, _, event = heapq.heappop(self.agenda)
            self.handle(event)
        self.now_us = due_us

    def send_requests(self, seed: int, concern: str, size: Size, gap_s: float) -> dict[str, float]:
        """Send seeded requests; returns the microseconds of `handle` for a request with its outcomes."""
        rng = schedule.stream(seed, concern)
        times = schedule.arrivals(rng, 1.0 / gap_s, REQUESTS * gap_s)
        routes = schedule.zipf(rng, size.routes, len(times)).tolist()
        tenants = schedule.zipf(rng, size.tenants, len(times)).tolist()
        arrivals = zip(times.tolist(), routes, tenants, strict=True)
        self.spent_ns = {}
        self.other_ns = 0
        self.refused = 0
        start_us = self.now_us
        started_s = time.monotonic()
        for number, (at_s, route, tenant) in enumerate(arrivals):
            self.advance_to(start_us + int(at_s * 1e6))
            self.handle(
                RequestArrived(f"{concern}{number}", route, 2_000_000, key=number * 7919, tenant=tenant)
            )
            if time.monotonic() - started_s > SPAN_S:
                break
        self.advance_to(self.now_us + 3_000_000)
        return self.request_costs()

    def request_costs(self) -> dict[str, float]:
        """What the requests since the last start of sending have cost."""
        spent_us = sorted(spent_ns / 1e3 for spent_ns in self.spent_ns.values())
        return {
            "requests": len(spent_us),
            "p50_us": statistics.median(spent_us),
            "p99_us": spent_us[int(len(spent_us) * 0.99)],
            "mean_us": (sum(spent_us) + self.other_ns / 1e3) / len(spent_us),
            "refused_share": self.refused / len(spent_us),
        }

    def restart_endpoints(self, seed: int, endpoints: tuple[Endpoint, ...]) -> list[float]:
        """Restart random endpoints one after the other; returns the milliseconds that each took."""
        rng = schedule.stream(seed, "restarts")
        took_ms = []
        started_s = time.monotonic()
        for _ in range(RESTARTS):
            self.advance_to(self.now_us + RESTART_GAP_US)
            endpoint = endpoints[int(rng.integers(len(endpoints)))]
            restarted = replace(endpoint, started_us=self.now_us)
            took_ms.append(self.handle_list(ListKind.DELTA, (restarted,)))
            if time.monotonic() - started_s > SPAN_S:
                break
        return took_ms


@dataclass(frozen=True)
class DriverCosts:
    """What a driven Balancer has cost, by the names of the figures in a result."""

    events_ms: dict[str, float]
    resident_bytes: dict[str, int]
    requests: dict[str, dict[str, float]]  # by kind of load


def measure(size: Size, seed: int) -> dict[str, Any]:
    """One size: list and restart in milliseconds, request and outcome in microseconds, memory in bytes."""
    process = psutil.Process()
    text = json.dumps(fleet.settings(size.routes, size.tenants))
    raw = {"endpoints": fleet.entries(size.servers, 3000)}  # held to the end: its memory isn't used again
    names = NameTable((), (), fleet.ZONES, ("m1",))
    endpoints = parse_list(raw, names).to_balancer_event().endpoints
    base_bytes = process.memory_info().rss
    started_s = time.perf_counter()
    settings = parse_settings(text)
    settings_ms = (time.perf_counter() - started_s) * 1e3
    settings_bytes = process.memory_info().rss - base_bytes
    driven = measure_driven(settings, endpoints, size, seed)
    list_bytes = traced_list_bytes(settings, endpoints, seed)
    return {
        "servers": size.servers,
        "routes": size.routes,
        "tenants": size.tenants,
        "settings_ms": settings_ms,
        "settings_memory_bytes": settings_bytes,
        **driven.events_ms,
        "memory_list_bytes": list_bytes,
        **driven.resident_bytes,
        **driven.requests,
    }


def measure_driven(settings: Settings, endpoints: tuple[Endpoint, ...], size: Size, seed: int) -> DriverCosts:
    """The times of a Balancer through lists, requests, restarts and overload, and its resident bytes."""
    process = psutil.Process()
    before_bytes = process.memory_info().rss
    driver = BalancerDriver(Balancer(settings, seed), schedule.stream(seed, "outcomes"))
    list_ms = driver.handle_list(ListKind.CACHED, endpoints)
    list_bytes = process.memory_info().rss - before_bytes
    list_again_ms = driver.handle_list(ListKind.COMPLETE, endpoints)
    calm = driver.send_requests(seed, "calm", size, GAP_S)
    calm_bytes = process.memory_info().rss - before_bytes
    restarts_ms = driver.restart_endpoints(seed, endpoints)
    driver.advance_to(driver.now_us + WARM_UP_US)
    driver.overloaded = True
    shedding = driver.send_requests(seed, "jam", size, OVERLOAD_GAP_S)
    return DriverCosts(
        events_ms={
            "list_ms": list_ms,
            "list_again_ms": list_again_ms,
            "restart_ms": statistics.median(restarts_ms),
            "restart_most_ms": max(restarts_ms),
        },
        resident_bytes={
            "resident_list_bytes": list_bytes,
            "resident_calm_bytes": calm_bytes,
            "resident_most_bytes": process.memory_info().rss - before_bytes,
        },
        requests={"calm": calm, "shedding": shedding},
    )


def traced_list_bytes(settings: Settings, endpoints: tuple[Endpoint, ...], seed: int) -> int:
    """The bytes that a Balancer allocates for itself and a list, as Python traces them."""
    tracemalloc.start()
    balancer = Balancer(settings, seed)
    balancer.handle(START_US, EndpointListReceived(ListKind.CACHED, endpoints))
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    return allocated_bytes


def middle(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Of several runs of one size, the median of each figure, and how far apart the calm ones lie."""
    if failed := [result for result in results if "failed" in result]:
        return failed[0]

    def of(values: list[Any]) -> Any:
        if isinstance(values[0], dict):
            return {key: of([value[key] for value in values]) for key in values[0]}
        return statistics.median(values)

    calm = [result["calm"]["p50_us"] for result in results]
    return {**of(results), "runs": len(results), "spread": (max(calm) - min(calm)) / statistics.median(calm)}


COLUMNS = (
    "size", "settings ms", "list ms", "again ms", "restart ms", "request us", "p99 us", "mean us",
    "shed us", "shed mean", "shed share", "list MB", "resident MB", "spread",
)  # fmt: skip


def row(result: dict[str, Any]) -> list[str]:
    """A line on a size."""
    size = f"{result['servers']}x{result['routes']}x{result['tenants']}"
    if "failed" in result:
        return [size, result["failed"]]
    calm, jam = result["calm"], result["shedding"]
    figures = [
        result["settings_ms"],
        result["list_ms"],
        result["list_again_ms"],
        result["restart_ms"],
        calm["p50_us"],
        calm["p99_us"],
        calm["mean_us"],
        jam["p50_us"],
        jam["mean_us"],
        jam["refused_share"],
        result["memory_list_bytes"] / 1e6,
        result["resident_most_bytes"] / 1e6,
        result["spread"],
    ]
    return [size, *(f"{figure:.3g}" if figure < 100 else f"{figure:.0f}" for figure in figures)]


def main() -> None:
    """A child: sizes and seed as arguments, one line of JSON out."""
    servers, routes, tenants, seed = map(int, sys.argv[1:5])
    print(json.dumps(measure(Size(servers, routes, tenants), seed)), flush=True)


if __name__ == "__main__":
    main()
