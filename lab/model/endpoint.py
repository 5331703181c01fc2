"""Model endpoints: cores, a queue, a warm-up and connections, as the operators' pages BRIEF and BENCH say."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lab.model.congestion import CongestionState
from lab.model.engine import Clock, to_us
from lab.model.job import Job, JobState, LoadReport
from lab.model.load_report import LoadReporter
from lab.model.overload import Overload, OverloadWindow
from lab.model.scenario import Fleet
from load_balancer.decisions.events import Outcome


class ModelEndpoint:
    """One endpoint: its consecutive processes and the jobs of the current one.

    Attributes:
        index: Index in the fleet.
        kind: Index of its machine type.
        zone: Index of its zone.
        rack: Index of its rack.
        up: Whether a process is running.
        silent: Whether the machine drops all packets.
        draining: Whether it rejects requests before its stop.
        crashed: Whether overload has crashed it; it then stays down.
        started_us: Start of the current process; 0: before the run.
        epoch: Number of processes that have ended.
        slowdown: Factor by which a fault makes it slower.
        connections: Number of open connections.
        worked_us: Work done so far, on a core of speed 1.
        on_crash: Is called with the overload that crashed it.
        queue: Jobs waiting for a core, with the cancelled ones.
        queued_count: Number of jobs waiting for a core, without the cancelled ones.
        running: Jobs on a core.
        blocked: Jobs waiting on other services, which use no core.
    """

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
        self.started_us = 0
        self.epoch = 0
        self.slowdown = 1.0
        self.connections = 0
        self.worked_us = 0.0
        self.on_crash: Callable[[Overload], None] | None = None
        self._clock = clock
        self._terms = terms
        self._speed = speed
        self._cores = terms.machines[kind].cores
        self._congestion = CongestionState(clock, terms.congestion, self._cores, self._update_congestion)
        self._overload = OverloadWindow(terms.warm_up, mean_work_us, self._cores, speed)
        self._begin_process()

    def _begin_process(self) -> None:
        self.queue: deque[Job] = deque()
        self.queued_count = 0
        self.running: dict[Job, None] = {}
        self.blocked: dict[Job, None] = {}
        self._congestion.reset()
        self._reporter = LoadReporter(self._clock, self._terms.max_report_age_ms)

    @property
    def congested(self) -> bool:
        """Whether it is slower after a long queue."""
        return self._congestion.congested

    @property
    def congestion_count(self) -> int:
        """Number of times that it has become congested."""
        return self._congestion.count

    @property
    def warm_share(self) -> float:
        """Share of its capacity that it has now; rises linearly during the warm-up."""
        warm_up = self._terms.warm_up
        age_us = self._clock.now_us - self.started_us
        if not self.started_us or age_us >= to_us(warm_up.duration_s):
            return 1.0
        return warm_up.initial_capacity + (1.0 - warm_up.initial_capacity) * age_us / to_us(
            warm_up.duration_s
        )

    @property
    def rate(self) -> float:
        """Work that a core does per unit of time; 1 for a core of speed 1 that nothing slows down."""
        connection_factor = 1.0 - self._terms.connection_cost * min(
            1.0, self.connections / self._terms.max_connections
        )
        congestion_slowdown = self._terms.congestion.slowdown if self.congested else 1.0
        return self._speed * self.warm_share * connection_factor / self.slowdown / congestion_slowdown

    @property
    def has_free_core(self) -> bool:
        """Whether both a core and a slot are free."""
        working = len(self.running)
        return working < self._cores and working + len(self.blocked) < self._terms.slots

    def stop(self, resets_connections: bool) -> None:
        """End the process.

        Args:
            resets_connections: Whether its connections are reset; otherwise the machine only stops answering.
        """
        self.up = False
        self.silent = not resets_connections
        self.draining = False
        self.epoch += 1
        self.connections = 0
        queued = (job for job in self.queue if job.state is JobState.QUEUED)
        jobs = [*self.running, *self.blocked, *queued]
        for job in self.running:
            self.worked_us += self.completed_work_us(job)
        for job in jobs:
            job.state = JobState.ENDED
        self._begin_process()
        if resets_connections:
            for job in jobs:
                job.on_reset()

    def start(self) -> None:
        """Begin a new process with its initial capacity; do nothing after a crash."""
        if not self.crashed:
            self.up = True
            self.silent = False
            self.started_us = self._clock.now_us
            self._overload.clear()

    def accept(self, job: Job) -> None:
        """Execute, queue or reject a job that has arrived."""
        self._check_overload(job)
        if not self.up:
            job.on_reset()
        elif self.draining or (not self.has_free_core and self.queued_count >= self._terms.max_queued):
            job.state = JobState.ENDED
            job.on_answer(Outcome.REJECTED, self.load_report())
        elif self.has_free_core:
            self._run(job)
        else:
            job.state = JobState.QUEUED
            self.queue.append(job)
            self.queued_count += 1
            self._update_congestion()

    def cancel(self, job: Job) -> None:
        """Cancel a job: remove it from the queue, or stop it if it runs and the scenario allows that."""
        if job.state is JobState.QUEUED:
            self.queued_count -= 1
            job.state = JobState.ENDED
            self._update_congestion()
        elif job.state is JobState.RUNNING and self._terms.cancel_stops_running_jobs:
            self.worked_us += self.completed_work_us(job)
            del self.running[job]
            job.state = JobState.ENDED
            self._run_next()
        elif job.state is JobState.IN_TRANSIT:
            job.state = JobState.ENDED

    def load_report(self) -> LoadReport:
        """Return the load report to send with an answer."""
        return self._reporter.report(self.queued_count)

    def completed_work_us(self, job: Job) -> float:
        """Return the work done for a running job, computed with the present rate."""
        return min(job.total_us, (self._clock.now_us - job.started_us) * self.rate)

    def _run(self, job: Job) -> None:
        job.state = JobState.RUNNING
        job.started_us = self._clock.now_us
        self.running[job] = None
        duration_us = round(job.total_us / self.rate)
        self._clock.call_at(self._clock.now_us + duration_us, self._end_work, job)
        self._update_congestion()

    def _run_next(self) -> None:
        while self.queue and self.has_free_core:
            job = self.queue.popleft()
            if job.state is JobState.QUEUED:
                self.queued_count -= 1
                self._run(job)
        self._update_congestion()

    def _end_work(self, job: Job) -> None:
        if job.state is not JobState.RUNNING:
            return  # cancelled, or its process has ended
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
        self._reporter.record((self._clock.now_us - job.started_us) / 1e3, job.fails)
        job.on_answer(Outcome.ERROR if job.fails else Outcome.OK, self.load_report())
        self._run_next()

    def _update_congestion(self) -> None:
        self._congestion.update(self.queued_count, len(self.running))

    def _check_overload(self, job: Job) -> None:
        """Count a job that has arrived during the warm-up, and crash if that was too much work."""
        warm_share = self.warm_share
        if warm_share >= 1.0 or not self.up:
            return
        overload = self._overload.add(job, self._clock.now_us, warm_share)
        if overload is not None:
            self.crashed = True
            if self.on_crash is not None:
                self.on_crash(overload)
            self.stop(resets_connections=True)
