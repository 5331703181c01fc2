"""Runs over seeds and policies in worker processes, kept as JSON lines, and compared in pairs by seed."""

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
from typing import Any

import msgspec
import numpy as np

import load_balancer
from lab.model import policies, score
from lab.model.knobs import OLD_KNOBS, decision_modules
from lab.model.scenario import Scenario
from lab.model.world import World
from lab.tables import table
from load_balancer import decisions

RESAMPLES = 10_000
CONFIDENCE = 95.0
LEAST_PAIRS = 5  # fewer resampled give an interval that is far too narrow
FILE = "results.jsonl"
COLUMNS = (
    "policy", "seeds", "G", "whole", "worst 10 s", "worst class", "worst tenant", "late", "refused", "failed",
    "p50 ms", "p99 ms", "attempts", "handshakes", "broken",
)  # fmt: skip
COMPARED = (
    "G",
    "whole",
    "worst_window",
    "worst_class",
    "worst_tenant",
    "late",
    "refused",
    "failed",
    "p99_ms",
)
LOWER_IS_BETTER = frozenset({"late", "refused", "failed", "p99_ms"})

Result = dict[str, Any]


class UsageError(ValueError):
    """One line on what cannot be run or compared."""


@dataclass(frozen=True, slots=True)
class Knob:
    """A constant of the decisions, and the value that it has in these runs."""

    module: str  # as the command names it
    name: str
    value: int | float

    @property
    def text(self) -> str:
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


def read(path: Path) -> tuple[Result | None, list[Result]]:
    """Header and results of a file; a last line that was cut off is left out."""
    header: Result | None = None
    results: list[Result] = []
    lines = path.read_bytes().split(b"\n") if path.exists() else []
    for place, line in enumerate(lines[:-1]):  # the last one has no end yet, or is empty
        try:
            found = json.loads(line)
            if place == 0:
                header = {"scenario": found["scenario"], **found}
            else:
                results.append({"policy": str(found["policy"]), "seed": int(found["seed"]), **found})
        except (ValueError, KeyError, TypeError):
            raise UsageError(f"{path}: line {place + 1}: expected a result as JSON") from None
    return header, results


def write(path: Path, header: Result, results: Iterable[Result]) -> None:
    """The whole file, in order of policy and seed, put in place at once."""
    ordered = sorted(results, key=lambda r: (r["policy"], r["seed"]))
    draft = path.with_suffix(".draft")
    draft.write_text("".join(json.dumps(line) + "\n" for line in (header, *ordered)), encoding="utf-8")
    draft.replace(path)


def held(plan: Plan, folder: Path) -> list[Result]:
    """The results that a folder holds; UsageError where they are of other days, knobs or programs."""
    header, found = read(folder / FILE)
    other = [key for key, value in plan.header.items() if header is not None and header.get(key) != value]
    if other:
        what = " and ".join(other)
        raise UsageError(f"{folder / FILE} holds runs of another {what}: expected an --out of its own")
    return found


def run(plan: Plan, folder: Path, jobs: int, done: Callable[[Result | None], None]) -> list[Result]:
    """Play what the folder does not hold yet; `done` hears of each result, None for one that was there.

    The file is the same for equal seeds whatever `jobs` is, and whatever was there when the run was cut off.
    """
    path, found = folder / FILE, held(plan, folder)
    known = {(result["policy"], result["seed"]) for result in found}
    write(path, plan.header, found)
    tasks = [task for task in plan.tasks() if task not in known]
    for _ in range(len(list(plan.tasks())) - len(tasks)):
        done(None)
    if tasks:
        with path.open("a", encoding="utf-8") as file:
            for result in played(plan, tasks, jobs):
                file.write(json.dumps(result) + "\n")
                file.flush()
                found.append(result)
                done(result)
        write(path, plan.header, found)
    wanted = set(plan.tasks())
    return [result for result in found if (result["policy"], result["seed"]) in wanted]


def played(plan: Plan, tasks: list[tuple[str, int]], jobs: int) -> Iterator[Result]:
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


# Figures


def figure(result: Result, name: str) -> float | None:
    """One figure of a result; None where the day has none."""
    value = result["shares"].get(name) if name in result.get("shares", {}) else result.get(name)
    return None if value is None else float(value)


def mean(results: list[Result], name: str) -> float | None:
    values = [value for r in results if (value := figure(r, name)) is not None]
    return float(np.mean(values)) if values else None


def digits(value: float | None, places: int = 3) -> str:
    return "-" if value is None else f"{value:.{places}f}"


