"""Changes of one tenant in a configuration file, and what they cost a Balancer.

Run as a program, it is the child process of a reload run that polls gateways and measures such changes.
"""

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
from lab.readiness import ReadinessPoller
from lab.stalls import StallMonitor, read_clocks
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

PLACEHOLDER = "placeholder for the tenants"  # text that occurs nowhere else in a configuration
TIMEOUT_US = 2_000_000
MAX_CHANGES_DURATION_S = 60.0  # no change is started after this time
# Requests that each balancer serves before the changes, so that it has state to carry over to new settings.
WARM_UP_REQUESTS = 500


@dataclass(frozen=True)
class TenantChange:
    """A tenant that is added or removed.

    Attributes:
        added: Whether the tenant is added; otherwise it is removed.
        tenant_number: The number in the tenant's name.
        index: The tenant's position among all tenants.
        allowance_per_s: The tenant's quota in requests per second.
    """

    added: bool
    tenant_number: int
    index: int
    allowance_per_s: float


def generate_changes(seed: int, tenants: int, count: int) -> list[TenantChange]:
    """Return seeded changes that alternately add a new tenant and remove it again.

    At any time there is at most one tenant besides the first `tenants`.
    """
    rng = schedule.stream(seed, "changes")
    generated: list[TenantChange] = []
    for number in range(count):
        index = int(rng.integers(tenants + 1))
        allowance_per_s = float(rng.integers(1, 1_000_000))
        previous = generated[-1] if generated else None
        if previous is not None and previous.added:
            generated.append(replace(previous, added=False))
        else:
            generated.append(TenantChange(True, tenants + number, index, allowance_per_s))
    return generated


class ConfigDocument:
    """The text of a configuration file in which tenants change and the rest stays byte for byte."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.tenants = [json.dumps(tenant) for tenant in raw["settings"]["tenants"]]
        self.fraction = 1.0 / len(self.tenants)
        settings = {**raw["settings"], "tenants": [PLACEHOLDER]}
        self.text_before, self.text_after = json.dumps({**raw, "settings": settings}).split(
            json.dumps(PLACEHOLDER)
        )

    def apply(self, change: TenantChange) -> None:
        """Add or remove the tenant of a change."""
        if not change.added:
            del self.tenants[change.index]
            return
        tenant = {
            "name": fleet.tenant_name(change.tenant_number),
            "allowancePerS": change.allowance_per_s,
            "fraction": self.fraction,
        }
        self.tenants.insert(change.index, json.dumps(tenant))

    def write(self, path: Path) -> int:
        """Write the configuration to a file that no gateway reads, and return its length in bytes."""
        return path.write_bytes(f"{self.text_before}{', '.join(self.tenants)}{self.text_after}".encode())


class ChangeMeasurement:
    """Applies changes of a configuration file to Balancers and measures their steps.

    As in the gateway, each change releases the previous configuration and lookup tables.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.with_suffix(".new")
        self.document = ConfigDocument(json.loads(path.read_text(encoding="utf-8")))
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
        """Create balancers that know the endpoints and have served requests."""
        settings = self.config.settings
        for index in range(count):
            balancer = Balancer(settings, seed + index)
            balancer.handle(0, EndpointListReceived(ListKind.COMPLETE, self.endpoints))
            warm_up(balancer, seed + index, len(settings.classes), len(settings.tenants))
            self.balancers.append(balancer)

    def make_changes(self, changes_to_make: list[TenantChange]) -> int:
        """Make changes until MAX_CHANGES_DURATION_S has passed, and return how many were made."""
        self.lookup = run_to_completion(lookup_steps(self.config))
        gc.callbacks.append(self.stalls.on_collection)
        started_s = time.monotonic()
        made = 0
        try:
            for change in changes_to_make:
                if time.monotonic() - started_s > MAX_CHANGES_DURATION_S:
                    break
                made += 1
                self.make_change(change)
        finally:
            gc.callbacks.remove(self.stalls.on_collection)
        return made

    def make_change(self, change: TenantChange) -> None:
        """Write a change to the file, load the file, and pass its settings to all balancers."""
        self.document.apply(change)
        self.document.write(self.file)
        self.config = self.stalls.run_steps("read_steps", load_config_steps(self.environ, self.config))
        self.lookup = self.stalls.run_steps("lookup_steps", lookup_steps(self.config, self.lookup))
        for balancer in self.balancers:
            steps = next_version(balancer.settings_version, self.config.settings)
            event = SettingsChanged(self.stalls.run_steps("next_generation", steps))
            began = read_clocks()
            balancer.handle(balancer.context.now_us + 1, event)
            self.stalls.record("handle(SettingsChanged)", began)


def measure_changes(path: str, count: int, seed: int, changes_to_make: list[TenantChange]) -> ChangeCosts:
    """Apply changes of a configuration file to `count` balancers and return their costs."""
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
        steps=measurement.stalls.costs(),
        bytes_each=(started_bytes - base_bytes) / count,
        bytes_each_after=(process.memory_info().rss - base_bytes) / count,
    )


def warm_up(balancer: Balancer, seed: int, routes: int, tenants: int) -> None:
    """Serve requests, so that the balancer has state of classes, tenants and endpoints."""
    requests = schedule.requests(seed, "met", float(WARM_UP_REQUESTS), 1.0, routes, tenants, 1)
    for request_number, (route, tenant) in enumerate(zip(requests.routes, requests.tenants, strict=True)):
        request_id = f"met {request_number}"
        now_us = 1_000_000 + 2_000 * request_number
        arrived = RequestArrived(request_id, route, TIMEOUT_US, request_number, tenant=tenant)
        sends = [action for action in balancer.handle(now_us, arrived) if isinstance(action, Send)]
        for send in sends[:1]:
            ended = AttemptEnded(request_id, 0, send.endpoint_id, Outcome.OK, 1_000, True)
            balancer.handle(now_us + 1_000, ended)


class ChangesChild:
    """Polls gateways and measures changes of settings when the parent process requests it."""

    def __init__(self) -> None:
        self.poller = ReadinessPoller()

    async def handle(self, command: ChangeCommand) -> Any:
        """Execute a command and return its answer."""
        match command:
            case StartPolling():
                return self.poller.start(command.gateways)
            case StopPolling():
                return await self.poller.stop()
            case MeasureChanges():
                changes_to_make = generate_changes(command.seed, command.tenants, command.changes)
                return measure_changes(command.path, command.count, command.seed, changes_to_make)
            case _:
                assert_never(command)


def create_handler() -> Handler[ChangeCommand]:
    """Return the handler of commands."""
    return ChangesChild().handle


if __name__ == "__main__":
    serve(create_handler, ChangeCommand)
