"""The reload run: what a change of one tenant costs real gateways under way, and how soon it is in force."""

from __future__ import annotations

import asyncio
import json
import math
import os
import platform
import signal
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import psutil

from lab import fit, scale
from lab.changes import Change, Document, changes, fetch
from lab.child import Hist
from lab.clients import ask_bytes
from lab.processes import Child, Children, OverBound
from lab.report import check_schedule, number
from lab.scale import WARM_S, Gateway, Say
from lab.tables import table

DAY_S = 86_400
DAILY = 380  # changes a day that operators make
TIMES = 10  # as often, for which the cost is counted
GATEWAYS = 490
PAUSE_MS = 5.0
LEAST_CHANGES = 3
IN_FORCE_S = 30.0  # for a change to be in force, at most
POLL_S = 0.001
SAMPLES = 20  # of memory
ALONE = 5  # changes whose processor time is counted, with nothing else under way
ALONE_S = 0.2  # for each, at least
ALONE_TIMES = 3.0  # as long as the slowest change so far
HOLLOW_CHANGES = 100  # at most, the first ones
FIRST_PROBE = 1 << 60  # request ids that no client has

LATENCIES = ("p50_ms", "p99_ms", "most_ms")


@dataclass(frozen=True)
class Plan:
    servers: int
    routes: int
    tenants: int
    real: int
    hollow: int
    rate: float  # requests a second to each real gateway, and as many straight
    seconds: float  # of requests without changes, and as long with them
    every_s: float  # between two changes while requests go on
    changes: int  # one after the other afterwards
    seed: int
    memory_mb: int
    late_ms: float

    @property
    def among(self) -> int:
        """Changes while requests go on."""
        return max(LEAST_CHANGES, int(self.seconds / self.every_s))

    @property
    def lasts_s(self) -> float:
        return max(self.seconds, self.among * self.every_s) + WARM_S


