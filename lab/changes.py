"""Changes of one tenant, the file that says so, and what they cost hollow gateways. Also a child of a run."""

from __future__ import annotations

import asyncio
import gc
import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import psutil

from lab import fleet, schedule
from lab.child import Handler, Hist, Order, obey
from load_balancer.config.file import read_steps
from load_balancer.config.steps import Steps, run_to_completion
from load_balancer.decisions.actions import Send
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Outcome,
    RequestArrived,
    SettingsChanged,
)
from load_balancer.decisions.settings_version import next_version
from load_balancer.gateway.discovery_messages import parse_list
from load_balancer.gateway.request_parsing import lookup_steps

MARK = "the tenants stand here"
PULSE_S = 0.002  # between two looks at one gateway
PATIENCE_US = 2_000_000
SPAN_S = 60.0  # spent at most on the changes to hollow gateways
MET = 500  # requests that each hollow gateway has had, so that there is state to carry
T = TypeVar("T")


@dataclass(frozen=True)
class Change:
    """A tenant comes or goes, at a place among the others."""

    added: bool
    number: int  # of the tenant's name
    place: int
    allowance: float  # requests a second


def changes(seed: int, tenants: int, count: int) -> list[Change]:
    """By turns a new name comes and goes again, so that never more than one stands beside the `tenants`."""
    rng, found = schedule.stream(seed, "changes"), list[Change]()
    for n in range(count):
        place, allowance = int(rng.integers(tenants + 1)), float(rng.integers(1, 1_000_000))
        last = found[-1] if found else None
        if last is not None and last.added:
            found.append(replace(last, added=False))
        else:
            found.append(Change(True, tenants + n, place, allowance))
    return found


