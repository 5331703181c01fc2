"""Changes of one tenant, the file that says so, and what they cost a Balancer. Also a child of a run."""

from __future__ import annotations

import gc
import json
import time
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, assert_never

import psutil

from lab import fleet, schedule
from lab.child import Handler, serve
from lab.messages import ChangeCommand, ChangeCosts, MeasureChanges, StartPolling, StopPolling
from lab.readiness import ReadinessPoll
from lab.stalls import StallMonitor, now
from load_balancer.config.file import read_steps
from load_balancer.config.steps import run_to_completion
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

PLACEHOLDER = "the tenants stand here"
TIMEOUT_US = 2_000_000
MAX_SPAN_S = 60.0  # spent on the changes
WARM_UP_REQUESTS = 500  # that each balancer has had, so that there is state to carry


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
        settings = {**raw["settings"], "tenants": [PLACEHOLDER]}
        self.head, self.tail = json.dumps({**raw, "settings": settings}).split(json.dumps(PLACEHOLDER))

    def apply(self, change: Change) -> None:
        """Add or drop the change's tenant."""
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
        """Write it where no gateway reads; returns how many bytes."""
        return path.write_bytes(f"{self.head}{', '.join(self.tenants)}{self.tail}".encode())


def measure_changes(path: str, count: int, seed: int, played: list[Change]) -> ChangeCosts:
    """Make changes to `count` balancers at the size of a configuration file."""
    process, file, balancers = psutil.Process(), Path(path).with_suffix(".new"), list[Balancer]()
    document, environ = (
        Document(json.loads(Path(path).read_text(encoding="utf-8"))),
        {"ROUTER_CONFIG": str(file)},
    )
    document.write(file)
    config = run_to_completion(read_steps(environ))
    listed = parse_list(config.cached_endpoint_list, config.names).to_balancer_event().endpoints
    config.cached_endpoint_list.clear()
    gc.collect()
    base = process.memory_info().rss
    for n in range(count):
        balancer = Balancer(config.settings, seed + n)
        balancer.handle(0, EndpointListReceived(ListKind.COMPLETE, listed))
        warm_up(balancer, seed + n, len(config.settings.classes), len(config.settings.tenants))
        balancers.append(balancer)
    gc.collect()
    gc.freeze()  # as the gateway does once it has started
    held, steady, lookup = process.memory_info().rss, StallMonitor(), run_to_completion(lookup_steps(config))
    gc.callbacks.append(steady.collecting)
    began_s, done = time.monotonic(), 0
    try:
        for change in played:
            if time.monotonic() - began_s > MAX_SPAN_S:
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
    return ChangeCosts(
        balancers=count,
        changes=done,
        steps=steady.result(),
        bytes_each=(held - base) / count,
        bytes_each_after=(process.memory_info().rss - base) / count,
    )


def warm_up(balancer: Balancer, seed: int, routes: int, tenants: int) -> None:
    """Serve requests at once, so that there is state of classes, tenants and endpoints to carry."""
    asked = schedule.requests(seed, "met", float(WARM_UP_REQUESTS), 1.0, routes, tenants, 1)
    for n, (route, tenant) in enumerate(zip(asked.routes, asked.tenants, strict=True)):
        name, now_us = f"met {n}", 1_000_000 + 2_000 * n
        actions = balancer.handle(now_us, RequestArrived(name, route, TIMEOUT_US, n, tenant=tenant))
        for send in [action for action in actions if isinstance(action, Send)][:1]:
            balancer.handle(now_us + 1_000, AttemptEnded(name, 0, send.endpoint_id, Outcome.OK, 1_000, True))


class ChangesChild:
    """Polls gateways and measures changes of settings, on command."""

    def __init__(self) -> None:
        self.poll = ReadinessPoll()

    async def handle(self, command: ChangeCommand) -> Any:
        """Carry out a command; returns its answer."""
        match command:
            case StartPolling():
                return self.poll.start(command.gateways)
            case StopPolling():
                return await self.poll.stop()
            case MeasureChanges():
                played = changes(command.seed, command.tenants, command.changes)
                return measure_changes(command.path, command.count, command.seed, played)
            case _:
                assert_never(command)


def create_handler() -> Handler[ChangeCommand]:
    """The handler of commands."""
    return ChangesChild().handle


if __name__ == "__main__":
    serve(create_handler, ChangeCommand)
