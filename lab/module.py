"""The decisions alone: what one Balancer costs at a size, with no sockets. One process for each size."""

from __future__ import annotations

import heapq
import json
import statistics
import sys
import time
import tracemalloc
from dataclasses import dataclass, field, replace
from typing import Any

import psutil

from lab import fleet, schedule
from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.actions import Action, Fail, Reject, Send, SetTimer
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.gateway.discovery_messages import parse_list
from load_balancer.simulator.codec import parse_settings

START_US = 1_000_000_000
SPAN_S = 10.0  # spent at most on each of the three measurements
REQUESTS = 3_000
RESTARTS = 200
GAP_S = 0.001  # mean time between two requests
ANSWER_US = 5_000
FAILING = 0.03  # of the attempts
# Overload: all servers together answer one request every so often, in turn, and more than twice as many come.
JAM_GAP_S = 0.001
JAM_TURN_US = 2_500


@dataclass
class Play:
    """One Balancer on a clock of its own; the time that `handle` takes is noted for each request."""

    balancer: Balancer
    rng: Any
    now_us: int = START_US
    agenda: list[tuple[int, int, Event]] = field(default_factory=list)
    spent_ns: dict[str, int] = field(default_factory=dict)
    other_ns: int = 0  # timers
    refused: int = 0
    sent: int = 0
    jam: bool = False
    free_us: int = 0  # in a jam: when the servers have answered what was sent by now
    count: int = 0
    attempts: dict[str, int] = field(default_factory=dict)

    def handle(self, event: Event) -> list[Action]:
        """Give an event to the Balancer and carry out what it decides."""
        began = time.perf_counter_ns()
        actions = self.balancer.handle(self.now_us, event)
        took = time.perf_counter_ns() - began
        if isinstance(event, RequestArrived | AttemptEnded):
            self.spent_ns[event.request_id] = self.spent_ns.get(event.request_id, 0) + took
        else:
            self.other_ns += took
        for action in actions:
            if isinstance(action, Send):
                self.answer(action)
            elif isinstance(action, SetTimer):
                self.put(action.due_us, TimerFired(action.token))
            elif isinstance(action, Reject | Fail):
                self.refused += 1
        return actions

    def put(self, due_us: int, event: Event) -> None:
        """Let an event happen at a time."""
        self.count += 1
        heapq.heappush(self.agenda, (due_us, self.count, event))

    def answer(self, send: Send) -> None:
        """Let an attempt end, by chance in an error."""
        self.sent += 1
        number = self.attempts.get(send.request_id, 0)
        self.attempts[send.request_id] = number + 1
        after_us = ANSWER_US
        if self.jam:
            self.free_us = max(self.free_us, self.now_us) + JAM_TURN_US
            after_us += self.free_us - self.now_us
        outcome = Outcome.ERROR if self.rng.random() < FAILING else Outcome.OK
        ended = AttemptEnded(
            send.request_id, number, send.endpoint_id, outcome, after_us, outcome is Outcome.OK
        )
        self.put(self.now_us + after_us, ended)

    def until(self, due_us: int) -> None:
        """Let all happen that is due by a time."""
        while self.agenda and self.agenda[0][0] <= due_us:
            self.now_us, _, event = heapq.heappop(self.agenda)
            self.handle(event)
        self.now_us = due_us

    def requests(self, seed: int, concern: str, routes: int, tenants: int, gap_s: float) -> dict[str, float]:
        """Play seeded requests; microseconds of `handle` a request with its outcomes."""
        rng = schedule.stream(seed, concern)
        times = schedule.arrivals(rng, 1.0 / gap_s, REQUESTS * gap_s)
        kinds = zip(
            times.tolist(),
            schedule.zipf(rng, routes, len(times)).tolist(),
            schedule.zipf(rng, tenants, len(times)).tolist(),
            strict=True,
        )
        self.spent_ns, self.other_ns, self.refused, self.sent = {}, 0, 0, 0
        start_us, began = self.now_us, time.monotonic()
        for number, (at_s, route, tenant) in enumerate(kinds):
            self.until(start_us + int(at_s * 1e6))
            self.handle(
                RequestArrived(f"{concern}{number}", route, 2_000_000, key=number * 7919, tenant=tenant)
            )
            if time.monotonic() - began > SPAN_S:
                break
        self.until(self.now_us + 3_000_000)
        spent = sorted(ns / 1e3 for ns in self.spent_ns.values())
        return {
            "requests": len(spent),
            "p50_us": statistics.median(spent),
            "p99_us": spent[int(len(spent) * 0.99)],
            "mean_us": (sum(spent) + self.other_ns / 1e3) / len(spent),
            "refused_share": self.refused / len(spent),
        }


def measure(servers: int, routes: int, tenants: int, seed: int) -> dict[str, Any]:
    """One size: list and restart in milliseconds, request and outcome in microseconds, memory in bytes."""
    process = psutil.Process()
    text = json.dumps(fleet.settings(routes, tenants))
    raw = {"endpoints": fleet.entries(servers, 3000)}
    names = NameTable((), (), fleet.ZONES, ("m1",))
    listed = parse_list(raw, names).to_balancer_event().endpoints
    base = process.memory_info().rss
    began = time.perf_counter()
    settings = parse_settings(text)
    settings_ms = (time.perf_counter() - began) * 1e3
    before = process.memory_info().rss
    balancer = Balancer(settings, seed)
    play = Play(balancer, schedule.stream(seed, "outcomes"))
    play.handle(EndpointListReceived(ListKind.CACHED, listed))
    list_ms = play.other_ns / 1e6
    held = process.memory_info().rss
    play.other_ns = 0
    play.handle(EndpointListReceived(ListKind.COMPLETE, listed))
    again_ms = play.other_ns / 1e6

    calm = play.requests(seed, "calm", routes, tenants, GAP_S)
    after = process.memory_info().rss
    rng, restarts, began = schedule.stream(seed, "restarts"), [], time.monotonic()
    for _ in range(RESTARTS):
        play.until(play.now_us + 100_000)
        entry = listed[int(rng.integers(servers))]
        play.other_ns = 0
        play.handle(EndpointListReceived(ListKind.DELTA, (replace(entry, started_us=play.now_us),)))
        restarts.append(play.other_ns / 1e6)
        if time.monotonic() - began > SPAN_S:
            break
    play.until(play.now_us + 60_000_000)  # warm again
    play.jam = True
    jam = play.requests(seed, "jam", routes, tenants, JAM_GAP_S)
    most = process.memory_info().rss
    del balancer, play
    tracemalloc.start()
    balancer = Balancer(settings, seed)
    balancer.handle(START_US, EndpointListReceived(ListKind.CACHED, listed))
    exact, _ = tracemalloc.get_traced_memory()
    return {
        "servers": servers,
        "routes": routes,
        "tenants": tenants,
        "settings_ms": settings_ms,
        "settings_memory_bytes": before - base,
        "list_ms": list_ms,
        "list_again_ms": again_ms,
        "restart_ms": statistics.median(restarts),
        "restart_most_ms": max(restarts),
        "memory_list_bytes": exact,
        "resident_list_bytes": held - before,
        "resident_calm_bytes": after - before,
        "resident_most_bytes": most - before,
        "calm": calm,
        "shedding": jam,
    }


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
    print(json.dumps(measure(*map(int, sys.argv[1:5]))), flush=True)


if __name__ == "__main__":
    main()
