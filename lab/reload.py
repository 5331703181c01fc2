"""The reload run: what a change of one tenant costs running gateways, and how soon it is in force."""

from __future__ import annotations

import asyncio
import math
import time
from pathlib import Path
from typing import Any

import msgspec

from lab import fit, records
from lab.change_driver import ChangeDriver
from lab.changes import generate_changes
from lab.child import Histogram
from lab.figures import check_schedule, machine_info
from lab.gateway_messages import (
    MeasureChanges,
    StartPolling,
    StopPolling,
)
from lab.processes import Children, MemoryBoundError
from lab.rig import ReportProgress, Rig
from lab.scale import WARM_UP_S

DAY_S = 86_400
CHANGES_PER_DAY = 380  # configuration changes that operators make in a day
RATE_FACTOR = 10  # the CPU cost is extrapolated to this multiple of the daily changes
FLEET_GATEWAYS = 490  # gateways that the CPU cost is extrapolated to
MAX_PAUSE_MS = 5.0  # a change that adds more than this to the largest latency is reported as a pause
MIN_CHANGES = 3
MEMORY_SAMPLES = 20  # memory measurements during the consecutive changes
ISOLATED_CHANGES = 5  # changes whose CPU time is measured without any requests
MIN_WAIT_S = 0.2  # the CPU time of an isolated change is measured over at least this time
WAIT_FACTOR = 3.0  # and over at least this multiple of the slowest change so far
MAX_SIMULATED_CHANGES = 100  # simulated gateways make no more changes than this

