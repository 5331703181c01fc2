"""Runs over seeds and policies in worker processes, kept in a result file."""

from __future__ import annotations

import hashlib
import json
import multiprocessing
import signal
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

import msgspec

import load_balancer
from lab.model import policies, score
from lab.model.errors import UsageError
from lab.model.knobs import Knob, apply_knobs
from lab.model.results import FILE, Result, read, write
from lab.model.scenario import Scenario
from lab.model.simulation import Simulation


def initialize_worker(knobs: Iterable[Knob]) -> None:
    """Prepare a worker process: ignore interrupts, as the parent lets the runs under way finish."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    apply_knobs(knobs)


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
        world = Simulation(scenario, policies.POLICIES[policy], seed)
        world.run()
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
    """Yield the results as they come, from worker processes that apply the plan's knobs first."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(
        min(jobs, len(tasks)), context, initializer=initialize_worker, initargs=(plan.knobs,)
    )
    try:
        futures: list[Future[Result]] = [pool.submit(play, plan.scenario, *task) for task in tasks]
        for future in as_completed(futures):
            yield future.result()
    finally:
        pool.shutdown(cancel_futures=True)
