"""Measures the time and memory of one Balancer at a size, without sockets; one process for each run."""

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
MAX_PHASE_S = 10.0  # longest wall time of each phase: calm requests, restarts, overload
REQUEST_COUNT = 3_000
RESTART_COUNT = 200
REQUEST_GAP_S = 0.001  # mean time between two requests without overload
SERVICE_TIME_US = 5_000
ERROR_SHARE = 0.03  # share of the attempts that end as an error
RESTART_INTERVAL_US = 100_000
WARM_UP_US = 60_000_000  # pause after the restarts, so that the slow start of all endpoints has ended
# Under overload all endpoints together answer one request per service time, one after the other, and requests
# arrive at 2.5 times that rate.
OVERLOAD_REQUEST_GAP_S = 0.001
OVERLOAD_SERVICE_TIME_US = 2_500


class Size(NamedTuple):
    """The size that one Balancer is measured at."""

    servers: int
    routes: int
    tenants: int


@dataclass
class BalancerDriver:
    """Drives one Balancer on a simulated clock and records the time that `handle` takes for each request.

    Attributes:
        balancer: The Balancer to drive.
        rng: Draws the outcomes of attempts.
        now_us: The simulated time.
        pending_events: A heap of events: when each is due, the order of scheduling, and the event.
        request_ns: Wall time of `handle` for the events of each request, by request id.
        other_events_ns: Wall time of `handle` for events that belong to no request.
        refused: Requests that the Balancer has rejected or failed.
        overloaded: Whether the endpoints answer one request at a time.
        servers_free_us: Under overload, when the endpoints will have answered all requests sent so far.
        scheduled_count: Events scheduled so far.
        attempts: Attempts of each request so far, by request id.
    """

    balancer: Balancer
    rng: np.random.Generator
    now_us: int = START_US
    pending_events: list[tuple[int, int, Event]] = field(default_factory=list)
    request_ns: dict[str, int] = field(default_factory=dict)
    other_events_ns: int = 0
    refused: int = 0
    overloaded: bool = False
    servers_free_us: int = 0
    scheduled_count: int = 0
    attempts: dict[str, int] = field(default_factory=dict)

    def handle(self, event: Event) -> None:
        """Pass an event to the Balancer and execute the actions that it returns."""
        started_ns = time.perf_counter_ns()
        actions = self.balancer.handle(self.now_us, event)
        took_ns = time.perf_counter_ns() - started_ns
        if isinstance(event, RequestArrived | AttemptEnded):
            self.request_ns[event.request_id] = self.request_ns.get(event.request_id, 0) + took_ns
        else:
            self.other_events_ns += took_ns
        for action in actions:
            if isinstance(action, Send):
                self.schedule_answer(action)
            elif isinstance(action, SetTimer):
                self.schedule_event(action.due_us, TimerFired(action.token))
            elif isinstance(action, Reject | Fail):
                self.refused += 1

    def handle_list(self, kind: ListKind, endpoints: tuple[Endpoint, ...]) -> float:
        """Pass an endpoint list to the Balancer and return the milliseconds that it took."""
        self.other_events_ns = 0
        self.handle(EndpointListReceived(kind, endpoints))
        return self.other_events_ns / 1e6

    def schedule_event(self, due_us: int, event: Event) -> None:
        """Schedule an event for a simulated time."""
        self.scheduled_count += 1
        heapq.heappush(self.pending_events, (due_us, self.scheduled_count, event))

    def schedule_answer(self, send: Send) -> None:
        """Schedule the end of an attempt; a random share of attempts ends as an error."""
        attempt_number = self.attempts.get(send.request_id, 0)
        self.attempts[send.request_id] = attempt_number + 1
        after_us = SERVICE_TIME_US
        if self.overloaded:
            self.servers_free_us = max(self.servers_free_us, self.now_us) + OVERLOAD_SERVICE_TIME_US
            after_us += self.servers_free_us - self.now_us
        outcome = Outcome.ERROR if self.rng.random() < ERROR_SHARE else Outcome.OK
        attempt_ended = AttemptEnded(
            send.request_id, attempt_number, send.endpoint_id, outcome, after_us, outcome is Outcome.OK
        )
        self.schedule_event(self.now_us + after_us, attempt_ended)

    def advance_to(self, due_us: int) -> None:
        """Handle all events that are due by a simulated time, and set the clock to it."""
        while self.pending_events and self.pending_events[0][0] <= due_us:
            self.now_us, _, event = heapq.heappop(self.pending_events)
            self.handle(event)
        self.now_us = due_us

    def send_requests(self, seed: int, stream_name: str, size: Size, mean_gap_s: float) -> dict[str, float]:
        """Send seeded requests and return their costs.

        Args:
            seed: The seed of arrival times, routes and tenants.
            stream_name: The name of the random stream, and the prefix of request ids.
            size: The number of routes and tenants to draw from.
            mean_gap_s: Mean time between two requests.
        """
        rng = schedule.stream(seed, stream_name)
        times = schedule.arrivals(rng, 1.0 / mean_gap_s, REQUEST_COUNT * mean_gap_s)
        routes = schedule.zipf(rng, size.routes, len(times)).tolist()
        tenants = schedule.zipf(rng, size.tenants, len(times)).tolist()
        arrivals = zip(times.tolist(), routes, tenants, strict=True)
        self.request_ns = {}
        self.other_events_ns = 0
        self.refused = 0
        start_us = self.now_us
        started_s = time.monotonic()
        for request_number, (arrival_s, route, tenant) in enumerate(arrivals):
            self.advance_to(start_us + int(arrival_s * 1e6))
            self.handle(
                RequestArrived(
                    f"{stream_name}{request_number}",
                    route,
                    2_000_000,
                    key=request_number * 7919,
                    tenant=tenant,
                )
            )
            if time.monotonic() - started_s > MAX_PHASE_S:
                break
        self.advance_to(self.now_us + 3_000_000)
        return self.request_costs()

    def request_costs(self) -> dict[str, float]:
        """Return the time of `handle` per request, with its outcomes, for the latest `send_requests`."""
        spent_us = sorted(request_ns / 1e3 for request_ns in self.request_ns.values())
        return {
            "requests": len(spent_us),
            "p50_us": statistics.median(spent_us),
            "p99_us": spent_us[int(len(spent_us) * 0.99)],
            "mean_us": (sum(spent_us) + self.other_events_ns / 1e3) / len(spent_us),
            "refused_share": self.refused / len(spent_us),
        }

    def restart_endpoints(self, seed: int, endpoints: tuple[Endpoint, ...]) -> list[float]:
        """Restart random endpoints one after the other; return the milliseconds of `handle` for each."""
        rng = schedule.stream(seed, "restarts")
        took_ms = []
        started_s = time.monotonic()
        for _ in range(RESTART_COUNT):
            self.advance_to(self.now_us + RESTART_INTERVAL_US)
            endpoint = endpoints[int(rng.integers(len(endpoints)))]
            restarted = replace(endpoint, started_us=self.now_us)
            took_ms.append(self.handle_list(ListKind.DELTA, (restarted,)))
            if time.monotonic() - started_s > MAX_PHASE_S:
                break
        return took_ms