class Reload:
    """The parts of a run; those that it has in common with `lab scale` are that one's."""

    def __init__(self, plan: Plan, children: Children, out: Path, say: Say) -> None:
        self.plan, self.say = plan, say
        self.run = scale.Run(
            scale.Plan(
                servers=plan.servers, routes=plan.routes, tenants=plan.tenants, hollow=plan.hollow,
                real=plan.real, seed=plan.seed, rate=plan.rate * plan.real, hollow_rate=0.0,
                seconds=plan.lasts_s, sweep_s=0.0, scenarios=(), memory_mb=plan.memory_mb,
                late_ms=plan.late_ms,
            ),
            children, out, say,
        )  # fmt: skip
        self.coming: Iterator[Change] = iter(
            changes(plan.seed, plan.tenants, plan.among + ALONE + plan.changes)
        )
        self.documents: dict[Path, Document] = {}
        self.file_bytes = 0
        self.probes = 0
        self.slowest_s = 0.0
        self.renamed_ns = 0

    async def open(self) -> None:
        run = self.run
        await run.open()
        await run.set_fleet(self.plan.servers)
        await run.start_reals()
        self.pulse = await run.children.start("pulse", "lab.changes")
        for gateway in run.reals:
            path = self.path(gateway)
            self.documents[path] = Document(json.loads(path.read_text(encoding="utf-8")))

    def path(self, gateway: Gateway) -> Path:
        return self.run.out / "logs" / f"{gateway.child.name}.json"

    # A change

    async def write(self) -> Change:
        """The next change stands in each gateway's file; none has been told of it."""
        change = next(self.coming)
        for path, document in self.documents.items():
            document.apply(change)
            self.file_bytes = document.write(path.with_suffix(".new"))
            # Some file systems write the whole file to the disk before they rename it over another.
            await asyncio.to_thread(os.replace, path.with_suffix(".new"), path)
            self.renamed_ns = time.perf_counter_ns()
        return change

    def signal(self, gateway: Gateway) -> int:
        """The gateway is told; when it was."""
        gateway.child.check()
        told_ns = time.perf_counter_ns()
        os.kill(gateway.child.process.pid, signal.SIGHUP)
        return told_ns

    async def take(self, hists: dict[str, Hist]) -> None:
        """One change at every gateway, until it is in force at all."""
        change = await self.write()
        await asyncio.gather(*(self.watch(gateway, change, hists) for gateway in self.run.reals))

    async def watch(self, gateway: Gateway, change: Change, hists: dict[str, Hist]) -> None:
        """Asks for the tenant every millisecond from the signal on, on a connection of its own."""
        before, after = (400, 200) if change.added else (200, 400)
        reader, writer = await asyncio.open_connection(*gateway.address)
        try:
            async with asyncio.timeout(IN_FORCE_S):
                if (status := (await self.ask(reader, writer, change))[0]) != before:
                    self.run.broken.append(f"{before} expected before a change, got {status}")
                told_ns = self.signal(gateway)
                while True:
                    status, asked_ns = await self.ask(reader, writer, change)
                    if status == after:
                        break
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            gateway.child.check()
            self.run.broken.append(f"a change was not in force within {IN_FORCE_S:g} s")
            return
        finally:
            writer.close()
        done_ns = time.perf_counter_ns()
        self.slowest_s = max(self.slowest_s, (done_ns - told_ns) / 1e9)
        for what, ns in (
            ("from_rename", done_ns - self.renamed_ns),  # of the last gateway's file
            ("from_signal", done_ns - told_ns),
            ("from_signal_to_asked", max(0, asked_ns - told_ns)),  # the first that was answered so
            ("added_from_signal" if change.added else "dropped_from_signal", done_ns - told_ns),
        ):
            hists.setdefault(what, Hist()).add(ns / 1e3)

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, change: Change
    ) -> tuple[int, int]:
        """The answer's status to a request of that tenant, and when it was asked."""
        self.probes += 1
        asked_ns = time.perf_counter_ns()
        status, _ = await fetch(reader, writer, ask_bytes(0, change.number, FIRST_PROBE + 2 * self.probes))
        return status, asked_ns

    # Phases

    async def with_clients(self, every_s: float | None) -> dict[str, Any]:
        """Requests for a while, through the gateways and straight; with changes, or without."""
        plan, run, hists = self.plan, self.run, dict[str, Hist]()
        played = await run.play_clients(
            run.reals, plan.rate * plan.real, plan.lasts_s, plan.routes, plan.tenants, warm=WARM_S
        )
        begins = time.monotonic() + WARM_S
        await self.pulse.ask("pulse", gateways=[gateway.address for gateway in run.reals])
        for n in range(plan.among if every_s else 0):
            await asyncio.sleep(max(0.0, begins + (n + 0.25) * plan.every_s - time.monotonic()))
            await self.take(hists)
        sides = await played()
        found: dict[str, Any] = {
            side: {**(Hist(told["latency"]).summary() or {}), "answers": told["counts"]}
            for side, told in sides.items()
        }
        found["loop"] = Hist(await self.pulse.ask("still")).summary()
        return found | ({"in_force": summaries(hists)} if every_s else {})

    async def alone(self) -> dict[str, Any]:
        """Processor time of a change with no request under way, and no look until it is over."""
        reals, spent, idle = self.run.reals, list[float](), list[float]()
        for _ in range(ALONE):
            wait_s = max(ALONE_S, ALONE_TIMES * self.slowest_s)
            change = await self.write()
            for told, into in ((False, idle), (True, spent)):
                before = [gateway.child.cpu_s() for gateway in reals]
                if told:
                    for gateway in reals:
                        self.signal(gateway)
                await asyncio.sleep(wait_s)
                into += [g.child.cpu_s() - b for g, b in zip(reals, before, strict=True)]
            for gateway in reals:
                reader, writer = await asyncio.open_connection(*gateway.address)
                if (await self.ask(reader, writer, change))[0] != (200 if change.added else 400):
                    self.run.broken.append(f"a change was not in force after {wait_s:g} s")
                writer.close()
        each_s = (sum(spent) - sum(idle)) / len(spent)
        share = DAILY * TIMES * GATEWAYS * each_s / DAY_S
        return {
            "changes": ALONE,
            "cpu_s_each": each_s,
            "cpu_s_most": max(spent),
            "idle_cpu_s_each": sum(idle) / len(idle),
            "file_bytes": self.file_bytes,
            "fleet_cores": share,
            "gateway_core_share": share / GATEWAYS,
            "arithmetic": f"{DAILY} changes a day x {TIMES} x {GATEWAYS} gateways x {each_s:.4f} s "
            f"/ {DAY_S} s = {share:.3f} cores in all, {share / GATEWAYS:.2e} of a core at each gateway",
        }

    async def many(self) -> dict[str, Any]:
        """Changes one after the other without a wait; the memory that each gateway holds in between."""
        plan, run, hists = self.plan, self.run, dict[str, Hist]()
        every = max(1, plan.changes // SAMPLES)
        held: dict[str, list[int]] = {g.child.name: [g.child.resident()] for g in run.reals}
        counts, began, before = [0], time.monotonic(), sum(g.child.cpu_s() for g in run.reals)
        for n in range(1, plan.changes + 1):
            await self.take(hists)
            if n % every == 0:
                counts.append(n)
                for gateway in run.reals:
                    held[gateway.child.name].append(gateway.child.resident())
                self.say(f"{n} changes")
        cpu_s = sum(g.child.cpu_s() for g in run.reals) - before
        warm = next((k for k, count in enumerate(counts) if count >= plan.changes / 10), 0)
        return {
            "changes": plan.changes,
            "took_s": time.monotonic() - began,
            "in_force": summaries(hists),
            "cpu_s_each_with_polls": cpu_s / plan.changes / len(run.reals),
            "memory": {
                name: {
                    "first_bytes": bytes_[0],
                    "after_a_tenth_bytes": bytes_[warm],
                    "last_bytes": bytes_[-1],
                    "line": fit.line(counts[warm:], bytes_[warm:]),
                }
                for name, bytes_ in held.items()
            },
        }

    async def hollow(self) -> dict[str, Any]:
        plan = self.plan
        path, _ = self.run.write_config("hollow", plan.servers, plan.routes, plan.tenants, 0, plan.real)
        child: Child = await self.run.children.start("hollow", "lab.changes")
        found: dict[str, Any] = await child.ask(
            "hollow",
            path=str(path.resolve()),
            count=plan.hollow,
            seed=plan.seed,
            tenants=plan.tenants,
            changes=min(plan.changes, HOLLOW_CHANGES),
        )
        return found


def summaries(hists: dict[str, Hist]) -> dict[str, Any]:
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


async def play(plan: Plan, out: Path, say: Say) -> dict[str, Any]:
    """The whole run; every child has ended when it returns, also by an exception."""
    began, figures = time.monotonic(), dict[str, Any]()
    logs = out / "logs"
    logs.mkdir(parents=True, exist_ok=True)
    async with Children(plan.memory_mb, logs) as children:
        it = Reload(plan, children, out, say)
        try:
            await it.open()
            say(f"requests without changes: {plan.lasts_s:g} s")
            quiet = figures["quiet"] = await it.with_clients(None)
            say(f"requests and {plan.among} changes: {plan.lasts_s:g} s")
            changed = figures["changes"] = await it.with_clients(plan.every_s)
            changed["count"], changed["every_s"] = plan.among, plan.every_s
            changed["a_day"] = DAY_S / plan.every_s
            changed["times_daily"] = DAY_S / plan.every_s / DAILY
            figures |= compare(quiet, changed)
            say(f"{ALONE} changes alone")
            figures["alone"] = await it.alone()
            say(f"{plan.changes} changes one after the other")
            figures["many"] = await it.many()
            say(f"{plan.hollow} hollow gateways")
            figures["hollow"] = await it.hollow()
        except OverBound as error:
            it.run.over.append(str(error))
        kept = check_schedule(it.run)
        return {
            "plan": asdict(plan),
            "machine": {
                "cores": psutil.cpu_count(),
                "memory_mb": int(psutil.virtual_memory().total / 1e6),
                "python": platform.python_version(),
            },
            "took_s": time.monotonic() - began,
            "schedule": kept,
            "over_bound": it.run.over,
            "broken": list(dict.fromkeys(it.run.broken)),
            "memory_most_mb": children.most_bytes / 1e6,
            "figures" if kept["kept"] else "void": figures,
        }


COLUMNS = ("what", "count", "p50 ms", "p99", "most", "processor most")


def report(found: dict[str, Any]) -> str:
    """The table; an overloaded rig has no figures, only the reasons."""
    notes = [
        *(f"over the bound: {name}" for name in found["over_bound"]),
        *(f"broken: {what}" for what in found["broken"]),
        *(f"the schedule was not kept: {why}" for why in found["schedule"]["why"]),
    ]
    figures = found.get("figures")
    if figures is None:
        return "\n".join([*notes, "no figures: they are those of an overloaded rig"])
    rows: list[list[str]] = []

    def row(what: str, hist: dict[str, Any] | None) -> None:
        hist = hist or {}
        rows.append(
            [
                what,
                str(hist.get("count", "-")),
                *(number(hist.get(key)) for key in (*LATENCIES, "most_cpu_ms")),
            ]
        )

    for phase, called in (("quiet", "without changes"), ("changes", "with changes")):
        for who, title in (("gateway", "requests"), ("direct", "straight"), ("loop", "loop alone")):
            if phase in figures:
                row(f"{title} {called}", figures[phase][who])
    for who, title in (("gateway", "requests"), ("direct", "straight"), ("loop", "loop alone")):
        if who in figures.get("added", {}):
            row(f"{title}: added", figures["added"][who])
    for phase, title in (("changes", "with requests"), ("many", "one after the other")):
        for what, hist in figures.get(phase, {}).get("in_force", {}).items():
            row(f"in force {what.replace('_', ' ')}, {title}", hist)
    for name, step in figures.get("hollow", {}).get("steps", {}).items():
        row(f"hollow: {name}", step)
    if "pause_over_5_ms" in figures:
        day = figures["changes"]
        notes.append(f"changes every {day['every_s']:g} s: {number(day['times_daily'])} times the daily rate")
        notes.append(f"pause_over_5_ms: {str(figures['pause_over_5_ms']).lower()}")
        notes.append(f"loop_over_5_ms: {str(figures['loop_over_5_ms']).lower()}")
    if "alone" in figures:
        cost = figures["alone"]
        notes.append(
            f"processor a change: {cost['cpu_s_each'] * 1e3:.1f} ms; file: {cost['file_bytes']} bytes"
        )
        notes.append(cost["arithmetic"])
    for name, held in figures.get("many", {}).get("memory", {}).items():
        steps = ", ".join(
            f"{title} {held[key] / 1e6:.1f} MB"
            for title, key in (
                ("first", "first_bytes"),
                ("a tenth", "after_a_tenth_bytes"),
                ("last", "last_bytes"),
            )
        )
        line = held["line"]
        slope = (
            "too few samples"
            if line is None
            else (f"{line['slope']:.0f} bytes a change (residual {line['residual']:.0f} bytes)")
        )
        notes.append(f"memory of {name}: {steps}; {slope}")
    if "hollow" in figures:
        crowd = figures["hollow"]
        notes.append(
            f"memory of a hollow gateway: {crowd['bytes_each'] / 1e6:.1f} MB, "
            f"{crowd['bytes_each_after'] / 1e6:.1f} MB after {crowd['changes']} changes"
        )
    return "\n".join([table(COLUMNS, rows), *notes])
