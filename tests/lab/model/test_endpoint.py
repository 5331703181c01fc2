"""Model endpoints: cores, queue, congestion, warm-up, crashes and cancelled jobs."""

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


class EndpointHarness:
    """An endpoint with its clock, and the outcomes of its jobs."""

    def __init__(self, fleet: str = "") -> None:
        fleet = f"[fleet]\n{fleet}\n"
        scenario = scenario_files.parse(
            TINY.replace("[fleet]\n", fleet).replace("errors = 0.1\n", ""), "tiny.toml"
        )
        self.clock = Clock()
        self.endpoint = ModelEndpoint(self.clock, scenario.fleet, 0, 0, 1.0, 30_000.0)
        self.outcomes: list[tuple[int, Outcome, LoadReport]] = []

    def job(self, work_us: float = 10_000.0, blocked_us: int = 0, notified_of_start: bool = True) -> Job:
        def answer(outcome: Outcome, load: LoadReport) -> None:
            self.outcomes.append((self.clock.now_us - START_US, outcome, load))

        return Job(
            work_us, 0.0, blocked_us, False, notified_of_start, 0, answer, lambda: answer(Outcome.RESET, ())
        )

    def accept(self, count: int = 1, **work: Any) -> list[Job]:
        jobs = [self.job(**work) for _ in range(count)]
        for job in jobs:
            self.endpoint.accept(job)
        return jobs

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now_us + round(seconds * 1e6))


def test_jobs_queue_for_cores_and_hold_none_while_blocked() -> None:
    harness = EndpointHarness()
    harness.accept(3, blocked_us=5_000)
    harness.run(1.0)
    assert [at_us for at_us, _, _ in harness.outcomes] == [15_000, 15_000, 25_000]


def test_a_blocked_job_holds_its_slot_and_open_connections_reduce_the_rate() -> None:
    harness = EndpointHarness("slots = 1\nconnections = 10")
    harness.accept(2, blocked_us=5_000)
    harness.run(1.0)
    assert [at_us for at_us, _, _ in harness.outcomes] == [15_000, 30_000]
    harness.endpoint.connections = 5
    assert harness.endpoint.rate == pytest.approx(0.95)


def test_a_full_endpoint_rejects_and_a_stopped_one_resets_its_jobs() -> None:
    harness = EndpointHarness("waiting = 1")
    harness.accept(4)
    assert [outcome for _, outcome, _ in harness.outcomes] == [Outcome.REJECTED]
    harness.endpoint.stop(resets_connections=True)
    assert [outcome for _, outcome, _ in harness.outcomes[1:]] == [Outcome.RESET] * 3
    harness.run(1.0)
    assert len(harness.outcomes) == 4


@pytest.mark.parametrize(("stops", "worked_us"), [("true", 4_000.0), ("false", 10_000.0)])
def test_cancelled_jobs_leave_the_queue_and_stop_running_if_so_configured(
    stops: str, worked_us: float
) -> None:
    harness = EndpointHarness(f"cancel_stops = {stops}")
    jobs = harness.accept(3)
    harness.endpoint.cancel(jobs[2])
    harness.run(0.004)
    harness.endpoint.cancel(jobs[0])
    harness.run(1.0)
    assert harness.endpoint.queued_count == 0
    assert harness.endpoint.worked_us == 10_000.0 + worked_us


def test_a_long_queue_congests_an_endpoint_until_it_has_been_idle() -> None:
    harness = EndpointHarness()
    jobs = harness.accept(40, work_us=1e6)
    harness.run(2.1)
    assert harness.endpoint.congested
    assert harness.endpoint.rate == pytest.approx(1 / 2.7)
    for job in jobs:
        harness.endpoint.cancel(job)
    harness.run(3.4)
    assert harness.endpoint.congested
    harness.run(0.3)
    assert not harness.endpoint.congested


def test_a_queue_that_drains_in_time_causes_no_congestion() -> None:
    harness = EndpointHarness()
    jobs = harness.accept(40, work_us=1e6)
    harness.run(1.9)
    for job in jobs:
        harness.endpoint.cancel(job)
    harness.run(5.0)
    assert not harness.endpoint.congested


def test_capacity_rises_linearly_after_a_start_and_overload_crashes_the_endpoint() -> None:
    harness = EndpointHarness()
    crashes: list[Overload] = []
    harness.endpoint.on_crash = crashes.append
    harness.endpoint.stop(resets_connections=True)
    harness.endpoint.start()
    assert harness.endpoint.rate == pytest.approx(0.13)
    harness.run(11.5)
    assert harness.endpoint.rate == pytest.approx(0.565)
    allowed = 2.5 * 2 * 0.565 * 3e6 / 30_000.0
    max_requests = int(allowed + 2 * allowed**0.5 + 2)
    harness.accept(max_requests, work_us=30_000.0)
    assert not crashes
    harness.accept(1, work_us=30_000.0)
    assert crashes == [(1.0, 0)]
    assert not harness.endpoint.up
    harness.endpoint.start()
    assert not harness.endpoint.up, "a crashed endpoint must stay down"


@given(
    st.lists(st.tuples(st.sampled_from(["accept", "cancel", "run", "stop"]), st.integers(1, 60)), max_size=80)
)
def test_every_job_ends_at_most_once(steps: list[tuple[str, int]]) -> None:
    """Cancellations and process ends must not leave a callback that ends or counts a job again."""
    harness = EndpointHarness("waiting = 5")
    jobs: list[Job] = []
    for step, argument in steps:
        if step == "accept":
            jobs += harness.accept(argument % 7)
        elif step == "cancel" and jobs:
            harness.endpoint.cancel(jobs.pop(argument % len(jobs)))
        elif step == "run":
            harness.run(argument / 1e3)
        elif step == "stop":
            harness.endpoint.stop(resets_connections=argument % 2 == 0)
            harness.endpoint.start()
    ended_before = len(harness.outcomes)
    harness.run(30.0)
    assert harness.endpoint.queued_count == 0
    assert not harness.endpoint.running
    assert not harness.endpoint.blocked
    assert len(harness.outcomes) - ended_before <= len(jobs)