@dataclass(frozen=True)
class BalancerCosts:
    """The time and memory that a Balancer took, under the keys of a result.

    Attributes:
        events_ms: Time of `handle` for endpoint lists and restarts.
        resident_bytes: Resident memory of the process after each phase, above that before the Balancer.
        requests: The costs of requests, for each load ("calm" and "shedding").
    """

    events_ms: dict[str, float]
    resident_bytes: dict[str, int]
    requests: dict[str, dict[str, float]]


def measure(size: Size, seed: int) -> dict[str, Any]:
    """Measure one size; the key of each figure ends with its unit."""
    process = psutil.Process()
    settings_text = json.dumps(fleet.settings(size.routes, size.tenants))
    raw = {"endpoints": fleet.entries(size.servers, 3000)}  # kept alive, so that its memory is not reused
    names = NameTable((), (), fleet.ZONES, ("m1",))
    endpoints = parse_list(raw, names).to_balancer_event().endpoints
    base_bytes = process.memory_info().rss
    started_s = time.perf_counter()
    settings = parse_settings(settings_text)
    settings_ms = (time.perf_counter() - started_s) * 1e3
    settings_bytes = process.memory_info().rss - base_bytes
    costs = measure_balancer(settings, endpoints, size, seed)
    list_bytes = traced_list_bytes(settings, endpoints, seed)
    return {
        "servers": size.servers,
        "routes": size.routes,
        "tenants": size.tenants,
        "settings_ms": settings_ms,
        "settings_memory_bytes": settings_bytes,
        **costs.events_ms,
        "memory_list_bytes": list_bytes,
        **costs.resident_bytes,
        **costs.requests,
    }