class Document:
    """A configuration's text, of which one tenant changes; the rest stays byte for byte."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.tenants = [json.dumps(tenant) for tenant in raw["settings"]["tenants"]]
        self.fraction = 1.0 / len(self.tenants)
        settings = {**raw["settings"], "tenants": [MARK]}
        self.head, self.tail = json.dumps({**raw, "settings": settings}).split(json.dumps(MARK))

    def apply(self, change: Change) -> None:
        if not change.added:
            del self.tenants[change.place]
            return
        tenant = {
            "name": fleet.tenant(change.number),
            "allowancePerS": change.allowance,
            "fraction": self.fraction,
        }
        self.tenants.insert(change.place, json.dumps(tenant))

    def write(self, path: Path) -> int:
        """Written where no gateway reads; how many bytes."""
        return path.write_bytes(f"{self.head}{', '.join(self.tenants)}{self.tail}".encode())


async def fetch(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, payload: bytes
) -> tuple[int, bytes]:
    """One request on a connection: status and body."""
    writer.write(payload)
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
    return int(head.split()[1]), await reader.readexactly(length)


class Pulse:
    """Asks each gateway whether it is ready, again and again: what its loop alone answers, and how late."""

    def __init__(self) -> None:
        self.hist = Hist()
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, gateways: Iterable[tuple[str, int]]) -> None:
        self.hist = Hist()
        self.tasks = [asyncio.create_task(self.look(host, port)) for host, port in gateways]

    async def look(self, host: str, port: int) -> None:
        reader, writer = await asyncio.open_connection(host, port)
        try:
            while True:
                began = time.perf_counter_ns()
                await fetch(reader, writer, b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                self.hist.add((time.perf_counter_ns() - began) / 1e3)
                await asyncio.sleep(PULSE_S)
        finally:
            writer.close()

    async def stop(self) -> str:
        for task in self.tasks:
            if task.done():
                task.result()
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.hist.text()


def now() -> tuple[int, int]:
    """Nanoseconds on the clock and of this thread on the processor."""
    return time.perf_counter_ns(), time.thread_time_ns()


class Steady:
    """The time of each step by its name; a collection is part of the step it comes in.

    The processor's time beside it is without what a busy machine gives to others.
    """

    def __init__(self) -> None:
        self.hists: dict[str, Hist] = {}
        self.longest: dict[str, tuple[float, int]] = {}  # processor's milliseconds, and which step it was
        self.began = (0, 0)

    def note(self, name: str, began: tuple[int, int], place: int = 0) -> None:
        done = now()
        self.hists.setdefault(name, Hist()).add((done[0] - began[0]) / 1e3)
        self.longest[name] = max(self.longest.get(name, (0.0, 0)), ((done[1] - began[1]) / 1e6, place))

    def take(self, name: str, steps: Steps[T]) -> T:
        place = 0
        while True:
            began = now()
            try:
                next(steps)
            except StopIteration as end:
                result: T = end.value
                return result
            finally:
                self.note(name, began, place)
                place += 1

    def collecting(self, phase: str, told: dict[str, int]) -> None:
        if phase == "start":
            self.began = now()
        else:
            self.note(f"collection of generation {told['generation']}", self.began)

    def result(self) -> dict[str, Any]:
        return {
            name: {
                **(hist.summary() or {}),
                "most_cpu_ms": self.longest[name][0],
                "step": self.longest[name][1],
            }
            for name, hist in self.hists.items()
        }


def hollow(path: str, count: int, seed: int, played: list[Change]) -> dict[str, Any]:
    """Balancers, as many as asked, at the size of a configuration file, under the changes."""
    process, file, balancers = psutil.Process(), Path(path).with_suffix(".new"), list[Balancer]()
    document, environ = (
        Document(json.loads(Path(path).read_text(encoding="utf-8"))),
        {"ROUTER_CONFIG": str(file)},
    )
    document.write(file)
    config = run_to_completion(read_steps(environ))
    listed = parse_list(config.known, config.names).to_balancer_event().endpoints
    config.known.clear()
    gc.collect()
    base = process.memory_info().rss
    for n in range(count):
        balancer = Balancer(config.settings, seed + n)
        balancer.handle(0, EndpointListReceived(ListKind.COMPLETE, listed))
        meet(balancer, seed + n, len(config.settings.classes), len(config.settings.tenants))
        balancers.append(balancer)
    gc.collect()
    gc.freeze()  # as the gateway does once it has started
    held, steady, lookup = process.memory_info().rss, Steady(), run_to_completion(lookup_steps(config))
    gc.callbacks.append(steady.collecting)
    began_s, done = time.monotonic(), 0
    try:
        for change in played:
            if time.monotonic() - began_s > SPAN_S:
                break
            done += 1
            document.apply(change)
            document.write(file)
            config = steady.take("read_steps", read_steps(environ, config))
            lookup = steady.take("lookup_steps", lookup_steps(config, lookup))
            for balancer in balancers:
                following = next_version(balancer.settings_version, config.settings)
                event = SettingsChanged(steady.take("next_generation", following))
                began = now()
                balancer.handle(balancer.context.now_us + 1, event)
                steady.note("handle(SettingsChanged)", began)
    finally:
        gc.callbacks.remove(steady.collecting)
    gc.collect()
    return {
        "balancers": count,
        "changes": done,
        "steps": steady.result(),
        "bytes_each": (held - base) / count,
        "bytes_each_after": (process.memory_info().rss - base) / count,
    }


def meet(balancer: Balancer, seed: int, routes: int, tenants: int) -> None:
    """Requests that are served at once, so that classes, tenants and servers have been met."""
    asked = schedule.requests(seed, "met", float(MET), 1.0, routes, tenants, 1)
    for n, (route, tenant) in enumerate(zip(asked.routes, asked.tenants, strict=True)):
        name, now_us = f"met {n}", 1_000_000 + 2_000 * n
        actions = balancer.handle(now_us, RequestArrived(name, route, PATIENCE_US, n, tenant=tenant))
        for send in [action for action in actions if isinstance(action, Send)][:1]:
            balancer.handle(now_us + 1_000, AttemptEnded(name, 0, send.endpoint_id, Outcome.OK, 1_000, True))


def make() -> Handler:
    pulse = Pulse()

    async def handle(order: Order) -> Any:
        match order["do"]:
            case "pulse":
                return pulse.start([(host, port) for host, port in order["gateways"]])
            case "still":
                return await pulse.stop()
            case "hollow":
                played = changes(order["seed"], order["tenants"], order["changes"])
                return hollow(order["path"], order["count"], order["seed"], played)
        raise ValueError(f"unknown order {order['do']!r}")

    return handle


if __name__ == "__main__":
    obey(make)
