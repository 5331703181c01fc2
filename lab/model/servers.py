"""Statement servers as BRIEF and BENCH tell of them: cores, a queue, choke, cold start, connections."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import sqrt

from lab.model.engine import Clock
from lab.model.scenario import Fleet, us
from load_balancer.decisions.events import Outcome

Load = tuple[tuple[str, float], ...]
REPORT_SHARE = 0.2  # of the newest service time in the reported one


class Step(Enum):
    COMING = "coming"
    WAITING = "waiting"
    RUNNING = "running"
    ELSEWHERE = "elsewhere"  # waits on others, without a core
    OVER = "over"


@dataclass(slots=True, eq=False)
class Job:
    """An attempt, as its server sees it."""

    work_us: float  # on a core of speed 1
    extra_us: float  # for a new connection
    others_us: int
    fails: bool
    told: bool  # its gateway knows of the server's last start
    gateway: int
    answer: Callable[[Outcome, Load], None]
    broken: Callable[[], None]  # the process is gone
    step: Step = Step.COMING
    began_us: int = 0


class Server:
    def __init__(self, clock: Clock, terms: Fleet, number: int, kind: int, speed: float, mean_us: float):
        self.clock, self.terms, self.number, self.kind, self.speed = clock, terms, number, kind, speed
        self.mean_us = mean_us  # mean work of a request
        self.cores = terms.machines[kind].cores
        self.up, self.silent, self.draining, self.fallen = True, False, False, False
        self.started_us = 0  # 0: long ago
        self.epoch = 0  # of its process
        self.slow = 1.0
        self.connections = 0
        self.worked_us = 0.0
        self.served = 0
        self.chokes = 0
        self.on_fall: Callable[[float, int], None] | None = (
            None  # the part from gateways told, and who sent most
        )
        self.pressure: deque[Job] = deque()  # what has come in the last window
        self.pressed_us: deque[int] = deque()  # and when
        self.reset()

    def reset(self) -> None:
        """The state of a process that has just begun."""
        self.queue: deque[Job] = deque()
        self.waiting = 0  # of the queue, without those that have been dropped
        self.running: dict[Job, None] = {}
        self.elsewhere: dict[Job, None] = {}
        self.choked = False
        self.crowded_us: int | None = None  # since when
        self.idle_us: int | None = None  # since when, while it is choked
        self.service_ms, self.eps = 0.0, 0.0
        self.failed_us = 0
        self.report: Load = ()
        self.reported_us = -(10**9)

    @property
    def share(self) -> float:
        """Of its capacity that a server has: it rises evenly from the cold share to the whole."""
        cold = self.terms.cold
        age_us = self.clock.now_us - self.started_us
        if not self.started_us or age_us >= us(cold.warm_s):
            return 1.0
        return cold.start + (1.0 - cold.start) * age_us / us(cold.warm_s)

    @property
    def rate(self) -> float:
        """Work that a core does in a unit of time."""
        held = 1.0 - self.terms.table * min(1.0, self.connections / self.terms.connections)
        choked = self.terms.choke.times if self.choked else 1.0
        return self.speed * self.share * held / self.slow / choked

    @property
    def is_free(self) -> bool:
        """Whether a core and a slot are free."""
        working = len(self.running)
        return working < self.cores and working + len(self.elsewhere) < self.terms.slots

    # Life

    def stop(self, said: bool) -> None:
        """The process ends; `said`: its connections break, otherwise the machine is gone without a word."""
        self.up, self.silent, self.draining = False, not said, False
        self.epoch += 1
        self.connections = 0
        jobs = [*self.running, *self.elsewhere, *(j for j in self.queue if j.step is Step.WAITING)]
        for job in self.running:
            self.worked_us += self.done_us(job)
        for job in jobs:
            job.step = Step.OVER
        self.reset()
        if said:
            for job in jobs:
                job.broken()

    def start(self) -> None:
        """A new process, cold."""
        if not self.fallen:
            self.up, self.silent = True, False
            self.started_us = self.clock.now_us
            self.pressure.clear()
            self.pressed_us.clear()

    # Work

    def take(self, job: Job) -> None:
        """A request has come in."""
        self.press(job)
        if not self.up:
            job.broken()
        elif self.draining or (not self.is_free and self.waiting >= self.terms.waiting):
            job.step = Step.OVER
            job.answer(Outcome.REJECTED, self.load())
        elif self.is_free:
            self.run(job)
        else:
            job.step = Step.WAITING
            self.queue.append(job)
            self.waiting += 1
            self.watch()

    def run(self, job: Job) -> None:
        job.step, job.began_us = Step.RUNNING, self.clock.now_us
        self.running[job] = None
        takes_us = round((job.work_us + job.extra_us) / self.rate)
        self.clock.at(self.clock.now_us + takes_us, self.ran, job)
        self.watch()

    def done_us(self, job: Job) -> float:
        """Work that has gone into a running job, at the present rate."""
        return min(job.work_us + job.extra_us, (self.clock.now_us - job.began_us) * self.rate)

    def ran(self, job: Job) -> None:
        if job.step is not Step.RUNNING:
            return  # dropped, or its process has ended
        self.worked_us += job.work_us + job.extra_us
        del self.running[job]
        job.step = Step.ELSEWHERE
        self.elsewhere[job] = None
        self.clock.at(self.clock.now_us + job.others_us, self.reply, job)
        self.next()

    def next(self) -> None:
        while self.queue and self.is_free:
            job = self.queue.popleft()
            if job.step is Step.WAITING:
                self.waiting -= 1
                self.run(job)
        self.watch()

    def reply(self, job: Job) -> None:
        if job.step is not Step.ELSEWHERE:
            return
        del self.elsewhere[job]
        job.step = Step.OVER
        self.served += 1
        took_ms = (self.clock.now_us - job.began_us) / 1e3
        self.service_ms += (REPORT_SHARE if self.service_ms else 1.0) * (took_ms - self.service_ms)
        gap_s = (self.clock.now_us - self.failed_us) / 1e6
        if job.fails:
            self.eps, self.failed_us = 0.5 * self.eps + 0.5 / max(0.05, gap_s), self.clock.now_us
        elif gap_s > 2.0:
            self.eps = 0.0
        job.answer(Outcome.ERROR if job.fails else Outcome.OK, self.load())
        self.next()

    def drop(self, job: Job) -> None:
        """Nobody waits for it any more: what waits is dropped, what runs stops where the day has it so."""
        if job.step is Step.WAITING:
            self.waiting -= 1
            job.step = Step.OVER
            self.watch()
        elif job.step is Step.RUNNING and self.terms.cancel_stops:
            self.worked_us += self.done_us(job)
            del self.running[job]
            job.step = Step.OVER
            self.next()
        elif job.step is Step.COMING:
            job.step = Step.OVER

    def load(self) -> Load:
        """The report that goes with an answer, made anew once it is too old."""
        if self.clock.now_us - self.reported_us >= self.terms.report_ms * 1e3:
            self.reported_us = self.clock.now_us
            self.report = (
                ("latency_ms", self.service_ms), ("eps", self.eps), ("queue", float(self.waiting)),
            )  # fmt: skip
        return self.report

    # Choke

    def watch(self) -> None:
        """Begin, or end, the spells after which it chokes or recovers."""
        choke, now_us = self.terms.choke, self.clock.now_us
        if self.waiting <= choke.waiting * self.cores:
            self.crowded_us = None
        elif self.crowded_us is None and not self.choked:
            self.crowded_us = now_us
            self.clock.at(now_us + us(choke.after_s), self.judge_crowd, self.epoch, now_us)
        if self.waiting or 2 * len(self.running) > self.cores:
            self.idle_us = None
        elif self.idle_us is None and self.choked:
            self.idle_us = now_us
            self.clock.at(now_us + us(choke.rest_s), self.judge_rest, self.epoch, now_us)

    def judge_crowd(self, epoch: int, since_us: int) -> None:
        if epoch == self.epoch and self.crowded_us == since_us and not self.choked:
            self.choked, self.crowded_us = True, None
            self.chokes += 1
            self.clock.at(
                self.clock.now_us + us(self.terms.choke.spell_s), self.recover, self.epoch, self.chokes
            )

    def judge_rest(self, epoch: int, since_us: int) -> None:
        if epoch == self.epoch and self.idle_us == since_us:
            self.recover(epoch, self.chokes)

    def recover(self, epoch: int, spell: int) -> None:
        if epoch == self.epoch and spell == self.chokes:
            self.choked, self.idle_us, self.crowded_us = False, None, None
            self.watch()

    # Rule 4

    def press(self, job: Job) -> None:
        """All work that reaches a cold server counts, also what it turns away.

        It falls over beyond N + 2 x root of N + 2 requests of mean work in the stated time, N being what is
        allowed then: the slack for chance is that of STANDING.
        """
        share = self.share
        if share >= 1.0 or not self.up:
            return
        now_us, cold = self.clock.now_us, self.terms.cold
        self.pressure.append(job)
        self.pressed_us.append(now_us)
        while self.pressed_us[0] <= now_us - us(cold.fall_s):
            self.pressed_us.popleft()
            self.pressure.popleft()
        allowed = cold.multiple * self.cores * self.speed * share * us(cold.fall_s) / self.mean_us
        work = sum(job.work_us for job in self.pressure)
        if work > (allowed + 2.0 * sqrt(allowed) + 2.0) * self.mean_us:
            sent: dict[int, float] = {}
            for one in self.pressure:
                sent[one.gateway] = sent.get(one.gateway, 0.0) + one.work_us * one.told
            self.fallen = True
            if self.on_fall is not None:
                self.on_fall(sum(sent.values()) / work, max(sent, key=lambda n: sent[n]))
            self.stop(said=True)
