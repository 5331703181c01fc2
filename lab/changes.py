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
from lab.gateway_messages import (
    ChangeCommand,
    ChangeCosts,
    MeasureChanges,
    StartPolling,
    StopPolling,
)
from lab.readiness import ReadinessPoll
from lab.stalls import StallMonitor, now
from load_balancer.config.file import load_config_steps
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
from load_balancer.gateway.request_parsing import RequestLookup, lookup_steps

PLACEHOLDER = "the tenants stand here"
TIMEOUT_US = 2_000_000
MAX_SPAN_S = 60.0  # spent on the changes
WARM_UP_REQUESTS = 500  # that each balancer has had, so that there is state to carry


@dataclass(frozen=True)
class Change:
    """A tenant is added or removed, at an index among the others."""

    added: bool
    number: int  # of the tenant's name
    index: int
    allowance: float  # requests a second


def changes(seed: int, tenants: int, count: int) -> list[Change]:
    """Add a new tenant and remove it again, in turn: there is at most one beside the `tenants`."""
    rng = schedule.stream(seed, "changes")
    found: list[Change] = []
    for number in range(count):
        index = int(rng.integers(tenants + 1))
        allowance = float(rng.integers(1, 1_000_000))
        last = found[-1] if found else None
        if last is not None and last.added:
            found.append(replace(last, added=False))
        else:
            found.append(Change(True, tenants + number, index, allowance))
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
            del self.tenants[change.index]
            return
        tenant = {
            "name": fleet.tenant_name(change.number),
            "allowancePerS": change.allowance,
            "fraction": self.fraction,
        }
        self.tenants.insert(change.index, json.dumps(tenant))

    def write(self, path: Path) -> int:
        """Write it where no gateway reads; returns how many bytes."""
        return path.write_bytes(f"{self.head}{', '.join(self.tenants)}{self.tail}".encode())


class ChangeMeasurement:
    """Balancers at the size of a configuration file, and the changes of its settings that are made to them.

    The configuration and the lookup tables of before are released with each change, as in the gateway.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.with_suffix(".new")
        self.document = Document(json.loads(path.read_text(encoding="utf-8")))
        self.environ = {"ROUTER_CONFIG": str(self.file)}
        self.document.write(self.file)
        self.config = run_to_completion(load_config_steps(self.environ))
        self.endpoints = (
            parse_list(self.config.cached_endpoint_list, self.config.names).to_balancer_event().endpoints
        )
        self.config.cached_endpoint_list.clear()
        self.lookup: RequestLookup | None = None
        self.balancers: list[Balancer] = []
        self.stalls = StallMonitor()

    def start_balancers(self, count: int, seed: int) -> None:
        """Start balancers that know the endpoints and have served requests."""
        settings = self.config.settings
        for index in range(count):
            balancer = Balancer(settings, seed + index)
            balancer.handle(0, EndpointListReceived(ListKind.COMPLETE, self.endpoints))
            warm_up(balancer, seed + index, len(settings.classes), len(settings.tenants))
            self.balancers.append(balancer)

    def make_changes(self, changes_to_make: list[Change]) -> int:
        """Make changes until MAX_SPAN_S has passed; returns how many were made."""
        self.lookup = run_to_completion(lookup_steps(self.config))
        gc.callbacks.append(self.stalls.collecting)
        started_s = time.monotonic()
        made = 0
        try:
            for change in changes_to_make:
                if time.monotonic() - started_s > MAX_SPAN_S:
                    break
                made += 1
                self.make_change(change)
        finally:
            gc.callbacks.remove(self.stalls.collecting)
        return made

    def make_change(self, change: Change) -> None:
        """Write a change to the file, read it, and give its settings to all balancers."""
        self.document.apply(change)
        self.document.write(self.file)
        self.config = self.stalls.take("read_steps", load_config_steps(self.environ, self.config))
        self.lookup = self.stalls.take("lookup_steps", lookup_steps(self.config, self.lookup))
        for balancer in self.balancers:
            steps = next_version(balancer.settings_version, self.config.settings)
            event = SettingsChanged(self.stalls.take("next_generation", steps))
            began = now()
            balancer.handle(balancer.context.now_us + 1, event)
            self.stalls.note("handle(SettingsChanged)", began)


def measure_changes(path: str, count: int, seed: int, changes_to_make: list[Change]) -> ChangeCosts:
    """Make changes to `count` balancers at the size of a configuration file."""
    process = psutil.Process()
    measurement = ChangeMeasurement(Path(path))
    gc.collect()
    base_bytes = process.memory_info().rss
    measurement.start_balancers(count, seed)
    gc.collect()
    gc.freeze()  # as the gateway does once it has started
    started_bytes = process.memory_info().rss
    made = measurement.make_changes(changes_to_make)
    gc.collect()
    return ChangeCosts(
        balancers=count,
        changes=made,
        steps=measurement.stalls.result(),
        bytes_each=(started_bytes - base_bytes) / count,
        bytes_each_after=(process.memory_info().rss - base_bytes) / count,
    )


def warm_up(balancer: Balancer, seed: int, routes: int, tenants: int) -> None:
    """Serve requests at once, so that there is state of classes, tenants and endpoints to carry."""
    requests = schedule.requests(seed, "met", float(WARM_UP_REQUESTS), 1.0, routes, tenants, 1)
    for number, (route, tenant) in enumerate(zip(requests.routes, requests.tenants, strict=True)):
        request_id = f"met {number}"
        now_us = 1_000_000 + 2_000 * number
        arrived = RequestArrived(request_id, route, TIMEOUT_US, number, tenant=tenant)
        sends = [action for action in balancer.handle(now_us, arrived) if isinstance(action, Send)]
        for send in sends[:1]:
            ended = AttemptEnded(request_id, 0, send.endpoint_id, Outcome.OK, 1_000, True)
            balancer.handle(now_us + 1_000, ended)


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
                changes_to_make = changes(command.seed, command.tenants, command.changes)
                return measure_changes(command.path, command.count, command.seed, changes_to_make)
            case _:
                assert_never(command)


def create_handler() -> Handler[ChangeCommand]:
    """The handler of commands."""
    return ChangesChild().handle


if __name__ == "__main__":
    serve(create_handler, ChangeCommand)
