"""Model endpoints as BRIEF and BENCH describe them: cores, a queue, cold start, connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lab.model.choke import ChokeState
from lab.model.engine import Clock, to_us
from lab.model.job import Job, JobState, LoadReport
from lab.model.load_report import LoadReporter
from lab.model.overload import Overload, OverloadWindow
from lab.model.scenario import Fleet
from load_balancer.decisions.events import Outcome


class ModelEndpoint:
    """One endpoint: its processes, one after the other, and their work."""

    def __init__(
        self,
        clock: Clock,
        terms: Fleet,
        index: int,
        kind: int,
        speed: float,
        mean_work_us: float,
        zone: int = 0,
        rack: int = 0,
    ) -> None:
        self.index = index
        self.kind = kind
        self.zone = zone
        self.rack = rack
        self.up = True
        self.silent = False
        self.draining = False
        self.crashed = False
        self.started_us = 0  # 0: long ago
        self.epoch = 0  # processes that have ended
        self.slowdown = 1.0
        self.connections = 0
        self.worked_us = 0.0
        self.on_crash: Callable[[Overload], None] | None = None
        self._clock = clock
        self._terms = terms
        self._speed = speed
        self._cores = terms.machines[kind].cores
        self._choke = ChokeState(clock, terms.choke, self._cores, self._update_choke)
        self._overload = OverloadWindow(terms.cold, mean_work_us, self._cores, speed)
        self._begin_process()

    def _begin_process(self) -> None:
        self.queue: deque[Job] = deque()
        self.waiting = 0  # of the queue, without those that have been dropped
        self.running: dict[Job, None] = {}
        self.blocked: dict[Job, None] = {}
        self._choke.reset()
        self._reporter = LoadReporter(self._clock, self._terms.report_ms)

    @property
    def choked(self) -> bool:
        """Whether it works more slowly after a long queue."""
        return self._choke.choked

    @property
    def chokes(self) -> int:
        """How often it has choked."""
        return self._choke.count

    @property
    def warm_share(self) -> float:
        """The share of its capacity that it has: it rises evenly from the cold share to the whole."""
        cold = self._terms.cold
        age_us = self._clock.now_us - self.started_us
        if not self.started_us or age_us >= to_us(cold.warm_s):
            return 1.0
        return cold.start + (1.0 - cold.start) * age_us / to_us(cold.warm_s)

    @property
    def rate(self) -> float:
        """Work that a core does in a unit of time."""
        held = 1.0 - self._terms.connection_cost * min(1.0, self.connections / self._terms.connections)
        choked = self._terms.choke.slowdown if self.choked else 1.0
        return self._speed * self.warm_share * held / self.slowdown / choked

    @property
    def has_free_core(self) -> bool:
        """Whether a core and a slot are free."""
        working = len(self.running)
        return working < self._cores and working + len(self.blocked) < self._terms.slots

    def stop(self, announced: bool) -> None:
        """End the process.

        Args:
            announced: Its connections are reset; otherwise the machine is gone in silence.
        """
        self.up = False
        self.silent = not announced
        self.draining = False
        self.epoch += 1
        self.connections = 0
        queued = (job for job in self.queue if job.state is JobState.QUEUED)
        jobs = [*self.running, *self.blocked, *queued]
        for job in self.running:
            self.worked_us += self.done_us(job)
        for job in jobs:
            job.state = JobState.ENDED
        self._begin_process()
        if announced:
            for job in jobs:
                job.on_reset()

    def start(self) -> None:
        """Begin a new process, cold; after a crash there is none."""
        if not self.crashed:
            self.up = True
            self.silent = False
            self.started_us = self._clock.now_us
            self._overload.clear()

    def take(self, job: Job) -> None:
        """Accept a request that has come in."""
        self._check_overload(job)
        if not self.up:
            job.on_reset()
        elif self.draining or (not self.has_free_core and self.waiting >= self._terms.waiting):
            job.state = JobState.ENDED
            job.on_answer(Outcome.REJECTED, self.load_report())
        elif self.has_free_core:
            self._run(job)
        else:
            job.state = JobState.QUEUED
            self.queue.append(job)
            self.waiting += 1
            self._update_choke()

    def drop(self, job: Job) -> None:
        """Cancel a job: a queued one is dropped, a running one stops where the scenario has it so."""
        if job.state is JobState.QUEUED:
            self.waiting -= 1
            job.state = JobState.ENDED
            self._update_choke()
        elif job.state is JobState.RUNNING and self._terms.cancel_stops:
            self.worked_us += self.done_us(job)
            del self.running[job]
            job.state = JobState.ENDED
            self._run_next()
        elif job.state is JobState.IN_TRANSIT:
            job.state = JobState.ENDED

    def load_report(self) -> LoadReport:
        """The report that goes with an answer."""
        return self._reporter.report(self.waiting)

    def done_us(self, job: Job) -> float:
        """Work that has gone into a running job, at the present rate."""
        return min(job.total_us, (self._clock.now_us - job.began_us) * self.rate)

    def _run(self, job: Job) -> None:
        job.state = JobState.RUNNING
        job.began_us = self._clock.now_us
        self.running[job] = None
        takes_us = round(job.total_us / self.rate)
        self._clock.call_at(self._clock.now_us + takes_us, self._end_work, job)
        self._update_choke()

    def _run_next(self) -> None:
        while self.queue and self.has_free_core:
            job = self.queue.popleft()
            if job.state is JobState.QUEUED:
                self.waiting -= 1
                self._run(job)
        self._update_choke()

    def _end_work(self, job: Job) -> None:
        if job.state is not JobState.RUNNING:
            return  # dropped, or its process has ended
        self.worked_us += job.total_us
        del self.running[job]
        job.state = JobState.BLOCKED
        self.blocked[job] = None
        self._clock.call_at(self._clock.now_us + job.blocked_us, self._answer, job)
        self._run_next()

    def _answer(self, job: Job) -> None:
        if job.state is not JobState.BLOCKED:
            return
        del self.blocked[job]
        job.state = JobState.ENDED
        self._reporter.add((self._clock.now_us - job.began_us) / 1e3, job.fails)
        job.on_answer(Outcome.ERROR if job.fails else Outcome.OK, self.load_report())
        self._run_next()

    def _update_choke(self) -> None:
        self._choke.update(self.waiting, len(self.running))

    def _check_overload(self, job: Job) -> None:
        """A cold endpoint that has been sent too much crashes, and stays down."""
        warm_share = self.warm_share
        if warm_share >= 1.0 or not self.up:
            return
        overload = self._overload.add(job, self._clock.now_us, warm_share)
        if overload is not None:
            self.crashed = True
            if self.on_crash is not None:
                self.on_crash(overload)
            self.stop(announced=True)
