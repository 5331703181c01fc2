"""Model endpoints as BRIEF and BENCH describe them: cores, a queue, choking, cold start, connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import sqrt
from typing import NamedTuple

from lab.model.engine import Clock, to_us
from lab.model.scenario import Choke, ColdStart, Fleet
from load_balancer.decisions.events import Outcome

LoadReport = tuple[tuple[str, float], ...]
REPORT_SHARE = 0.2  # of the newest service time in the reported one
ERROR_SHARE = 0.5  # of the newest gap between errors in the reported rate
MIN_ERROR_GAP_S = 0.05
ERROR_MEMORY_S = 2.0  # a success this long after the last error reports a rate of 0


class JobState(Enum):
    """Where a job stands."""

    IN_TRANSIT = "in transit"
    QUEUED = "queued"
    RUNNING = "running"
    BLOCKED = "blocked"  # waits on other services, without a core
    ENDED = "ended"


@dataclass(slots=True, eq=False)
class Job:
    """An attempt, as its endpoint sees it."""

    work_us: float  # on a core of speed 1
    handshake_us: float  # of the same, for a new connection
    blocked_us: int
    fails: bool
    sender_knows_start: bool  # its gateway has been notified of the endpoint's last start
    gateway_index: int
    on_answer: Callable[[Outcome, LoadReport], None]
    on_reset: Callable[[], None]  # the process is gone
    state: JobState = JobState.IN_TRANSIT
    began_us: int = 0

    @property
    def total_us(self) -> float:
        """All work on a core of speed 1."""
        return self.work_us + self.handshake_us


class LoadReporter:
    """The load report of one endpoint process."""

    def __init__(self, clock: Clock, max_age_ms: float) -> None:
        self._clock = clock
        self._max_age_us = max_age_ms * 1e3
        self._service_ms = 0.0
        self._errors_per_s = 0.0
        self._last_error_us = 0
        self._report: LoadReport = ()
        self._reported_us = -(10**9)

    def add(self, service_ms: float, fails: bool) -> None:
        """Count an answer."""
        share = REPORT_SHARE if self._service_ms else 1.0
        self._service_ms += share * (service_ms - self._service_ms)
        gap_s = (self._clock.now_us - self._last_error_us) / 1e6
        if fails:
            newest = ERROR_SHARE / max(MIN_ERROR_GAP_S, gap_s)
            self._errors_per_s = (1.0 - ERROR_SHARE) * self._errors_per_s + newest
            self._last_error_us = self._clock.now_us
        elif gap_s > ERROR_MEMORY_S:
            self._errors_per_s = 0.0

    def report(self, queued: int) -> LoadReport:
        """The report that goes with an answer, made anew once it is too old."""
        if self._clock.now_us - self._reported_us >= self._max_age_us:
            self._reported_us = self._clock.now_us
            self._report = (
                ("latency_ms", self._service_ms),
                ("eps", self._errors_per_s),
                ("queue", float(queued)),
            )
        return self._report


class ChokeState:
    """Whether an endpoint chokes: it does after a time with a long queue, until it has rested."""

    def __init__(self, clock: Clock, terms: Choke, cores: int, update: Callable[[], None]) -> None:
        self.choked = False
        self.count = 0  # spells so far
        self._clock = clock
        self._terms = terms
        self._cores = cores
        self._update_again = update
        self._process = 0
        self._crowded_since_us: int | None = None
        self._resting_since_us: int | None = None  # while it is choked

    def reset(self) -> None:
        """A new process has begun; what was scheduled for the last one is void."""
        self._process += 1
        self._clear()

    def update(self, queued: int, running: int) -> None:
        """Begin, or end, the times after which it chokes or recovers."""
        now_us = self._clock.now_us
        if queued <= self._terms.waiting * self._cores:
            self._crowded_since_us = None
        elif self._crowded_since_us is None and not self.choked:
            self._crowded_since_us = now_us
            due_us = now_us + to_us(self._terms.after_s)
            self._clock.call_at(due_us, self._end_crowd, self._process, now_us)
        if queued or 2 * running > self._cores:
            self._resting_since_us = None
        elif self._resting_since_us is None and self.choked:
            self._resting_since_us = now_us
            due_us = now_us + to_us(self._terms.rest_s)
            self._clock.call_at(due_us, self._end_rest, self._process, now_us)

    def _clear(self) -> None:
        self.choked, self._resting_since_us, self._crowded_since_us = False, None, None

    def _end_crowd(self, process: int, since_us: int) -> None:
        if process == self._process and self._crowded_since_us == since_us and not self.choked:
            self.choked, self._crowded_since_us = True, None
            self.count += 1
            due_us = self._clock.now_us + to_us(self._terms.spell_s)
            self._clock.call_at(due_us, self._recover, process, self.count)

    def _end_rest(self, process: int, since_us: int) -> None:
        if process == self._process and self._resting_since_us == since_us:
            self._recover(process, self.count)

    def _recover(self, process: int, spell: int) -> None:
        if process == self._process and spell == self.count:
            self._clear()
            self._update_again()


class Overload(NamedTuple):
    """Too much work sent to a cold endpoint."""

    knowing_share: float  # from gateways that had been notified of its start
    gateway_index: int  # that sent most


class OverloadWindow:
    """All work that has reached a cold endpoint within the time that it stands, also what it rejects."""

    def __init__(self, terms: ColdStart, mean_work_us: float, cores: int, speed: float) -> None:
        self._cores, self._speed = cores, speed
        self._window_us = to_us(terms.overload_window_s)
        self._multiple = terms.multiple
        self._mean_work_us = mean_work_us
        self._jobs: deque[tuple[int, Job]] = deque()

    def clear(self) -> None:
        """A new process has begun."""
        self._jobs.clear()

    def add(self, job: Job, now_us: int, warm_share: float) -> Overload | None:
        """Count a job; returns what crashes the endpoint, or None while it stands.

        It stands N + 2 x root of N + 2 requests of mean work in the window, N being what is allowed then: the
        slack for chance is that of STANDING.

        Args:
            job: What has come in.
            now_us: When.
            warm_share: Of its capacity that the endpoint has.
        """
        self._jobs.append((now_us, job))
        while self._jobs[0][0] <= now_us - self._window_us:
            self._jobs.popleft()
        capacity = self._multiple * self._cores * self._speed * warm_share
        allowed = capacity * self._window_us / self._mean_work_us
        work_us = sum(one.work_us for _, one in self._jobs)
        if work_us <= (allowed + 2.0 * sqrt(allowed) + 2.0) * self._mean_work_us:
            return None
        knowing_us: dict[int, float] = {}
        for _, one in self._jobs:
            sent_us = one.work_us * one.sender_knows_start
            knowing_us[one.gateway_index] = knowing_us.get(one.gateway_index, 0.0) + sent_us
        return Overload(sum(knowing_us.values()) / work_us, max(knowing_us, key=lambda n: knowing_us[n]))


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
        self.index, self.kind, self.zone, self.rack = index, kind, zone, rack
        self.up, self.silent, self.draining, self.crashed = True, False, False, False
        self.started_us = 0  # 0: long ago
        self.epoch = 0  # processes that have ended
        self.slowdown = 1.0
        self.connections = 0
        self.worked_us = 0.0
        self.on_crash: Callable[[Overload], None] | None = None
        self._clock, self._terms, self._speed = clock, terms, speed
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
        self.up, self.silent, self.draining = False, not announced, False
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
            self.up, self.silent = True, False
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
        job.state, job.began_us = JobState.RUNNING, self._clock.now_us
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
