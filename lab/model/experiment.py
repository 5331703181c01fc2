"""Runs over seeds and policies in worker processes, kept in a result file."""

from __future__ import annotations

import hashlib
import json
import multiprocessing
import re
import signal
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

import load_balancer
from lab.model import policies, score
from lab.model.errors import UsageError
from lab.model.knobs import OLD_KNOBS, decision_modules
from lab.model.results import FILE, Result, read, write
from lab.model.scenario import Scenario
from lab.model.world import World
from load_balancer import decisions


@dataclass(frozen=True, slots=True)
class Knob:
    """A constant of the decisions, and the value that it has in these runs."""

    module: str  # as the command names it
    name: str
    value: int | float

    @property
    def text(self) -> str:
        """As on the command line."""
        return f"{self.module}.{self.name}={self.value}"

    @property
    def constant(self) -> tuple[str, str]:
        """The module of the decisions and the constant's name there, whichever name the command used."""
        spelling = f"{self.module}.{self.name}"
        module, _, name = OLD_KNOBS.get(spelling, spelling).partition(".")
        return f"{decisions.__name__}.{module}", name


def parse_knob(text: str) -> Knob:
    """A knob as circuit_breaker.RING_SIZE=20; UsageError for one that is not there or of another type."""
    found = re.fullmatch(r"([a-z][a-z_]*)\.([A-Z][A-Z0-9_]*)=(\S+)", text)
    if found is None:
        raise UsageError(f"--knob {text}: expected MODULE.NAME=NUMBER, as circuit_breaker.RING_SIZE=20")
    module, name, digits = found.groups()
    path, constant = Knob(module, name, 0).constant
    modules = {module.__name__: module for module in decision_modules()}
    if path not in modules:
        raise UsageError(f"--knob {text}: there is no constant {module}.{name}")
    before = getattr(modules[path], constant, None)
    if isinstance(before, bool) or not isinstance(before, int | float):
        raise UsageError(f"--knob {text}: {path} has no number {constant}")
    try:
        value = int(digits) if isinstance(before, int) else float(digits)
    except ValueError:
        raise UsageError(f"--knob {text}: expected {type(before).__name__} for {name}") from None
    if not np.isfinite(value):
        raise UsageError(f"--knob {text}: expected a finite number for {name}")
    return Knob(module, name, value)


def begin_worker(knobs: Iterable[Knob]) -> None:
    """An interrupt is the parent's to handle: it lets the days under way come to their end."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    turn(knobs)


def turn(knobs: Iterable[Knob]) -> None:
    """Set the constants wherever the decisions' modules hold them, in this process."""
    for knob in knobs:
        name = knob.constant[1]
        for module in decision_modules():
            if hasattr(module, name):
                setattr(module, name, knob.value)


@dataclass(frozen=True, slots=True)
class Plan:
    """What is to be run."""

    scenario: Scenario
    policies: tuple[str, ...]
    seeds: int
    knobs: tuple[Knob, ...] = ()

    @property
    def header(self) -> Result:
        """What a file's results have in common: the first of its lines."""
        return {
            "scenario": self.scenario.name,
            "digest": hashlib.sha256(msgspec.json.encode(self.scenario)).hexdigest()[:16],
            "knobs": sorted(knob.text for knob in self.knobs),
            "program": program(),
        }

    def tasks(self) -> Iterator[tuple[str, int]]:
        """Policy and seed of each run."""
        return ((policy, seed) for seed in range(1, self.seeds + 1) for policy in self.policies)


def program() -> str:
    """A digest of the decisions' and the model's own text: results of two of them don't belong together."""
    digest = hashlib.sha256()
    for folder in (Path(load_balancer.__file__).parent, Path(__file__).parent):
        for path in sorted(folder.rglob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def play(scenario: Scenario, policy: str, seed: int) -> Result:
    """One day; a policy that raises is named in place of its figures."""
    try:
        world = World(scenario, policies.POLICIES[policy], seed)
        world.play()
        found = score.result(world)
    except Exception as error:
        found = {"crash": f"{type(error).__name__}: {error}"}
    return {"policy": policy, "seed": seed, **found}


def read_finished(plan: Plan, folder: Path) -> list[Result]:
    """The results that a folder holds.

    Raises:
        UsageError: They are of another scenario, other knobs or another program.
    """
    header, found = read(folder / FILE)
    other = [key for key, value in plan.header.items() if header is not None and header.get(key) != value]
    if other:
        what = " and ".join(other)
        raise UsageError(f"{folder / FILE} holds runs of another {what}: expected an --out of its own")
    return found


def run(plan: Plan, folder: Path, jobs: int, done: Callable[[Result | None], None]) -> list[Result]:
    """Play what the folder does not hold yet; `done` is called with each result, None for one that was there.

    The file is the same for equal seeds whatever `jobs` is, and whatever was there when the run was cut off.
    """
    path, found = folder / FILE, read_finished(plan, folder)
    known = {(result["policy"], result["seed"]) for result in found}
    write(path, plan.header, found)
    tasks = [task for task in plan.tasks() if task not in known]
    for _ in range(len(list(plan.tasks())) - len(tasks)):
        done(None)
    if tasks:
        with path.open("a", encoding="utf-8") as file:
            for result in play_all(plan, tasks, jobs):
                file.write(json.dumps(result) + "\n")
                file.flush()
                found.append(result)
                done(result)
        write(path, plan.header, found)
    wanted = set(plan.tasks())
    return [result for result in found if (result["policy"], result["seed"]) in wanted]


def play_all(plan: Plan, tasks: list[tuple[str, int]], jobs: int) -> Iterator[Result]:
    """The results as they come, of worker processes that have the knobs turned before they begin."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(
        min(jobs, len(tasks)), context, initializer=begin_worker, initargs=(plan.knobs,)
    )
    try:
        futures: list[Future[Result]] = [pool.submit(play, plan.scenario, *task) for task in tasks]
        for future in as_completed(futures):
            yield future.result()
    finally:
        pool.shutdown(cancel_futures=True)