LATENCY_KEYS = ("p50_ms", "p99_ms", "most_ms")


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of a run; result.json stores them under their encoded names.

    Attributes:
        servers: Endpoints in the fleet.
        routes: Routes in the configuration.
        tenants: Tenants in the configuration.
        real: Real gateways.
        simulated: Simulated gateways.
        rate: Requests per second to each real gateway; as many are sent directly to endpoints.
        seconds: Duration of the requests without changes, and again of the requests with changes.
        every_s: Time between two changes during requests.
        changes: Changes made afterwards, one immediately after the other.
        seed: The seed of the schedules.
        memory_mb: Bound on the resident memory of all child processes together, in megabytes.
        late_ms: Largest lateness at p99, in milliseconds, with which the schedule counts as kept.
    """

    servers: int
    routes: int
    tenants: int
    real: int
    simulated: int = msgspec.field(name="hollow")
    rate: float
    seconds: float
    every_s: float
    changes: int
    seed: int
    memory_mb: int
    late_ms: float

    @property
    def changes_with_requests(self) -> int:
        """Number of changes made during requests."""
        return max(MIN_CHANGES, int(self.seconds / self.every_s))

    @property
    def request_phase_s(self) -> float:
        """Duration of each of the two phases with requests, warm-up included."""
        return max(self.seconds, self.changes_with_requests * self.every_s) + WARM_UP_S


def make_scale_plan(plan: Plan) -> records.Plan:
    """Return the plan of a scale run with the same sizes, for the rig."""
    return records.Plan(
        servers=plan.servers,
        routes=plan.routes,
        tenants=plan.tenants,
        simulated=plan.simulated,
        real=plan.real,
        seed=plan.seed,
        rate=plan.rate * plan.real,
        simulated_rate=0.0,
        seconds=plan.request_phase_s,
        sweep_s=0.0,
        scenarios=(),
        memory_mb=plan.memory_mb,
        late_ms=plan.late_ms,
    )


class ReloadRun:
    """Runs the phases of a reload run; the rig starts the processes that `lab scale` uses too."""

    def __init__(self, plan: Plan, children: Children, out: Path, report_progress: ReportProgress) -> None:
        self.plan = plan
        self.report_progress = report_progress
        self.rig = Rig(make_scale_plan(plan), children, out, report_progress)
        self.driver = ChangeDriver(
            generate_changes(
                plan.seed, plan.tenants, plan.changes_with_requests + ISOLATED_CHANGES + plan.changes
            ),
            self.rig.problems,
        )

    async def open(self) -> None:
        """Start all processes and read the configuration files of the gateways."""
        rig = self.rig
        await rig.open()
        await rig.set_fleet(self.plan.servers)
        await rig.start_real_gateways()
        self.poller = await rig.children.start("pulse", "lab.changes")
        for gateway in rig.real_gateways:
            self.driver.add_gateway(gateway, rig.out / "logs" / f"{gateway.child.name}.json")

    async def play_requests(self, every_s: float | None) -> dict[str, Any]:
        """Send requests through gateways and directly to endpoints; make changes unless `every_s` is None."""
        plan = self.plan
        rig = self.rig
        histograms: dict[str, Histogram] = {}
        finish = await rig.play_clients(
            rig.real_gateways,
            plan.rate * plan.real,
            plan.request_phase_s,
            plan.routes,
            plan.tenants,
            warm_up_s=WARM_UP_S,
        )
        start_s = time.monotonic() + WARM_UP_S
        await self.poller.execute(StartPolling(gateways=[gateway.address for gateway in rig.real_gateways]))
        for number in range(plan.changes_with_requests if every_s else 0):
            await asyncio.sleep(max(0.0, start_s + (number + 0.25) * plan.every_s - time.monotonic()))
            await self.driver.make_change(histograms)
        targets = await finish()
        result: dict[str, Any] = {
            name: {**(Histogram(target_result.latency).summary() or {}), "answers": target_result.counts}
            for name, target_result in targets.items()
        }
        result["loop"] = Histogram(await self.poller.execute(StopPolling())).summary()
        return result | ({"in_force": summaries(histograms)} if every_s else {})

    async def measure_isolated_changes(self) -> dict[str, Any]:
        """Measure the CPU time of changes while no request or probe is in flight."""
        reals = self.rig.real_gateways
        changed_cpu_s: list[float] = []
        idle_cpu_s: list[float] = []
        for _ in range(ISOLATED_CHANGES):
            wait_s = max(MIN_WAIT_S, WAIT_FACTOR * self.driver.slowest_s)
            change = await self.driver.write_next_change()
            for send_signals, cpu_samples in ((False, idle_cpu_s), (True, changed_cpu_s)):
                before = [gateway.child.cpu_s() for gateway in reals]
                if send_signals:
                    for gateway in reals:
                        self.driver.signal_reload(gateway)
                await asyncio.sleep(wait_s)
                cpu_samples += [
                    gateway.child.cpu_s() - before_s for gateway, before_s in zip(reals, before, strict=True)
                ]
            for gateway in reals:
                reader, writer = await asyncio.open_connection(*gateway.address)
                if (await self.driver.send_probe(reader, writer, change))[0] != (
                    200 if change.added else 400
                ):
                    self.rig.problems.broken.append(f"a change was not in force after {wait_s:g} s")
                writer.close()
        cpu_s_each = (sum(changed_cpu_s) - sum(idle_cpu_s)) / len(changed_cpu_s)
        fleet_cores = CHANGES_PER_DAY * RATE_FACTOR * FLEET_GATEWAYS * cpu_s_each / DAY_S
        return {
            "changes": ISOLATED_CHANGES,
            "cpu_s_each": cpu_s_each,
            "cpu_s_most": max(changed_cpu_s),
            "idle_cpu_s_each": sum(idle_cpu_s) / len(idle_cpu_s),
            "file_bytes": self.driver.file_bytes,
            "fleet_cores": fleet_cores,
            "gateway_core_share": fleet_cores / FLEET_GATEWAYS,
            "arithmetic": f"{CHANGES_PER_DAY} changes a day x {RATE_FACTOR} x {FLEET_GATEWAYS} gateways "
            f"x {cpu_s_each:.4f} s / {DAY_S} s = {fleet_cores:.3f} cores in all, "
            f"{fleet_cores / FLEET_GATEWAYS:.2e} of a core at each gateway",
        }

    async def measure_consecutive_changes(self) -> dict[str, Any]:
        """Make changes without pauses, and measure the memory of each gateway between them."""
        plan = self.plan
        rig = self.rig
        histograms: dict[str, Histogram] = {}
        sample_interval = max(1, plan.changes // MEMORY_SAMPLES)
        resident_bytes: dict[str, list[int]] = {
            gateway.child.name: [gateway.child.resident_bytes()] for gateway in rig.real_gateways
        }
        counts = [0]
        started_s = time.monotonic()
        before = sum(gateway.child.cpu_s() for gateway in rig.real_gateways)
        for number in range(1, plan.changes + 1):
            await self.driver.make_change(histograms)
            if number % sample_interval == 0:
                counts.append(number)
                for gateway in rig.real_gateways:
                    resident_bytes[gateway.child.name].append(gateway.child.resident_bytes())
                self.report_progress(f"{number} changes")
        cpu_s = sum(gateway.child.cpu_s() for gateway in rig.real_gateways) - before
        first_sample = next(
            (index for index, change_count in enumerate(counts) if change_count >= plan.changes / 10), 0
        )
        return {
            "changes": plan.changes,
            "took_s": time.monotonic() - started_s,
            "in_force": summaries(histograms),
            "cpu_s_each_with_polls": cpu_s / plan.changes / len(rig.real_gateways),
            "memory": {
                name: {
                    "first_bytes": samples[0],
                    "after_a_tenth_bytes": samples[first_sample],
                    "last_bytes": samples[-1],
                    "line": fit.fit_line(counts[first_sample:], samples[first_sample:]),
                }
                for name, samples in resident_bytes.items()
            },
        }

    async def measure_simulated(self) -> dict[str, Any]:
        """Make changes from the same seed at simulated gateways and return the cost of their steps."""
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
        result: dict[str, Any] = msgspec.to_builtins(await child.execute(command))
        return result


def summaries(histograms: dict[str, Histogram]) -> dict[str, Any]:
    """Return the summary of each histogram."""
    return {key: histogram.summary() for key, histogram in histograms.items()}


def compare_phases(without_changes: dict[str, Any], with_changes: dict[str, Any]) -> dict[str, Any]:
    """Return the latency that changes add to requests through gateways, direct requests and polls."""
    added = {
        target: {key: with_changes[target][key] - without_changes[target][key] for key in LATENCY_KEYS}
        for target in ("gateway", "direct", "loop")
        if with_changes[target]
        and without_changes[target]
        and all(key in with_changes[target] and key in without_changes[target] for key in LATENCY_KEYS)
    }
    max_added_ms = [added.get(target, {}).get("most_ms", math.nan) for target in ("gateway", "loop")]
    return {
        "added": added,
        "pause_over_5_ms": max_added_ms[0] > MAX_PAUSE_MS,
        "loop_over_5_ms": max_added_ms[1] > MAX_PAUSE_MS,
    }


async def play(plan: Plan, out: Path, report_progress: ReportProgress) -> dict[str, Any]:
    """Play the run and return its result; all child processes end, also if an exception is raised."""
    started_s, figures = time.monotonic(), dict[str, Any]()
    logs = out / "logs"
    logs.mkdir(parents=True, exist_ok=True)
    async with Children(plan.memory_mb, logs) as children:
        run = ReloadRun(plan, children, out, report_progress)
        try:
            await run.open()
            report_progress(f"requests without changes: {plan.request_phase_s:g} s")
            without_changes = figures["quiet"] = await run.play_requests(None)
            report_progress(f"requests and {plan.changes_with_requests} changes: {plan.request_phase_s:g} s")
            with_changes = figures["changes"] = await run.play_requests(plan.every_s)
            with_changes["count"], with_changes["every_s"] = plan.changes_with_requests, plan.every_s
            with_changes["a_day"] = DAY_S / plan.every_s
            with_changes["times_daily"] = DAY_S / plan.every_s / CHANGES_PER_DAY
            figures |= compare_phases(without_changes, with_changes)
            report_progress(f"{ISOLATED_CHANGES} changes without requests")
            figures["alone"] = await run.measure_isolated_changes()
            report_progress(f"{plan.changes} consecutive changes")
            figures["many"] = await run.measure_consecutive_changes()
            report_progress(f"{plan.simulated} simulated gateways")
            figures["hollow"] = await run.measure_simulated()
        except MemoryBoundError as error:
            run.rig.problems.over_bound.append(str(error))
        schedule = check_schedule(run.rig.problems, plan.late_ms)
        return {
            "plan": msgspec.to_builtins(plan),
            "machine": machine_info(),
            "took_s": time.monotonic() - started_s,
            "schedule": schedule,
            "over_bound": run.rig.problems.over_bound,
            "broken": list(dict.fromkeys(run.rig.problems.broken)),
            "memory_most_mb": children.peak_bytes / 1e6,
            "figures" if schedule["kept"] else "void": figures,
        }
