"""Runs of a scenario over seeds and policies in worker processes, stored in a result file."""

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
from lab.model.results import RESULTS_FILE, Result, read_results_file, write_results_file
from lab.model.scenario import Scenario
from lab.model.simulation import Simulation


def initialize_worker(knobs: Iterable[Knob]) -> None:
    """Set the knobs of a worker process and ignore interrupts: the parent lets current runs finish."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    apply_knobs(knobs)


@dataclass(frozen=True, slots=True)
class ExperimentPlan:
    """A scenario with the policies, seeds and knobs to run it with.

    Attributes:
        scenario: The scenario.
        policies: Names of the policies.
        seeds: Number of seeds, counted from 1.
        knobs: Constants that are overridden in all runs.
    """

    scenario: Scenario
    policies: tuple[str, ...]
    seeds: int
    knobs: tuple[Knob, ...] = ()

    @property
    def header(self) -> Result:
        """The result file's first line: what all its results have in common."""
        return {
            "scenario": self.scenario.name,
            "digest": hashlib.sha256(msgspec.json.encode(self.scenario)).hexdigest()[:16],
            "knobs": sorted(knob.text for knob in self.knobs),
            "program": program_digest(),
        }

    def tasks(self) -> Iterator[tuple[str, int]]:
        """Return the policy and the seed of each run."""
        return ((policy, seed) for seed in range(1, self.seeds + 1) for policy in self.policies)


def program_digest() -> str:
    """Return a digest of the source code that runs depend on; results of different digests are not mixed."""
    digest = hashlib.sha256()
    for folder in (Path(load_balancer.__file__).parent, Path(__file__).parent):
        for path in sorted(folder.rglob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()[:16]


def simulate(scenario: Scenario, policy: str, seed: int) -> Result:
    """Run a scenario once; an exception of the policy is recorded in place of the figures."""
    try:
        simulation = Simulation(scenario, policies.POLICIES[policy], seed)
        simulation.run()
        figures = score.compute_result(simulation)
    except Exception as error:
        figures = {"crash": f"{type(error).__name__}: {error}"}
    return {"policy": policy, "seed": seed, **figures}


def read_finished(plan: ExperimentPlan, folder: Path) -> list[Result]:
    """Return the results that a folder already holds.

    Raises:
        UsageError: They belong to another scenario, other knobs or another program.
    """
    header, finished = read_results_file(folder / RESULTS_FILE)
    mismatched_keys = [
        key for key, value in plan.header.items() if header is not None and header.get(key) != value
    ]
    if mismatched_keys:
        differences = " and ".join(mismatched_keys)
        raise UsageError(
            f"{folder / RESULTS_FILE} holds runs of another {differences}: expected an --out of its own"
        )
    return finished


def run_plan(
    plan: ExperimentPlan, folder: Path, jobs: int, on_result: Callable[[Result | None], None]
) -> list[Result]:
    """Run what the folder does not hold yet, and store the results in it.

    For equal seeds, the file does not depend on `jobs` or on results left by an interrupted run.

    Args:
        plan: What to run.
        folder: The folder of the result file.
        jobs: Number of worker processes.
        on_result: Called with each new result, and with None for each result that was already there.

    Returns:
        The results of the plan, old and new.
    """
    path, finished = folder / RESULTS_FILE, read_finished(plan, folder)
    finished_runs = {(result["policy"], result["seed"]) for result in finished}
    write_results_file(path, plan.header, finished)
    tasks = [task for task in plan.tasks() if task not in finished_runs]
    for _ in range(len(list(plan.tasks())) - len(tasks)):
        on_result(None)
    if tasks:
        with path.open("a", encoding="utf-8") as file:
            for result in simulate_all(plan, tasks, jobs):
                file.write(json.dumps(result) + "\n")
                file.flush()
                finished.append(result)
                on_result(result)
        write_results_file(path, plan.header, finished)
    planned_runs = set(plan.tasks())
    return [result for result in finished if (result["policy"], result["seed"]) in planned_runs]


def simulate_all(plan: ExperimentPlan, tasks: list[tuple[str, int]], jobs: int) -> Iterator[Result]:
    """Run tasks in worker processes that have the plan's knobs set, and yield results as they complete."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(
        min(jobs, len(tasks)), context, initializer=initialize_worker, initargs=(plan.knobs,)
    )
    try:
        futures: list[Future[Result]] = [pool.submit(simulate, plan.scenario, *task) for task in tasks]
        for future in as_completed(futures):
            yield future.result()
    finally:
        pool.shutdown(cancel_futures=True)
