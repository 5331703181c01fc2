"""What outcomes have shown, kept only for what a proxy has met: breakers, their totals, demand and quotas.

In a large fleet the pairs of class and tenant at every server are too many to hold, and nearly all of them
are never met. What is missing here reads as new, and nothing is dropped before it reads so by rule: a closed
ring lapses `LAPSE_US` after its last outcome, a quota that has filled up again is a full one, and less than
`FORGOTTEN` first tries are none. Totals over all servers are kept as they change, so that no decision walks
over servers, classes or tenants.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import OrderedDict, defaultdict
from collections.abc import Mapping, Sequence
from enum import Enum
from itertools import accumulate
from operator import attrgetter

from load_balancer.decisions.settings import RequestClass
from load_balancer.decisions.settings_version import SettingsVersion

# The breaker
RING = 10  # outcomes: a second or less of one proxy's traffic to one server
MINIMUM = 5  # outcomes before a verdict: fewer convict on chance
THRESHOLD = 0.5  # failure share that opens, beyond what all servers fail in common
TRIALS = 3  # outcomes that decide in half-open
COOLDOWN_US = 1_000_000  # first cooldown; doubles with each reopening from half-open
LONGEST_COOLDOWN_US = 8_000_000
LAPSE_US = 60_000_000  # a closed ring proves nothing so long after its last outcome: many times any cooldown
WEIGHT_UNIT = 2**57  # weights times this are whole numbers, whose sum is exact however often they change
# Demand
MEMORY = 500  # first tries after which the shares of asked and served work count half
FORGOTTEN = 1 / 64  # first tries: less than that, halved six times since, is nothing
EXACT = 8  # parts of the work up to which their order is worked out anew for each request while load is shed
KINDS = 2**32  # a kind of request is its class's number times this, and its tenant's
QUOTA_SPAN_S = 1.0  # of a tenant's quota that may come at once and still be within its share


class State(Enum):
    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Breaker:
    """Ring of the last outcomes of one server, of all requests or of one kind, and what follows from it."""

    __slots__ = (
        "cooldown_us",
        "episode",
        "evidence",
        "failures",
        "heard_us",
        "open_until_us",
        "owner",
        "place",
        "ring",
        "state",
        "trial_results",
        "trials_out",
    )

    def __init__(self, owner: Breakers | None = None, place: int = 0) -> None:
        self.owner, self.place = owner, place
        self.evidence = owner.evidence if owner is not None else Evidence()
        self.ring = b""  # 1 for a failure, the oldest first
        self.failures = 0
        self.state = State.CLOSED
        self.heard_us = 0  # time of the last outcome
        self.open_until_us = 0
        self.cooldown_us = COOLDOWN_US
        self.episode = 0  # the half-open spell: an outcome is a trial's if it was sent in the present one
        self.trials_out = 0
        self.trial_results: tuple[bool, ...] = ()

    def lets_through(self, now_us: int) -> bool:
        """True if closed, or half-open with trials left to give; ends a cooldown that is over."""
        if self.state is State.CLOSED:
            return True
        if self.state is State.OPEN:
            if now_us < self.open_until_us:
                return False
            self.evidence.remove(self)
            self.state = State.HALF_OPEN
            self.evidence.insert(self)
            self.evidence.episodes += 1  # of its own: a dropped one's trials are none of its successor's
            self.episode = self.evidence.episodes
            self.trials_out = 0
            self.trial_results = ()
        return self.trials_out + len(self.trial_results) < TRIALS

    def take_trial(self) -> int:
        """The episode an attempt is a trial of, or 0 for an ordinary attempt."""
        if self.state is not State.HALF_OPEN:
            return 0
        self.trials_out += 1
        return self.episode

    def record(self, now_us: int, failed: bool, trial_of: int, common: float) -> State | None:
        """Enter an outcome; returns the new state if it opened or closed the breaker.

        `common` is the share of failures, from 0 to 1, that no single server is to blame for.
        """
        self.evidence.remove(self)
        self.heard_us = now_us
        changed = self.judge(now_us, failed, trial_of, common)
        self.evidence.insert(self)
        return changed

    def judge(self, now_us: int, failed: bool, trial_of: int, common: float) -> State | None:
        if self.state is State.HALF_OPEN:
            if trial_of != self.episode:
                return None  # in half-open only the trials' outcomes count
            self.trials_out -= 1
            self.trial_results += (failed,)
            bad = sum(self.trial_results)
            if bad / TRIALS >= THRESHOLD:  # the rest cannot save it
                self.cooldown_us = min(2 * self.cooldown_us, LONGEST_COOLDOWN_US)
                return self.open(now_us)
            return self.close() if len(self.trial_results) == TRIALS else None
        if len(self.ring) == RING:
            self.failures -= self.ring[0]
        self.ring = self.ring[1 - RING :] + (b"\1" if failed else b"\0")
        self.failures += failed
        limit = len(self.ring) * (common + (1.0 - common) * THRESHOLD)
        if failed and len(self.ring) >= MINIMUM and self.failures >= limit:
            return self.open(now_us)
        return None

    def forgo_trial(self, trial_of: int) -> None:
        """A trial that proved nothing gives its place back."""
        if self.state is State.HALF_OPEN and trial_of == self.episode:
            self.trials_out -= 1

    def open(self, now_us: int) -> State:
        self.state = State.OPEN
        self.open_until_us = now_us + self.cooldown_us
        return self.state

    def close(self) -> State:
        self.state = State.CLOSED
        self.ring = b""
        self.failures = 0
        self.cooldown_us = COOLDOWN_US
        return self.state


class Breakers(dict[int, Breaker]):
    """One server's breakers by place: 0 judges all its outcomes, then one a kind of request, from 1.

    One that is asked for by its place comes into being, closed and empty; `get` makes none. Place 0 and the
    server's last outcomes lapse together.
    """

    __slots__ = ("evidence", "recent")

    def __init__(self, evidence: Evidence) -> None:
        super().__init__()
        self.evidence = evidence
        self.recent: list[tuple[int, bool]] = []  # kind and failure of its last outcomes, the oldest first

    def __missing__(self, place: int) -> Breaker:
        breaker = self[place] = Breaker(self, place)
        return breaker

    def retire(self) -> None:
        """Their server is not listed any more: what is still to come in counts for it alone."""
        spare = Evidence(self.evidence.episodes)
        for breaker in self.values():
            self.evidence.remove(breaker)
            breaker.evidence = spare
            spare.insert(breaker)
        self.evidence = spare


class Evidence:
    """Totals over the breakers and the weights of all listed servers, and when each breaker lapses."""

    def __init__(self, episodes: int = 0) -> None:
        self.episodes = episodes  # half-open spells so far, of any breaker
        self.totals: dict[int, list[int]] = {}  # by place: outcomes and failures in closed rings
        self.shut = 0  # servers whose first breaker is not closed
        self.opened = 0  # breakers that are open
        self.weights = 0  # sum of the controllers' weights, in units of 1 / WEIGHT_UNIT
        self.closed: OrderedDict[Breaker, None] = OrderedDict()  # by their last outcome, the oldest first
        self.barred: dict[Breaker, None] = {}  # those not closed

    def insert(self, breaker: Breaker) -> None:
        (self.closed if breaker.state is State.CLOSED else self.barred)[breaker] = None
        self.count(breaker, 1)

    def remove(self, breaker: Breaker) -> None:
        self.closed.pop(breaker, None)
        self.barred.pop(breaker, None)
        self.count(breaker, -1)

    def count(self, breaker: Breaker, sign: int) -> None:
        if breaker.state is not State.CLOSED:
            self.opened += sign * (breaker.state is State.OPEN)
            self.shut += sign * (breaker.place == 0)
        elif breaker.ring:
            total = self.totals.setdefault(breaker.place, [0, 0])
            total[0] += sign * len(breaker.ring)
            total[1] += sign * breaker.failures
            if not total[0]:
                del self.totals[breaker.place]

    def lapse(self, now_us: int) -> None:
        """Drop the closed breakers whose rings prove nothing any more; those not closed are never dropped."""
        while self.closed:
            breaker = next(iter(self.closed))
            if now_us - breaker.heard_us <= LAPSE_US:
                return
            self.drop(breaker)

    def drop(self, breaker: Breaker) -> None:
        self.remove(breaker)
        if breaker.owner is not None:
            del breaker.owner[breaker.place]
            if breaker.place == 0:
                breaker.owner.recent.clear()

    def purge(self, generations: Sequence[SettingsVersion]) -> None:
        """Drop what is not closed of kinds that none of these has; what is closed lapses by itself."""
        classes = {number for generation in generations for number in generation.class_ids}
        tenants = {number for generation in generations for number in generation.tenant_ids}
        for breaker in list(self.barred):
            klass, tenant = divmod(breaker.place - 1, KINDS)
            if breaker.place and not (klass in classes and tenant in tenants):
                self.drop(breaker)

    def failure_share(self, place: int, but: Breaker | None) -> float:
        """Share of failures in all closed rings of a place but one, from 0 to 1; 0 where there are none."""
        entries, failures = self.totals.get(place, (0, 0))
        if but is not None and but.state is State.CLOSED and but.evidence is self:
            entries, failures = entries - len(but.ring), failures - but.failures
        return failures / entries if entries else 0.0


class ClassState:
    """What answers have shown of one class of requests since it last changed its meaning."""

    __slots__ = ("_smoothed", "among", "answers", "mean_work", "number", "patience", "terms", "unhindered")

    def __init__(self, number: int, terms: RequestClass) -> None:
        self.number, self.terms = number, terms
        self.among: Classes | None = None  # those of the generation in force; None once it is none of them
        self._smoothed = terms.latency_objective_us / 4
        self.unhindered = terms.latency_objective_us / 4  # latency in microseconds where nothing queued
        self.answers = 0  # good ones
        self.mean_work = 0.0  # of hints, in microseconds
        self.patience = (terms.client_timeout_us, 0)  # of first tries, and the votes for it

    @property
    def smoothed(self) -> float:
        """Latency of good answers, in microseconds."""
        return self._smoothed

    @smoothed.setter
    def smoothed(self, value: float) -> None:
        before, self._smoothed = self._smoothed, value
        if self.among is None:
            return
        if value > self.among.longest.smoothed:
            self.among.longest = self
        elif self is self.among.longest and value < before:
            self.among.longest = max(self.among, key=attrgetter("_smoothed"))


class Classes(list[ClassState]):
    """The classes of a generation, by place; the one with the longest latency is known without a walk."""

    def __init__(self, generation: SettingsVersion, before: Mapping[int, ClassState]) -> None:
        """`before`: the classes so far by number, whose state stays where the number does."""
        numbered = zip(generation.class_ids, generation.settings.classes, strict=True)
        super().__init__(before.get(number) or ClassState(number, terms) for number, terms in numbered)
        self.by_number = {state.number: state for state in self}
        for state in before.values():
            state.among = None
        for state in self:
            state.among = self
        self.longest = max(self, key=attrgetter("_smoothed"))


class Demand:
    """First tries of late by class: within the tenants' shares and beyond; of the former, served in time."""

    def __init__(self) -> None:
        self.asked: defaultdict[int, float] = defaultdict(float)
        self.beyond: defaultdict[int, float] = defaultdict(float)
        self.served: defaultdict[int, float] = defaultdict(float)
        self.within = 0.0  # sum of asked
        self.total = 0.0  # and of beyond
        self.changes = 0  # since the start, in what is asked, served or taken for the unhindered latency

    def ask(self, klass: int, over: bool) -> None:
        (self.beyond if over else self.asked)[klass] += 1
        self.within += not over
        self.total += 1
        self.changes += 1
        if self.total > MEMORY:
            for counts in (self.asked, self.beyond, self.served):
                for index, count in list(counts.items()):
                    counts[index] = count / 2
            for index in self.asked.keys() | self.beyond.keys():
                if self.asked.get(index, 0.0) + self.beyond.get(index, 0.0) < FORGOTTEN:
                    for counts in (self.asked, self.beyond, self.served):
                        counts.pop(index, None)
            self.add_up()

    def serve(self, klass: int) -> None:
        self.served[klass] += 1
        self.changes += 1

    def keep(self, classes: Mapping[int, ClassState]) -> None:
        """Forget the classes that are no more."""
        for counts in (self.asked, self.beyond, self.served):
            for klass in counts.keys() - classes.keys():
                del counts[klass]
        self.add_up()

    def add_up(self) -> None:
        self.within = sum(self.asked.values())
        self.total = self.within + sum(self.beyond.values())