def summary(results: list[Result]) -> str:
    """One line a policy: means over its seeds."""
    rows = []
    for policy in dict.fromkeys(r["policy"] for r in results):
        of = [r for r in results if r["policy"] == policy and "crash" not in r]
        crashed = sum(r["policy"] == policy for r in results) - len(of)
        shares = [digits(mean(of, name)) for name in COMPARED[:8]]
        costs = [sum(r["costs"][kind] for r in of) / sum(r["asked"] for r in of) if of else None
                 for kind in ("attempts", "handshakes")]  # fmt: skip
        broken = f"{sum(r['broken']['count'] > 0 for r in of)} days"
        broken += f", {crashed} crashed" if crashed else ""
        times = [digits(mean(of, name), 0) for name in ("p50_ms", "p99_ms")]
        rows.append((policy, str(len(of)), *shares, *times, *map(digits, costs), broken))
    return table(COLUMNS, rows)


def broken_rules(results: list[Result]) -> list[str]:
    """One line a policy and rule: how many, and the first with its time and gateway."""
    lines: dict[tuple[str, int], list[str]] = {}
    for result in sorted(results, key=lambda r: (r["policy"], r["seed"])):
        for broken in result.get("broken", {}).get("named", ()):
            where = f"seed {result['seed']}, {broken['at_s']:.3f} s, gateway {broken['gateway']}"
            lines.setdefault((result["policy"], broken["rule"]), []).append(f"{where}: {broken['what']}")
        if "crash" in result:
            lines.setdefault((result["policy"], -1), []).append(f"seed {result['seed']}: {result['crash']}")
    return [
        f"{policy}: {'crashed' if rule < 0 else f'rule {rule} broken'}, {len(texts)} named; {texts[0]}"
        for (policy, rule), texts in lines.items()
    ]


def interval(differences: list[float], seed: int = 0) -> tuple[float, float, float]:
    """Mean of paired differences, and the bounds of its bootstrap 95 % interval."""
    values = np.asarray(differences, dtype=np.float64)
    rng = np.random.default_rng(seed)
    means = values[rng.integers(len(values), size=(RESAMPLES, len(values)))].mean(axis=1)
    rest = (100.0 - CONFIDENCE) / 2
    low, high = np.percentile(means, (rest, 100.0 - rest))
    return float(values.mean()), float(low), float(high)


def verdict(name: str, low: float, high: float) -> str:
    """Only where the interval excludes nought."""
    if low <= 0.0 <= high:
        return "no verdict"
    return "better" if (low > 0.0) != (name in LOWER_IS_BETTER) else "worse"


def of_policy(results: list[Result], policy: str) -> list[Result]:
    return [result for result in results if result["policy"] == policy]


def compare(first: list[Result], second: list[Result], label: str) -> list[tuple[str, ...]]:
    """Rows on the second against the first, of the seeds that both have."""
    mine = {r["seed"]: r for r in first if "crash" not in r}
    rows: list[tuple[str, ...]] = []
    for name in COMPARED:
        differences = []
        for result in second:
            other = mine.get(result["seed"])
            if other is None or "crash" in result:
                continue
            a, b = figure(other, name), figure(result, name)
            if a is not None and b is not None:
                differences.append(b - a)
        if len(differences) < LEAST_PAIRS:
            rows.append((f"{label} {name}", str(len(differences)), "-", "-", "-", "too few pairs"))
            continue
        middle, low, high = interval(differences)
        cells = [f"{value:+.4f}" for value in (middle, low, high)]
        rows.append((f"{label} {name}", str(len(differences)), *cells, verdict(name, low, high)))
    return rows


COMPARE_COLUMNS = ("figure", "pairs", "difference", "low", "high", "verdict")


def compare_folders(first: Path, second: Path) -> str:
    """The second against the first, policy by policy."""
    (head, mine), (other_head, others) = (read(folder / FILE) for folder in (first, second))
    for folder, header in ((first, head), (second, other_head)):
        if header is None:
            raise UsageError(f"{folder}: expected a folder that lab run has written")
    assert head is not None and other_head is not None
    if head.get("digest") != other_head.get("digest"):
        raise UsageError("the folders hold runs of different scenarios: expected the same")
    both = [policy for policy in dict.fromkeys(r["policy"] for r in mine) if of_policy(others, policy)]
    if not both:
        raise UsageError("the folders have no policy in common: expected at least one")
    rows: list[tuple[str, ...]] = []
    for policy in both:
        rows += compare(of_policy(mine, policy), of_policy(others, policy), policy)
    return table(COMPARE_COLUMNS, rows)
