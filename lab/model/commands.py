"""Commands: `python -m lab run`, `compare` and `report`."""

from __future__ import annotations

import signal
import sys
import time
from concurrent.futures import BrokenExecutor
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from lab.model import comparison, experiment, scenario_files, summary
from lab.model.errors import ScenarioError, UsageError
from lab.model.knobs import parse_knob
from lab.model.policies import POLICIES
from lab.model.results import Result, results_of_policy
from lab.model.scenario import Scenario
from lab.tables import format_table


@click.command("run")
@click.argument("scenario_name", metavar="SCENARIO")
@click.option(
    "--policy",
    "policy_names",
    multiple=True,
    type=click.Choice(list(POLICIES)),
    help="[default: the scenario's]",
)
@click.option(
    "--seeds",
    type=click.IntRange(1, 100_000),
    help="Number of seeds, from 1 [default: the scenario's, else 5]",
)
@click.option("--jobs", type=click.IntRange(1, 256), default=4, show_default=True, help="Worker processes.")
@click.option(
    "--knob", "knobs", multiple=True, help="Constant to override, such as circuit_breaker.RING_SIZE=20."
)
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="Directory for the results.",
)
def run_command(
    scenario_name: str,
    policy_names: tuple[str, ...],
    seeds: int | None,
    jobs: int,
    knobs: tuple[str, ...],
    out: Path,
) -> int:
    """Run a scenario of the fleet model: a file, or the name of one in lab/scenarios.

    Results are stored as JSON lines; an interrupted run resumes from them. The figures come from the model.
    """
    # SIGTERM is handled as an interrupt, so that the worker processes end too.
    previous_handler = signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        plan = make_plan(scenario_name, policy_names, seeds, knobs)
        results = run_with_progress(plan, out, jobs)
    except (ScenarioError, UsageError) as error:
        raise click.UsageError(str(error)) from None
    except OSError as error:
        raise click.UsageError(f"{out} cannot be written: {error.strerror}") from None
    except BrokenExecutor:
        print("lab: a worker process died; run the same command again to resume", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("lab: interrupted; run the same command again to resume", file=sys.stderr)
        return 130
    finally:
        signal.signal(signal.SIGTERM, previous_handler)
    results.sort(key=lambda r: (plan.policies.index(r["policy"]), r["seed"]))
    print_results(plan, results)
    return 1 if any("crash" in result for result in results) else 0


def make_plan(
    scenario_name: str, policy_names: tuple[str, ...], seeds: int | None, knobs: tuple[str, ...]
) -> experiment.ExperimentPlan:
    """Return the plan of a run, with the scenario's own policies and seeds if none are given.

    Raises:
        ScenarioError: The file cannot be used.
        UsageError: A knob cannot be used.
    """
    scenario = scenario_files.load(scenario_files.find(scenario_name))
    return experiment.ExperimentPlan(
        scenario,
        tuple(dict.fromkeys(policy_names or check_policies(scenario, scenario_name))),
        seeds or scenario.seeds,
        tuple(parse_knob(text) for text in knobs),
    )


def run_with_progress(plan: experiment.ExperimentPlan, out: Path, jobs: int) -> list[Result]:
    """Run what the folder does not hold yet, with a progress bar and a summary on standard error."""
    experiment.read_finished(plan, out)
    out.mkdir(parents=True, exist_ok=True)
    started_s, event_count, run_count = time.monotonic(), 0, 0
    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
    )

    def advance(result: Result | None) -> None:
        nonlocal event_count, run_count
        if result is not None:
            event_count, run_count = event_count + result.get("events", 0), run_count + 1
        progress.advance(progress.task_ids[0])

    with progress:
        progress.add_task(plan.scenario.name, total=len(list(plan.tasks())))
        results = experiment.run_plan(plan, out, jobs, advance)
    took_s = time.monotonic() - started_s
    print(f"{run_count} runs in {took_s:.1f} s, {event_count / took_s:,.0f} events/s", file=sys.stderr)
    return results


def print_results(plan: experiment.ExperimentPlan, results: list[Result]) -> None:
    """Print the means, the broken rules, and a comparison of each policy with the first one."""
    print(summary.format_summary(results))
    for line in summary.format_violations(results):
        print(line)
    first, *others = plan.policies
    rows = []
    for other in others:
        rows += comparison.compare_results(
            results_of_policy(results, first), results_of_policy(results, other), other
        )[:1]
    if rows:
        print(f"\nCompared with {first}:")
        print(format_table(comparison.COMPARE_COLUMNS, rows))


def check_policies(scenario: Scenario, name: str) -> tuple[str, ...]:
    """Return the policies that a scenario file names.

    Raises:
        ScenarioError: A policy is unknown.
    """
    for index, policy in enumerate(scenario.policies):
        if policy not in POLICIES:
            known = ", ".join(POLICIES)
            raise ScenarioError(f"{Path(name).name}: policies[{index}]: expected one of {known}")
    return scenario.policies


@click.command("compare")
@click.argument("first", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.argument("second", type=click.Path(path_type=Path, exists=True, file_okay=False))
def compare_command(first: Path, second: Path) -> int:
    """Compare the second directory of results with the first, in pairs by seed.

    There is a verdict only where the 95 % bootstrap interval of the mean difference excludes zero.
    """
    try:
        print(comparison.compare_folders(first, second))
    except (UsageError, OSError) as error:
        raise click.UsageError(str(error)) from None
    return 0


@click.command("report")
@click.argument("folder", metavar="DIR", type=click.Path(path_type=Path, exists=True, file_okay=False))
def report_command(folder: Path) -> int:
    """Write a report on the results of `lab run` in DIR: DIR/report.html, a single file with its pictures."""
    from lab.page import document  # imported here because matplotlib is slow to import

    try:
        path, notes = document.write_page(folder)
    except UsageError as error:
        raise click.UsageError(str(error)) from None
    except OSError as error:
        raise click.UsageError(f"{folder}: the report cannot be written: {error.strerror}") from None
    for note in notes:
        print(f"lab: {note}", file=sys.stderr)
    print(path)
    return 0
