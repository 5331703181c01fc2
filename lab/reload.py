"""The reload run: what a change of one tenant costs real gateways under way, and how soon it is in force."""

from __future__ import annotations

import asyncio
import math
import time
from pathlib import Path
from typing import Any

import msgspec

from lab import fit, records
from lab.change_driver import ChangeDriver
from lab.changes import changes
from lab.child import Histogram
from lab.figures import check_schedule, machine
from lab.gateway_messages import (
    MeasureChanges,
    StartPolling,
    StopPolling,
)
from lab.processes import Children, MemoryBoundError
from lab.rig import ReportProgress, Rig
from lab.scale import WARM_UP_S

DAY_S = 86_400
DAILY = 380  # changes a day that operators make
TIMES = 10  # as often, for which the cost is counted
GATEWAYS = 490
PAUSE_MS = 5.0
LEAST_CHANGES = 3
SAMPLES = 20  # of memory
CHANGES_ALONE = 5  # changes whose processor time is counted, with nothing else under way
MIN_WAIT_S = 0.2  # for each, at least
WAIT_FACTOR = 3.0  # as long as the slowest change so far
MAX_SIMULATED_CHANGES = 100  # the first ones

LATENCIES = ("p50_ms", "p99_ms", "most_ms")


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A run's sizes; result.json holds them under their encoded names."""

    servers: int
    routes: int
    tenants: int
    real: int
    simulated: int = msgspec.field(name="hollow")
    rate: float  # requests a second to each real gateway, and as many straight
    seconds: float  # of requests without changes, and as long with them
    every_s: float  # between two changes while requests go on
    changes: int  # one after the other afterwards
    seed: int
    memory_mb: int
    late_ms: float

    @property
    def changes_with_requests(self) -> int:
        """Changes while requests go on."""
        return max(LEAST_CHANGES, int(self.seconds / self.every_s))

    @property
    def lasts_s(self) -> float:
        """Seconds of requests, once with changes and once without."""
        return max(self.seconds, self.changes_with_requests * self.every_s) + WARM_UP_S


def make_scale_plan(plan: Plan) -> records.Plan:
    """The sizes of the parts that are in common."""
    return records.Plan(
        servers=plan.servers,
        routes=plan.routes,
        tenants=plan.tenants,
        simulated=plan.simulated,
        real=plan.real,
        seed=plan.seed,
        rate=plan.rate * plan.real,
        simulated_rate=0.0,
        seconds=plan.lasts_s,
        sweep_s=0.0,
        scenarios=(),
        memory_mb=plan.memory_mb,
        late_ms=plan.late_ms,
    )