class Ranking:
    """Shares of the work asked for, in order of what the goal gains from each unit of it."""

    def __init__(self, at: int, graded: list[tuple[float, float]]) -> None:
        """`graded`: worth and amount of each part of the work; `at`: changes of the demand by then."""
        graded.sort()
        self.at = at
        self.parts = len(graded)
        self.worths = [worth for worth, _ in graded]
        self.amounts = list(accumulate((amount for _, amount in graded), initial=0.0))
        self.whole = self.amounts[-1] or 1.0

    def is_stale(self, changes: int) -> bool:
        """With many parts as many changes may pass: putting them in order costs each request the same."""
        return changes - self.at > max(0, self.parts - EXACT)

    def below(self, worth: float) -> float:
        """Share of the work that is worth less, from 0 to 1."""
        return self.amounts[bisect_left(self.worths, worth)] / self.whole


class Quotas:
    """What is left of the tenants' quotas, of those who have asked within the last span."""

    def __init__(self) -> None:
        self.used: OrderedDict[int, tuple[float, int]] = OrderedDict()  # requests left, and when that was

    def left(self, tenant: int, now_us: int, per_s: float) -> float:
        """Requests that a tenant has left of its quota; all of a span's where it asked for none within it."""
        left, at_us = self.used.get(tenant, (per_s * QUOTA_SPAN_S, now_us))
        return min(per_s * QUOTA_SPAN_S, left + per_s * (now_us - at_us) / 1e6)

    def keep(self, tenant: int, now_us: int, left: float) -> None:
        """Keep what is left, and drop those that have filled up again since: as long as a span fills any."""
        self.used[tenant] = (left, now_us)
        self.used.move_to_end(tenant)
        while now_us - next(iter(self.used.values()))[1] > QUOTA_SPAN_S * 1e6:
            self.used.popitem(last=False)