def measure_balancer(
    settings: Settings, endpoints: tuple[Endpoint, ...], size: Size, seed: int
) -> BalancerCosts:
    """Measure a Balancer during endpoint lists, requests, restarts and overload."""
    process = psutil.Process()
    before_bytes = process.memory_info().rss
    driver = BalancerDriver(Balancer(settings, seed), schedule.stream(seed, "outcomes"))
    list_ms = driver.handle_list(ListKind.CACHED, endpoints)
    list_bytes = process.memory_info().rss - before_bytes
    list_again_ms = driver.handle_list(ListKind.COMPLETE, endpoints)
    calm = driver.send_requests(seed, "calm", size, REQUEST_GAP_S)
    calm_bytes = process.memory_info().rss - before_bytes
    restarts_ms = driver.restart_endpoints(seed, endpoints)
    driver.advance_to(driver.now_us + WARM_UP_US)
    driver.overloaded = True
    shedding = driver.send_requests(seed, "jam", size, OVERLOAD_REQUEST_GAP_S)
    return BalancerCosts(
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
    """Return the bytes that a Balancer with an endpoint list allocates, as traced by tracemalloc."""
    tracemalloc.start()
    balancer = Balancer(settings, seed)
    balancer.handle(START_US, EndpointListReceived(ListKind.CACHED, endpoints))
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    return allocated_bytes


def median_result(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the median of each figure over several runs of one size.

    `spread` is the range of the calm median request time, relative to its median. If runs have failed, the
    result of the first of them is returned.
    """
    if failed := [result for result in results if "failed" in result]:
        return failed[0]

    def median_of(values: list[Any]) -> Any:
        if isinstance(values[0], dict):
            return {key: median_of([value[key] for value in values]) for key in values[0]}
        return statistics.median(values)

    calm = [result["calm"]["p50_us"] for result in results]
    return {
        **median_of(results),
        "runs": len(results),
        "spread": (max(calm) - min(calm)) / statistics.median(calm),
    }


COLUMNS = (
    "size", "settings ms", "list ms", "again ms", "restart ms", "request us", "p99 us", "mean us",
    "shed us", "shed mean", "shed share", "list MB", "resident MB", "spread",
)  # fmt: skip


def result_row(result: dict[str, Any]) -> list[str]:
    """Return the table row of a size."""
    size = f"{result['servers']}x{result['routes']}x{result['tenants']}"
    if "failed" in result:
        return [size, result["failed"]]
    calm, shedding = result["calm"], result["shedding"]
    figures = [
        result["settings_ms"],
        result["list_ms"],
        result["list_again_ms"],
        result["restart_ms"],
        calm["p50_us"],
        calm["p99_us"],
        calm["mean_us"],
        shedding["p50_us"],
        shedding["mean_us"],
        shedding["refused_share"],
        result["memory_list_bytes"] / 1e6,
        result["resident_most_bytes"] / 1e6,
        result["spread"],
    ]
    return [size, *(f"{figure:.3g}" if figure < 100 else f"{figure:.0f}" for figure in figures)]


def main() -> None:
    """Measure the size and seed given as arguments, and print the result as one line of JSON."""
    servers, routes, tenants, seed = map(int, sys.argv[1:5])
    print(json.dumps(measure(Size(servers, routes, tenants), seed)), flush=True)


if __name__ == "__main__":
    main()