class Reload:
    """The parts of a run; those that it has in common with `lab scale` are the rig's."""

    def __init__(self, plan: Plan, children: Children, out: Path, report_progress: ReportProgress) -> None:
        self.plan = plan
        self.report_progress = report_progress
        self.rig = Rig(make_scale_plan(plan), children, out, report_progress)
        self.driver = ChangeDriver(
            changes(plan.seed, plan.tenants, plan.changes_with_requests + CHANGES_ALONE + plan.changes),
            self.rig.problems,
        )

    async def open(self) -> None:
        """Start all processes, and read the gateways' files."""
        rig = self.rig
        await rig.open()
        await rig.set_fleet(self.plan.servers)
        await rig.start_real_gateways()
        self.poller = await rig.children.start("pulse", "lab.changes")
        for gateway in rig.real_gateways:
            self.driver.add(gateway, rig.out / "logs" / f"{gateway.child.name}.json")

    async def with_clients(self, every_s: float | None) -> dict[str, Any]:
        """Requests for a while, through the gateways and straight; with changes, or without."""
        plan = self.plan
        rig = self.rig
        hists: dict[str, Histogram] = {}
        finish = await rig.play_clients(
            rig.real_gateways,
            plan.rate * plan.real,
            plan.lasts_s,
            plan.routes,
            plan.tenants,
            warm_up_s=WARM_UP_S,
        )
        begins = time.monotonic() + WARM_UP_S
        await self.poller.execute(StartPolling(gateways=[gateway.address for gateway in rig.real_gateways]))
        for n in range(plan.changes_with_requests if every_s else 0):
            await asyncio.sleep(max(0.0, begins + (n + 0.25) * plan.every_s - time.monotonic()))
            await self.driver.make_change(hists)
        targets = await finish()
        found: dict[str, Any] = {
            name: {**(Histogram(target.latency).summary() or {}), "answers": target.counts}
            for name, target in targets.items()
        }
        found["loop"] = Histogram(await self.poller.execute(StopPolling())).summary()
        return found | ({"in_force": summaries(hists)} if every_s else {})

    async def alone(self) -> dict[str, Any]:
        """Processor time of a change with no request under way, and no look until it is over."""
        reals = self.rig.real_gateways
        spent: list[float] = []
        idle: list[float] = []
        for _ in range(CHANGES_ALONE):
            wait_s = max(MIN_WAIT_S, WAIT_FACTOR * self.driver.slowest_s)
            change = await self.driver.write()
            for signals, into in ((False, idle), (True, spent)):
                before = [gateway.child.cpu_s() for gateway in reals]
                if signals:
                    for gateway in reals:
                        self.driver.signal(gateway)
                await asyncio.sleep(wait_s)
                into += [
                    gateway.child.cpu_s() - before_s for gateway, before_s in zip(reals, before, strict=True)
                ]
            for gateway in reals:
                reader, writer = await asyncio.open_connection(*gateway.address)
                if (await self.driver.ask(reader, writer, change))[0] != (200 if change.added else 400):
                    self.rig.problems.broken.append(f"a change was not in force after {wait_s:g} s")
                writer.close()
        each_s = (sum(spent) - sum(idle)) / len(spent)
        share = DAILY * TIMES * GATEWAYS * each_s / DAY_S
        return {
            "changes": CHANGES_ALONE,
            "cpu_s_each": each_s,
            "cpu_s_most": max(spent),
            "idle_cpu_s_each": sum(idle) / len(idle),
            "file_bytes": self.driver.file_bytes,
            "fleet_cores": share,
            "gateway_core_share": share / GATEWAYS,
            "arithmetic": f"{DAILY} changes a day x {TIMES} x {GATEWAYS} gateways x {each_s:.4f} s "
            f"/ {DAY_S} s = {share:.3f} cores in all, {share / GATEWAYS:.2e} of a core at each gateway",
        }

    async def many(self) -> dict[str, Any]:
        """Changes one after the other without a wait; the memory that each gateway holds in between."""
        plan = self.plan
        rig = self.rig
        hists: dict[str, Histogram] = {}
        every = max(1, plan.changes // SAMPLES)
        held: dict[str, list[int]] = {
            gateway.child.name: [gateway.child.resident_bytes()] for gateway in rig.real_gateways
        }
        counts = [0]
        began = time.monotonic()
        before = sum(gateway.child.cpu_s() for gateway in rig.real_gateways)
        for n in range(1, plan.changes + 1):
            await self.driver.make_change(hists)
            if n % every == 0:
                counts.append(n)
                for gateway in rig.real_gateways:
                    held[gateway.child.name].append(gateway.child.resident_bytes())
                self.report_progress(f"{n} changes")
        cpu_s = sum(gateway.child.cpu_s() for gateway in rig.real_gateways) - before
        warm = next((k for k, count in enumerate(counts) if count >= plan.changes / 10), 0)
        return {
            "changes": plan.changes,
            "took_s": time.monotonic() - began,
            "in_force": summaries(hists),
            "cpu_s_each_with_polls": cpu_s / plan.changes / len(rig.real_gateways),
            "memory": {
                name: {
                    "first_bytes": bytes_[0],
                    "after_a_tenth_bytes": bytes_[warm],
                    "last_bytes": bytes_[-1],
                    "line": fit.fit_line(counts[warm:], bytes_[warm:]),
                }
                for name, bytes_ in held.items()
            },
        }

    async def simulated(self) -> dict[str, Any]:
        """The same changes at simulated gateways, step by step."""
        plan = self.plan
        path, _ = self.rig.write_config("hollow", plan.servers, plan.routes, plan.tenants, 0, plan.real)
        child = await self.rig.children.start("hollow", "lab.changes")
        command = MeasureChanges(
            path=str(path.resolve()),
            count=plan.simulated,
            seed=plan.seed,
            tenants=plan.tenants,
            changes=min(plan.changes, MAX_SIMULATED_CHANGES),
        )
        found: dict[str, Any] = msgspec.to_builtins(await child.execute(command))
        return found


def summaries(hists: dict[str, Histogram]) -> dict[str, Any]:
    """The summary of each histogram."""
    return {what: hist.summary() for what, hist in hists.items()}


def compare(quiet: dict[str, Any], changed: dict[str, Any]) -> dict[str, Any]:
    """What changes add to requests through gateways, straight ones and answers of the loop alone."""
    added = {
        who: {what: changed[who][what] - quiet[who][what] for what in LATENCIES}
        for who in ("gateway", "direct", "loop")
        if changed[who]
        and quiet[who]
        and all(what in changed[who] and what in quiet[who] for what in LATENCIES)
    }
    most = [added.get(who, {}).get("most_ms", math.nan) for who in ("gateway", "loop")]
    return {"added": added, "pause_over_5_ms": most[0] > PAUSE_MS, "loop_over_5_ms": most[1] > PAUSE_MS}


async def play(plan: Plan, out: Path, report_progress: ReportProgress) -> dict[str, Any]:
    """The whole run; every child has ended when it returns, also by an exception."""
    began, figures = time.monotonic(), dict[str, Any]()
    logs = out / "logs"
    logs.mkdir(parents=True, exist_ok=True)
    async with Children(plan.memory_mb, logs) as children:
        run = Reload(plan, children, out, report_progress)
        try:
            await run.open()
            report_progress(f"requests without changes: {plan.lasts_s:g} s")
            quiet = figures["quiet"] = await run.with_clients(None)
            report_progress(f"requests and {plan.changes_with_requests} changes: {plan.lasts_s:g} s")
            changed = figures["changes"] = await run.with_clients(plan.every_s)
            changed["count"], changed["every_s"] = plan.changes_with_requests, plan.every_s
            changed["a_day"] = DAY_S / plan.every_s
            changed["times_daily"] = DAY_S / plan.every_s / DAILY
            figures |= compare(quiet, changed)
            report_progress(f"{CHANGES_ALONE} changes alone")
            figures["alone"] = await run.alone()
            report_progress(f"{plan.changes} changes one after the other")
            figures["many"] = await run.many()
            report_progress(f"{plan.simulated} hollow gateways")
            figures["hollow"] = await run.simulated()
        except MemoryBoundError as error:
            run.rig.problems.over_bound.append(str(error))
        schedule = check_schedule(run.rig.problems, plan.late_ms)
        return {
            "plan": msgspec.to_builtins(plan),
            "machine": machine(),
            "took_s": time.monotonic() - began,
            "schedule": schedule,
            "over_bound": run.rig.problems.over_bound,
            "broken": list(dict.fromkeys(run.rig.problems.broken)),
            "memory_most_mb": children.peak_bytes / 1e6,
            "figures" if schedule["kept"] else "void": figures,
        }
