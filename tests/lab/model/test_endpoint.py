"""Model endpoints: cores, queue, choking, cold start, cancelled work."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.model import scenario_files
from lab.model.endpoint import ModelEndpoint
from lab.model.engine import START_US, Clock
from lab.model.job import Job, LoadReport
from lab.model.overload import Overload
from load_balancer.decisions.events import Outcome
from tests.lab.model.support import TINY


class Bench:
    """One server, and what it answers."""

    def __init__(self, fleet: str = "") -> None:
        fleet = f"[fleet]\n{fleet}\n"
        it = scenario_files.parse(TINY.replace("[fleet]\n", fleet).replace("errors = 0.1\n", ""), "tiny.toml")
        self.clock = Clock()
        self.endpoint = ModelEndpoint(self.clock, it.fleet, 0, 0, 1.0, 30_000.0)
        self.ends: list[tuple[int, Outcome, LoadReport]] = []

    def job(self, work_us: float = 10_000.0, blocked_us: int = 0, knows_start: bool = True) -> Job:
        def answer(outcome: Outcome, load: LoadReport) -> None:
            self.ends.append((self.clock.now_us - START_US, outcome, load))

        return Job(work_us, 0.0, blocked_us, False, knows_start, 0, answer, lambda: answer(Outcome.RESET, ()))

    def take(self, count: int = 1, **work: Any) -> list[Job]:
        jobs = [self.job(**work) for _ in range(count)]
        for job in jobs:
            self.endpoint.take(job)
        return jobs

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now_us + round(seconds * 1e6))


def test_a_server_works_on_its_cores_in_turn_and_waits_on_others_without_one() -> None:
    bench = Bench()
    bench.take(3, blocked_us=5_000)
    bench.run(1.0)
    assert [at for at, _, _ in bench.ends] == [15_000, 15_000, 25_000]


def test_what_waits_on_others_holds_its_slot_and_a_full_table_takes_capacity() -> None:
    bench = Bench("slots = 1\nconnections = 10")
    bench.take(2, blocked_us=5_000)
    bench.run(1.0)
    assert [at for at, _, _ in bench.ends] == [15_000, 30_000]
    bench.endpoint.connections = 5
    assert bench.endpoint.rate == pytest.approx(0.95)


def test_a_full_server_turns_away_and_a_stopped_one_breaks_what_it_holds() -> None:
    bench = Bench("waiting = 1")
    bench.take(4)
    assert [outcome for _, outcome, _ in bench.ends] == [Outcome.REJECTED]
    bench.endpoint.stop(announced=True)
    assert [outcome for _, outcome, _ in bench.ends[1:]] == [Outcome.RESET] * 3
    bench.run(1.0)
    assert len(bench.ends) == 4


@pytest.mark.parametrize(("stops", "worked_us"), [("true", 4_000.0), ("false", 10_000.0)])
def test_dropped_work_leaves_the_queue_and_stops_running_where_the_day_has_it(
    stops: str, worked_us: float
) -> None:
    bench = Bench(f"cancel_stops = {stops}")
    jobs = bench.take(3)
    bench.endpoint.drop(jobs[2])
    bench.run(0.004)
    bench.endpoint.drop(jobs[0])
    bench.run(1.0)
    assert bench.endpoint.waiting == 0
    assert bench.endpoint.worked_us == 10_000.0 + worked_us


def test_a_crowd_chokes_a_server_until_it_has_rested() -> None:
    bench = Bench()
    jobs = bench.take(40, work_us=1e6)
    bench.run(2.1)
    assert bench.endpoint.choked
    assert bench.endpoint.rate == pytest.approx(1 / 2.7)
    for job in jobs:
        bench.endpoint.drop(job)
    bench.run(3.4)
    assert bench.endpoint.choked
    bench.run(0.3)
    assert not bench.endpoint.choked


def test_a_crowd_that_leaves_in_time_chokes_nothing() -> None:
    bench = Bench()
    jobs = bench.take(40, work_us=1e6)
    bench.run(1.9)
    for job in jobs:
        bench.endpoint.drop(job)
    bench.run(5.0)
    assert not bench.endpoint.choked


def test_a_cold_server_warms_evenly_and_falls_when_it_is_sent_too_much() -> None:
    bench = Bench()
    falls: list[Overload] = []
    bench.endpoint.on_crash = falls.append
    bench.endpoint.stop(announced=True)
    bench.endpoint.start()
    assert bench.endpoint.rate == pytest.approx(0.13)
    bench.run(11.5)
    assert bench.endpoint.rate == pytest.approx(0.565)
    allowed = 2.5 * 2 * 0.565 * 3e6 / 30_000.0
    most = int(allowed + 2 * allowed**0.5 + 2)
    bench.take(most, work_us=30_000.0)
    assert not falls
    bench.take(1, work_us=30_000.0)
    assert falls == [(1.0, 0)]
    assert not bench.endpoint.up
    bench.endpoint.start()
    assert not bench.endpoint.up, "it stays down"


@given(st.lists(st.tuples(st.sampled_from(["take", "drop", "run", "stop"]), st.integers(1, 60)), max_size=80))
def test_every_job_ends_at_most_once(steps: list[tuple[str, int]]) -> None:
    bench = Bench("waiting = 5")
    jobs: list[Job] = []
    for what, number in steps:
        if what == "take":
            jobs += bench.take(number % 7)
        elif what == "drop" and jobs:
            bench.endpoint.drop(jobs.pop(number % len(jobs)))
        elif what == "run":
            bench.run(number / 1e3)
        elif what == "stop":
            bench.endpoint.stop(announced=number % 2 == 0)
            bench.endpoint.start()
    taken = len(bench.ends)
    bench.run(30.0)
    assert bench.endpoint.waiting == 0
    assert not bench.endpoint.running
    assert not bench.endpoint.blocked
    assert len(bench.ends) - taken <= len(jobs)
