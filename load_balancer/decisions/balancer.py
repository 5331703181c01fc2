"""All decisions of the balancer. Settings, events and actions have modules of their own.

The ordinary path: a request arrives and a weighted random draw picks among the servers whose breaker lets it
through. A server's weight in the draw is its listed weight times the weight of the
feedback controller, less for what this proxy has out there. docs/design.md says for each departure from the
plain count-based breaker what was kept, what changed, and when exactly it acts.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from operator import attrgetter

from load_balancer.decisions.actions import (
    Action,
    Cancel,
    Fail,
    LogEvent,
    Reject,
    Send,
    SetTimer,
    SubscribeEndpoints,
)
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    MAY_STILL_EXECUTE,
    NEVER_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    SettingsChanged,
    StreamStarted,
    TimerFired,
)
from load_balancer.decisions.evidence import (
    KINDS,
    MINIMUM,
    RING,
    TRIALS,
    WEIGHT_UNIT,
    Breaker,
    Breakers,
    Classes,
    ClassState,
    Demand,
    Evidence,
    Quotas,
    Ranking,
    State,
)
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, Settings
from load_balancer.decisions.settings_version import SettingsVersion, initial_version

# The weight controller
FLOOR, CEILING = 0.05, 1.0  # of the controller's weight
STEP = 0.02  # added by a good answer
CUT = 0.7  # factor of a failure or a slow reply
SLOW = 2.0  # times the smoothed latency: a slow reply
SMOOTHING = 0.05  # share of the newest sample in smoothed values
HINTED = 0.3  # part of the usual latency that goes with the hinted work; the rest is there whatever the work
# The draw
SUBSET = 3  # servers a proxy spreads over at the least: few fill their rings, enough outlive a bad third
WIDE = 64  # servers of a keyed request's scope that its repeat is drawn among, at the most
REACH_MEMORY = 0.98  # of the widest subset needed of late, left after each request
UNHINDERED_DOWN = 0.05  # share of the way that the unhindered latency falls to a shorter one
FEW = 5  # answers: the first move the unhindered latency down by up to a sixth of the way, later ones less
UNHINDERED_UP = 0.0005  # relative rise with each longer one: a jam must not pass for the usual within seconds
AWAY = 80.0  # how hard the price of crossing zones lowers the weight of servers in other zones
REPORT_HALF_US = 1_000_000  # after which a reported queue or rate of errors counts half
FAILING = 0.1  # share of the usual requests that fail by a report: it weighs like one request out
SPEEDS = 4.0  # most that reported service times raise or lower a weight by
REPORTED = 0.3  # share of the newest report in a server's smoothed service time
# Keys that warm a server
HOME_FAVOUR = 20.0  # factor on the weight of a key's home: most of its requests, not all
HASH_FACTOR, HASH_MASK = 0x9E3779B97F4A7C15, 2**64 - 1  # golden ratio in 64 bits: spreads close numbers apart
# Attempts
OVERDUE = 4.0  # times the smoothed latency: an attempt that should have been answered
RETRY_SHARE = 0.2  # further attempts a first try pays for
RETRY_BURST = 2.0  # most of them saved up: by hundreds of proxies together
SAME_PATIENCE = 0.02  # times given to two tries that differ by less are the same
AIM_SHARE = 0.98  # of the time to the aim that is waited for an answer that is worth nothing later
# Shedding
TOLERATED = 0.25  # share of the slack under the tightest aim that an answer may have waited
LIMIT_FIRST = 6.0  # requests out before anything is known: many restarted proxies must not add up to a jam
LIMIT_LEAST = 0.5  # with one out hardly any more goes: at one, hundreds of proxies had two out each
LIMIT_STEP = 0.2  # added to the limit by a prompt answer once a long one has come, before that one each
BINDS = 0.75  # share of the limit that must be out for a prompt answer to raise it: bursts fit into the rest
LIMIT_CUT = 3.0  # times the step, taken off by a long one: it holds where a quarter are long
SHED_STEP = 0.1  # of the work asked for, shed more or less after one list with live weights
HELD_PER_CORE = 1.0  # requests held by a core of the fleet, as live weights tell, beyond which more is shed
HURRIED_TRIALS = 0.02  # share of the requests given too little time that is sent all the same
SHED_MOST = 0.95  # what still comes through tells when to shed less
# Cold servers
FALL_MARGIN = 0.5  # part of the fall budget that is planned with; the rest is for misjudged work and chance

LOG_GAP_US = 100_000  # between two log lines
# Whatever is allowed after a failed call, a change counts as told 6 s after the list service had it and could
# be reached. Of these a call may hang for 3 s and the next be queued for 2 s: see gateway/discovery.py.
REPEAT_CALL_MOST_US = 800_000  # before a call is repeated; a quarter at first, doubling with each failure
FIRST_CALL_SHARE = 0.1  # of the time the rules give: the first call to the list service falls within it
FIRST_CALL_MOST_US = 1_500_000  # but within this: it may be queued, turned away and queued once more


class Server:
    """What this proxy knows of one server since it last started."""

    __slots__ = (
        "_weight",
        "breakers",
        "entry",
        "failing",
        "heard_us",
        "out",
        "queue",
        "rank",
        "reported_us",
        "service_ms",
        "spent_at_us",
        "spent_us",
    )

    def __init__(self, entry: Endpoint, weight: float, rank: float, evidence: Evidence, now_us: int):
        self.entry = entry
        self.rank = rank  # rendezvous hash of this proxy and the server: its place in the subset
        self.breakers = Breakers(evidence)  # 0 judges all its outcomes; then one a kind of request, from 1
        self._weight = 0.0
        self.weight = weight
        self.out: dict[Attempt, int] = {}  # attempts and when they were sent, oldest first
        self.heard_us = 0  # when it last answered
        self.queue = 0.0  # requests of all proxies that wait there, as it last reported
        self.failing = 0.0  # errors a second to all proxies, as it last reported
        self.reported_us = 0  # when that was
        self.service_ms = 0.0  # smoothed service time by its reports; 0: not known
        self.spent_us = 0.0  # cold only: work sent and not yet paid off
        self.spent_at_us = now_us

    @property
    def weight(self) -> float:
        """The controller's, from FLOOR to CEILING."""
        return self._weight

    @weight.setter
    def weight(self, weight: float) -> None:
        self.breakers.evidence.weights += int(weight * WEIGHT_UNIT) - int(self._weight * WEIGHT_UNIT)
        self._weight = weight

    @property
    def is_closed(self) -> bool:
        """Whether the breaker of all its outcomes is closed."""
        breaker = self.breakers.get(0)
        return breaker is None or breaker.state is State.CLOSED

    def retire(self) -> None:
        """It is not listed any more; what is still out there counts for nobody else."""
        self.breakers.evidence.weights -= int(self._weight * WEIGHT_UNIT)
        self.breakers.retire()


@dataclass(slots=True, eq=False)
class Attempt:
    server: Server
    sent_us: int
    trials_of: tuple[int, ...]  # the half-open spells of its two breakers that it is a trial of
    ended: bool = False
    may_have_run: bool = True
    overdue: bool = False


@dataclass(slots=True, eq=False)
class Line:
    """Requests of ordered classes with one key, in order of arrival; the first has the turn."""

    key: int
    queue: deque[Request] = field(default_factory=deque)
    rest_until_us: int = 0  # an attempt that may still be running holds up those behind it


@dataclass(slots=True, eq=False)
class Request:
    id: str
    klass: ClassState
    under: SettingsVersion  # what it was taken under
    kind: int  # class and tenant in one number
    key: int | None
    deadline_us: int
    aim_us: int  # absolute
    size: float  # expected latency over the class's usual one
    work_us: int | None  # as hinted
    first_try: bool
    over: bool  # beyond its tenant's share
    line: Line | None = None
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    done: bool = False
    streaming: bool = False
    moving: bool = False  # its overdue attempt is called off for another, which has been paid for


def judges(server: Server, kind: int) -> tuple[Breaker | None, Breaker | None]:
    """The breakers that must let a request through; None for one with nothing to say, which is closed.

    Guards against a server that fails one class or one tenant only: in one ring its failures drown in what
    it serves, and it is kept for all or lost to all.
    """
    return server.breakers.get(0), server.breakers.get(kind + 1)


def scope_of(scope: DeduplicationScope, server: Server) -> int:
    """The number of the scope, in which repeats of a keyed request are dropped, that a server is in."""
    if scope is DeduplicationScope.ALL:
        return 0
    return server.entry.zone if scope is DeduplicationScope.ZONE else server.entry.group


def rendezvous(key: int, server: int, weight: float) -> float:
    """Lowest at the server that a key belongs to: weighted rendezvous hashing.

    Everyone ranks alike without a word, and a server that comes or goes moves only what ranks it first.
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight


class Balancer:
    """Decides for one proxy. Feed it events in order; carry out the actions that each returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.generation = initial_version(settings)
        self.settings = settings  # of that generation: servers and what arrives go by it
        self.random = random.Random(seed)
        self.now_us = 0
        self.actions: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.ranked: list[Server] = []  # the same by rank: the subset is the first of them that may be used
        self.evidence = Evidence()
        self.sizes: dict[int, float] = {}  # largest listed weight of each kind: live ones sink from it
        self.reach = float(SUBSET)
        self.out = 0  # attempts out everywhere
        self.requests: dict[str, Request] = {}
        self.lines: dict[int, Line] = {}  # by key
        self.freed: list[Line] = []  # those whose turn may pass on after this event
        self.timers: dict[int, Callable[[], None]] = {}
        self.next_token = 1
        self.retry_tokens = RETRY_BURST
        self.list_calls_failed = 0
        self.classes = Classes(self.generation, {})
        self.quotas = Quotas()
        self.demand = Demand()
        self.ranking = Ranking(-1, [])
        self.mean_worth, self.worst_served = 1.0, 1.0  # as of that ranking
        self.service_ms = 0.0  # smoothed service time by the reports of all servers
        self.gap_us = 0.0  # smoothed time between two requests
        self.arrived_us = 0  # when the last one came
        self.limit = LIMIT_FIRST  # requests out beyond which load is shed
        self.strained = False  # a long answer has come since the start
        self.told = 0.0  # share to shed as live weights tell
        self.logged_us, self.unsaid = -LOG_GAP_US, 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; returns what to do, in order."""
        self.now_us = max(now_us, self.now_us)  # a clock that steps back stands still instead
        self.actions = []
        self.evidence.lapse(self.now_us)
        if isinstance(event, AttemptEnded):
            self.on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self.on_request(event)
        elif isinstance(event, TimerFired):
            self.on_timer(event.token)
        elif isinstance(event, ClientDisconnected):
            self.on_gone(event)
        elif isinstance(event, EndpointListReceived):
            self.on_list(event)
        elif isinstance(event, StreamStarted):
            self.on_stream(event)
        elif isinstance(event, SettingsChanged):
            self.on_settings(event.version)
        while self.freed:
            self.pass_turn(self.freed.pop())
        return self.actions

    # Generations

    def on_settings(self, generation: SettingsVersion) -> None:
        """Take over settings for what arrives from now on; what is here ends under its own.

        State stays with the numbers, so that of a class or tenant whose meaning has changed starts anew.
        """
        if generation.number > self.generation.number:
            self.evidence.purge((self.generation, generation))
            self.generation, self.settings = generation, generation.settings
            self.classes = Classes(generation, self.classes.by_number)
            self.demand.keep(self.classes.by_number)
            self.ranking = Ranking(-1, [])

    # Requests

    def on_request(self, event: RequestArrived) -> None:
        if event.request_id in self.requests:
            self.log("request.duplicate_id", request_id=event.request_id)
            return
        if not 0 <= event.request_class < len(self.classes):
            self.log("request.unknown_class", request_id=event.request_id)
            self.actions.append(Fail(event.request_id))
            return
        request = self.admit(event)
        self.requests[request.id] = request
        if self.arrived_us:
            self.gap_us += SMOOTHING * (self.now_us - self.arrived_us - self.gap_us)
        self.arrived_us = self.now_us
        if self.is_shed(request) or not (self.await_turn(request) or self.try_send(request)):
            self.answer_unserved(request)

    def admit(self, event: RequestArrived) -> Request:
        klass = self.classes[event.request_class]
        used_us = self.used_us(event, klass)
        first_try = not event.is_retry and used_us == 0
        over = self.is_over(event, first_try)
        size = 1.0
        if event.work_us:
            mean = klass.mean_work or float(event.work_us)
            klass.mean_work = mean + SMOOTHING * (event.work_us - mean)
            size += HINTED * (event.work_us / mean - 1.0)
        if first_try:
            self.retry_tokens = min(self.retry_tokens + RETRY_SHARE, RETRY_BURST)
            self.demand.ask(klass.number, over)
        kind = klass.number * KINDS + self.generation.tenant_ids[self.tenant(event)]
        return Request(
            event.request_id,
            klass,
            self.generation,
            kind,
            event.key,
            self.now_us + event.remaining_timeout_us,
            self.now_us + max(0, klass.terms.latency_objective_us - used_us),
            size,
            event.work_us,
            first_try,
            over,
        )

    def is_over(self, event: RequestArrived, first_try: bool) -> bool:
        """Whether a request is beyond this proxy's part of its tenant's quota; first tries use that up."""
        if not self.settings.tenants:
            return False
        tenant = self.tenant(event)
        quota_per_s = self.settings.tenants[tenant].quota_per_s / self.settings.gateways
        if not quota_per_s:
            return False
        number = self.generation.tenant_ids[tenant]
        left = self.quotas.left(number, self.now_us, quota_per_s)
        over = left < 1.0
        self.quotas.keep(number, self.now_us, left - (first_try and not over))
        return over

    def tenant(self, event: RequestArrived) -> int:
        """The place of its tenant; one that the settings do not name counts as the first."""
        return event.tenant if 0 <= event.tenant < len(self.generation.tenant_ids) else 0

    def used_us(self, event: RequestArrived, klass: ClassState) -> int:
        """How much of its time a request's earlier tries have used; a first try has used none.

        First tries of a class are all given the same time, found by majority vote; another time marks a
        repeat that is given all that is left. Guards against taking first tries for late repeats: the last
        try is given more than the first, so most requests once found their aim over on arrival.
        """
        usual, votes = klass.patience
        same = abs(event.remaining_timeout_us - usual) <= SAME_PATIENCE * usual
        if not event.is_retry:
            usual, votes = (usual, votes + 1) if same else (usual, votes - 1)
            klass.patience = (usual, votes) if votes >= 0 else (event.remaining_timeout_us, 1)
            same = same or votes < 0 or self.settings.clients_mark_retries
        return 0 if same else max(0, klass.terms.client_timeout_us - event.remaining_timeout_us)

    def is_shed(self, request: Request) -> bool:
        """Whether to refuse a request before it costs a server anything.

        Guards against queues that grow past every aim when more is asked for than can be served: then what
        gains the goal least for its work goes first. Nothing while no server is closed: half-open ones need
        trials, and without an answer nothing would change.
        """
        if self.is_hopeless(request):
            return True
        if self.shed <= 0.0 or not self.any_closed():
            return False
        if self.ranking.is_stale(self.demand.changes):
            self.rank_work()
        counts = self.demand.beyond if request.over else self.demand.asked
        amount = counts.get(request.klass.number, 0.0) * request.klass.unhindered
        below = self.ranking.below(self.worth(request.klass, request.over))
        point = below + amount / self.ranking.whole * self.random.random()
        return point < self.shed

    def any_closed(self) -> bool:
        """Whether any listed server's breaker of all outcomes is closed."""
        return self.evidence.shut < len(self.servers)

    def is_hopeless(self, request: Request) -> bool:
        """Whether the time given is over, or less than any answer of its class has taken.

        Guards against clients in a hurry that ask again and again: servers worked on what nobody waited for,
        until nothing else was in time either. A few are let through, as answers may become shorter.
        """
        left_us = self.end_us(request) - self.now_us
        if left_us <= 0:
            return True
        known = request.klass.answers >= FEW
        short = left_us < request.klass.unhindered * request.size
        return known and short and self.random.random() >= HURRIED_TRIALS

    def rank_work(self) -> None:
        """Put what has been asked of late in order of worth; with many classes only once in a while."""
        demand, classes = self.demand, self.classes.by_number
        total = sum(demand.asked.values()) or 1.0
        worth = sum(classes[i].terms.priority_weight * n for i, n in sorted(demand.asked.items()))
        self.mean_worth = worth / total or 1.0
        served = [demand.served.get(i, 0.0) / n for i, n in demand.asked.items()]
        if len(served) < len(classes):
            served.append(1.0)  # of those that nobody asked for nothing is left undone
        self.worst_served = min(served)
        graded = [
            (self.worth(classes[i], over), n * classes[i].unhindered)
            for over, counts in ((False, demand.asked), (True, demand.beyond))
            for i, n in counts.items()
        ]
        self.ranking = Ranking(demand.changes, graded)

    def worth(self, klass: ClassState, over: bool) -> float:
        """What the goal gains from each unit of server time for a class, within or beyond the share."""
        goal, demand = self.settings.objective, self.demand
        unit = 1.0 if self.settings.weight_by_work else klass.unhindered
        gain = (goal.overall + goal.worst_window) * klass.terms.priority_weight / self.mean_worth / unit
        if over:
            return gain * self.settings.over_quota_weight_share
        asked = demand.asked.get(klass.number, 0.0)
        if asked and demand.served.get(klass.number, 0.0) / asked <= self.worst_served:
            gain += goal.worst_class * (demand.within or 1.0) / asked / unit
        return gain

    def adjust_limit(self, request: Request, event: AttemptEnded) -> None:
        """Feedback like the weights': down after an answer that waited too long, up after a prompt one."""
        klass = request.klass
        if (
            event.outcome in (Outcome.OK, Outcome.REJECTED)
            and dict(event.load_report).get("queue", 0.0) >= 1.0
        ):
            # Work waits there: a crowd, not a limit on one class or tenant. Full refusals come at once, so
            # that what is out stays low, and the latency of answers tells only once the jam is seconds old.
            self.step_limit(True, most=1.0)
            return
        if event.outcome not in (Outcome.OK, Outcome.TIMEOUT):
            return
        # A time-out tells no more than that the answer would have come later. What a client in a hurry gives
        # is all the time there is: many that time out, ask again and time out are a jam too.
        given_us = request.deadline_us - request.attempts[event.attempt].sent_us
        slack = min(given_us, klass.terms.latency_objective_us) - klass.unhindered
        waited = event.latency_us - klass.unhindered * request.size
        # No less than what makes a reply slow: work that varies by itself must not pass for a queue.
        tolerated = slack * (TOLERATED + (1.0 - TOLERATED) * klass.terms.late_weight_share)
        tolerated = max(tolerated, (SLOW - 1.0) * klass.unhindered * request.size)
        long = waited > tolerated
        if event.outcome is Outcome.OK or long:
            self.step_limit(long)

    def step_limit(self, long: bool, most: float = 2.0) -> None:
        """Lower the limit on what is out after a long answer; raise it after a prompt one where it binds.

        Guards against overshooting: what was sent before a step still takes long after it, but all that is
        under way together lowers the limit by a part. A low limit lets few answers come, so that each
        counts for more. A long answer leaves no more than `most` times what is out: a reported queue is of
        now, so what is out now is already enough.
        """
        step = max(LIMIT_STEP, min(1.0, 1.0 / self.limit))
        if long:
            self.limit = max(LIMIT_LEAST, min(self.limit, most * (self.out + 1)) - LIMIT_CUT * step)
            self.strained = True
        elif self.out + 1 >= self.limit * BINDS:
            self.limit += step if self.strained else 1.0

    @property
    def shed(self) -> float:
        """Share of the work asked for that is refused, least worth first: the more is out beyond the limit.

        It follows what is out and not a verdict on the past, so it ends as soon as the servers have answered.
        """
        return min(SHED_MOST, max(0.0, self.told, self.out / self.limit - 1.0))

    def expected_us(self, request: Request) -> float:
        return request.klass.smoothed * request.size

    def answer_unserved(self, request: Request) -> None:
        """The final answer when no attempt is out and none is to come."""
        if request.done:
            return
        klass = request.klass.terms
        ran = any(a.may_have_run for a in request.attempts)
        dropped_anywhere = (
            klass.idempotency is Idempotency.IDEMPOTENCY_KEY
            and klass.deduplication_scope is DeduplicationScope.ALL
        )
        if not ran or klass.idempotency is Idempotency.IDEMPOTENT or dropped_anywhere:
            self.actions.append(Reject(request.id, self.retry_after_us(request)))
        else:
            self.actions.append(Fail(request.id))
        self.finish(request)

    def retry_after_us(self, request: Request) -> int:
        """The shortest cooldown left where every server is open to it, or the time until shedding may end.

        That is when what is out beyond the limit may have been answered.
        """
        answers = max(self.out - self.limit, self.told / SHED_STEP)
        shed_us = answers * self.classes.longest.smoothed / max(1, self.out)
        most_us = request.under.settings.max_retry_after_us
        return max(0, min(max(self.cooldown_left_us(request.kind), int(shed_us)), most_us))

    def cooldown_left_us(self, kind: int) -> int:
        """The shortest cooldown left, or 0 where a server is not open to this kind of request."""
        if self.evidence.opened < len(self.servers):
            return 0  # fewer are open than there are servers
        cooldowns = []
        for server in self.servers.values():
            opened = [b.open_until_us for b in judges(server, kind) if b and b.state is State.OPEN]
            cooldowns.append(max(opened, default=self.now_us) - self.now_us)
        return min(cooldowns, default=0)

    def finish(self, request: Request) -> None:
        request.done = True
        if request.out == 0:
            self.forget(request)
        elif not request.streaming:
            self.call_off(request)

    def forget(self, request: Request) -> None:
        """Nothing of it is out any more, and its turn, if it had one, passes on."""
        self.requests.pop(request.id, None)
        if request.line is not None:
            request.line.queue.remove(request)
            self.freed.append(request.line)

    def call_off(self, request: Request, spared: int | None = None) -> None:
        """Cancel what is still out, but for one attempt that is wanted."""
        for number, attempt in enumerate(request.attempts if request.under.settings.may_cancel else ()):
            if not attempt.ended and number != spared:
                self.actions.append(Cancel(request.id, number))

    def on_gone(self, event: ClientDisconnected) -> None:
        request = self.requests.get(event.request_id)
        if request is not None and not request.done:
            for attempt in request.attempts[-1:]:
                # Its client had the patience for an unhindered answer and left all the same: as good as a
                # time-out. Many impatient clients would otherwise hide a jam that they make.
                least_us = request.klass.unhindered * request.size
                if not attempt.ended and self.now_us - attempt.sent_us > least_us:
                    self.step_limit(True)
            self.finish(request)

    def on_stream(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request_id)
        if request is None or request.done or not 0 <= event.attempt < len(request.attempts):
            return
        request.streaming = True
        self.call_off(request, spared=event.attempt)

    # Order

    def await_turn(self, request: Request) -> bool:
        """Line up behind the earlier requests with the same key; False if the request may go at once.

        Guards against two of one key running at once or out of turn: the next goes only when nothing of those
        before it is out, after a rest where that may still be running. What can't run in time any more is
        turned away, while its client can still try again.
        """
        if request.key is None or not request.klass.terms.ordered:
            return False
        line = request.line = self.lines.setdefault(request.key, Line(request.key))
        line.queue.append(request)
        if line.queue[0] is request and self.now_us >= line.rest_until_us:
            return False
        least_us = int(request.klass.unhindered * request.size)
        ready_us = max(self.now_us + (len(line.queue) - 1) * least_us, line.rest_until_us)
        if ready_us + least_us > self.end_us(request):
            self.answer_unserved(request)
        else:
            self.set_timer(self.end_us(request) - least_us, partial(self.give_up_waiting, request))
        return True

    def give_up_waiting(self, request: Request) -> None:
        if not request.attempts:
            self.answer_unserved(request)

    def pass_turn(self, line: Line) -> None:
        """Let the first of a line go, unless it is out already or its key must rest."""
        while self.now_us >= line.rest_until_us and line.queue and not line.queue[0].attempts:
            if not self.try_send(line.queue[0]):
                self.answer_unserved(line.queue[0])
        if not line.queue and self.now_us >= line.rest_until_us and self.lines.get(line.key) is line:
            del self.lines[line.key]

    def set_timer(self, due_us: int, action: Callable[[], None]) -> None:
        self.timers[self.next_token] = action
        self.actions.append(SetTimer(due_us, self.next_token))
        self.next_token += 1

    def on_timer(self, token: int) -> None:
        action = self.timers.pop(token, None)
        if action is not None:
            action()

    # Attempts

    def try_send(self, request: Request) -> bool:
        """Send an attempt, if a server may take one now."""
        server = self.pick(request)
        if server is None:
            return False
        klass = request.klass.terms
        trials_of = tuple(b.take_trial() if b else 0 for b in judges(server, request.kind))
        attempt = Attempt(server, self.now_us, trials_of)
        request.attempts.append(attempt)
        request.out += 1
        server.out[attempt] = self.now_us
        self.out += 1
        self.reach = max(SUBSET + self.out, SUBSET + (self.reach - SUBSET) * REACH_MEMORY)
        if self.cold_share(server) < 1.0:
            server.spent_us += self.cold_cost_us(request)
        self.actions.append(Send(request.id, server.entry.id, max(1, self.end_us(request) - self.now_us)))
        overdue_us = self.now_us + int(OVERDUE * self.expected_us(request))
        if klass.idempotency is not Idempotency.NON_IDEMPOTENT and overdue_us < request.deadline_us:
            self.set_timer(overdue_us, partial(self.on_overdue, request))
        return True

    def end_us(self, request: Request) -> int:
        """When an attempt stops being worth waiting for."""
        if request.klass.terms.late_weight_share > 0.0:
            return request.deadline_us
        return min(request.deadline_us, self.now_us + int(AIM_SHARE * (request.aim_us - self.now_us)))

    def on_overdue(self, request: Request) -> None:
        """An attempt should have been answered by now: where the class allows, try another server too."""
        late = [a for a in request.attempts if not a.ended and not request.done]
        for attempt in late:
            attempt.overdue = True
        if not late or request.streaming or not self.may_repeat():
            return
        if len(request.attempts) >= request.under.settings.max_attempts:
            return
        if request.under.settings.may_hedge:
            if self.try_send(request):
                self.retry_tokens -= 1
        elif request.under.settings.may_cancel and self.pick(request) is not None:
            # One at a time: the next goes out once this one has ended.
            request.moving = True
            self.retry_tokens -= 1
            self.call_off(request)

    def may_repeat(self) -> bool:
        """Whether a retry or a second copy of what may have run can be afforded.

        Guards against an overload that feeds itself: none while anything is shed.
        """
        return self.retry_tokens >= 1 and self.shed <= 0.0

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.ended:
            return
        attempt.ended = True
        full_ran = event.outcome is Outcome.REJECTED and request.under.settings.rejected_may_have_run
        attempt.may_have_run = full_ran or event.outcome not in NEVER_EXECUTED
        request.out -= 1
        attempt.server.out.pop(attempt, None)
        self.out -= 1
        if request.line is not None and event.outcome in MAY_STILL_EXECUTE:
            request.line.rest_until_us = self.now_us + request.under.settings.ordered_key_delay_us
            self.set_timer(request.line.rest_until_us, partial(self.pass_turn, request.line))
        if event.outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            attempt.server.heard_us = self.now_us
        self.heed_report(attempt.server, event.load_report)
        self.judge(request, attempt, event)
        if request.done:
            if request.out == 0:
                self.forget(request)
        elif event.finished or event.outcome is Outcome.OK:
            within = request.first_try and not request.over and request.klass.among is not None
            if event.outcome is Outcome.OK and within and self.now_us <= request.aim_us:
                self.demand.serve(request.klass.number)
            self.finish(request)
        elif request.out == 0:
            self.try_again(request)

    def try_again(self, request: Request) -> None:
        """After the last attempt out has failed: another one, a place in the queue, or the final answer."""
        klass = request.klass.terms
        ran = any(a.may_have_run for a in request.attempts)
        time_left = self.end_us(request) - self.now_us > request.klass.unhindered * request.size
        allowed = not ran or klass.idempotency is not Idempotency.NON_IDEMPOTENT
        moving, request.moving = request.moving, False
        if ran and not moving and not self.may_repeat():
            allowed = False
        if not allowed or not time_left or len(request.attempts) >= request.under.settings.max_attempts:
            self.answer_unserved(request)
        elif self.try_send(request):
            self.retry_tokens -= ran and not moving
        else:
            self.answer_unserved(request)

    def subset(self, kind: int) -> list[Server]:
        """The servers that this proxy spreads over: the first in rank that may be used.

        Guards against a connection table filled by hundreds of proxies, a handshake for nearly every request,
        and evidence too thin to judge by. A proxy with more in hand reaches further, so that a hot one does
        not crush its few servers; an open or silent server gives its place to the next. A cold one is used
        only by those who rank it high enough without that, so that many who step aside never meet on it.
        """
        subset: list[Server] = []
        for place, server in enumerate(self.ranked):
            if len(subset) >= self.reach:
                break
            if self.is_eligible(server, kind) and (place < self.reach or self.cold_share(server) >= 1.0):
                subset.append(server)
        return subset

    def allowed_servers(self, request: Request) -> list[Server]:
        """Servers that another attempt may go to."""
        tried = [a.server for a in request.attempts]
        klass = request.klass.terms
        ran = [a for a in request.attempts if a.may_have_run]
        servers = [s for s in self.subset(request.kind) if s not in tried]
        if not ran or klass.idempotency is Idempotency.IDEMPOTENT:
            return servers
        if (
            klass.idempotency is Idempotency.NON_IDEMPOTENT
            or self.now_us - ran[0].sent_us >= klass.deduplication_window_us
        ):
            return []
        servers = []  # maybe beyond the reach: within it may be none of the scope where it may have run
        known = {scope_of(klass.deduplication_scope, attempt.server) for attempt in ran}
        for place, server in enumerate(self.ranked):
            if len(servers) >= WIDE:
                break
            if server not in tried and known == {scope_of(klass.deduplication_scope, server)}:
                eligible = self.is_eligible(server, request.kind)
                if eligible and (place < self.reach or self.cold_share(server) >= 1.0):
                    servers.append(server)
        return servers

    # The pick

    def pick(self, request: Request) -> Server | None:
        """Weighted random choice among the servers that may take this request now."""
        candidates = self.allowed_servers(request) if request.attempts else self.subset(request.kind)
        weights = [(self.draw_weight(server, request), server) for server in candidates]
        weights = [(weight, server) for weight, server in weights if weight > 0.0]
        if request.klass.terms.idempotency is Idempotency.NON_IDEMPOTENT:
            # Trials risk their request: what could not be repeated goes to closed servers if there are any.
            weights = [w for w in weights if w[1].is_closed] or weights
        if not weights:
            return None
        total = sum(weight for weight, _ in weights)
        if request.under.settings.key_affinity and request.key is not None:
            total += self.favour_home(request.key, weights)
        point = self.random.random() * total
        for weight, server in weights:
            point -= weight
            if point <= 0.0:
                return server
        return weights[-1][1]

    def favour_home(self, key: int, weights: list[tuple[float, Server]]) -> float:
        """Raise the weight of the key's home among the candidates; returns by how much."""
        ranks = [rendezvous(key, server.entry.id, 1.0) for _, server in weights]
        home = ranks.index(min(ranks))
        raised = weights[home][0] * (HOME_FAVOUR - 1.0)
        weights[home] = (weights[home][0] + raised, weights[home][1])
        return raised

    def draw_weight(self, server: Server, request: Request) -> float:
        """A server's weight in the draw; 0 for one that is not eligible."""
        if not self.cold_room(server, request):
            return 0.0
        age = math.exp2((server.reported_us - self.now_us) / REPORT_HALF_US)  # news come only with answers
        free = 1.0 / (1.0 + len(server.out) + server.queue * age) ** 2
        free /= (1.0 + server.failing * age * self.usual_gap_s() / FAILING) ** 2
        share = self.cold_share(server)  # slow start
        known = server.entry.weight * self.speed(server) * self.nearness(server.entry) * share
        return known * server.weight * free

    def usual_gap_s(self) -> float:
        """Time between two requests of all proxies at one server, if all servers and proxies were alike."""
        return self.gap_us / 1e6 * len(self.servers) / self.settings.gateways

    def speed(self, server: Server) -> float:
        """How fast it serves against the usual, as the reports tell; 1 where they do not."""
        if not server.service_ms or not self.service_ms:
            return 1.0
        return min(SPEEDS, max(1.0 / SPEEDS, self.service_ms / server.service_ms))

    def heed_report(self, server: Server, load: tuple[tuple[str, float], ...]) -> None:
        """Load reports tell what other proxies have sent there, of which each meets a server seldom.

        Guards against many proxies that each see a server with nothing of their own out, and crowd it.
        """
        for name, value in load:
            if name == "queue" and value >= 0.0:
                server.queue, server.reported_us = value, self.now_us
            elif name == "eps" and value >= 0.0:
                server.failing, server.reported_us = value, self.now_us
            elif name == "latency_ms" and value > 0.0:
                server.service_ms += (REPORTED if server.service_ms else 1.0) * (value - server.service_ms)
                self.service_ms += (SMOOTHING if self.service_ms else 1.0) * (value - self.service_ms)

    def nearness(self, entry: Endpoint) -> float:
        """1 in this proxy's zone, less in others the more a crossing costs."""
        return 1.0 / (1.0 + AWAY * self.settings.prices.cross_zone * (entry.zone != self.settings.zone))

    def is_eligible(self, server: Server, kind: int) -> bool:
        if server.entry.status is not EndpointStatus.READY or self.is_silent(server):
            return False
        return all(b is None or b.lets_through(self.now_us) for b in judges(server, kind))

    def is_silent(self, server: Server) -> bool:
        """True while an attempt sent since the last answer is overdue: nothing more until there is news.

        One that is overdue while later ones are answered tells of itself, not of its server.
        """
        if not server.out:
            return False
        sent_us = next((at_us for at_us in server.out.values() if at_us >= server.heard_us), self.now_us)
        return self.now_us - sent_us > OVERDUE * self.classes.longest.smoothed

    # Judging servers

    def judge(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        server, outcome = attempt.server, event.outcome
        # Guards against clients in a hurry: what was given less time than a slow reply takes proves nothing.
        hurried = outcome is Outcome.TIMEOUT and event.latency_us < SLOW * self.expected_us(request)
        if hurried or outcome is Outcome.NOT_SENT or (outcome is Outcome.CANCELLED and not attempt.overdue):
            for breaker, trial_of in zip(judges(server, request.kind), attempt.trials_of, strict=True):
                if breaker is not None:
                    breaker.forgo_trial(trial_of)
            if hurried:
                self.adjust_limit(request, event)  # no server's fault, but all may be crowded
            return
        failed = outcome is not Outcome.OK
        ratio = 0.0 if failed else event.latency_us / max(1.0, self.expected_us(request))
        if not failed:
            self.learn_latency(request, event.latency_us)
        server.breakers.recent.append((request.kind, failed))
        del server.breakers.recent[: -2 * RING]
        own = failed and self.is_own(server, request)
        if server.is_closed and not own:  # else it keeps the weight it had
            self.adjust_weight(server, failed or ratio > SLOW)
        self.adjust_limit(request, event)
        for place, trial_of in zip((0, request.kind + 1), attempt.trials_of, strict=True):
            breaker = server.breakers[place]
            common = self.common_share(server, place) if failed else 0.0
            if own and place == 0:
                common = 1.0  # only a ring without a good answer convicts
            changed = breaker.record(self.now_us, failed, trial_of, common)
            if changed is not None:
                kind = (
                    {"request_class": request.klass.number, "tenant": request.kind % KINDS} if place else {}
                )
                span = {"cooldown_s": breaker.cooldown_us / 1e6} if changed is State.OPEN else {}
                about = {"endpoint_id": server.entry.id, "request_id": event.request_id, **kind, **span}
                self.log("circuit_breaker.changed", state=changed.value, **about)

    def is_own(self, server: Server, request: Request) -> bool:
        """Whether failures tell of one class or tenant alone: of late none of the others' requests failed.

        Guards against a limit on one tenant that costs all the others the server, and its weight with it.
        """
        for place in (0, 1):
            mine: list[bool] = []
            others: list[bool] = []
            for kind, failed in server.breakers.recent:
                alike = divmod(kind, KINDS)[place] == divmod(request.kind, KINDS)[place]
                (mine if alike else others).append(failed)
            if sum(mine) >= TRIALS and len(others) >= MINIMUM and not any(others):
                return True
        return False

    def learn_latency(self, request: Request, latency_us: int) -> None:
        klass, latency = request.klass, latency_us / request.size
        klass.smoothed += SMOOTHING * (latency - klass.smoothed)
        self.demand.changes += 1
        floor = klass.unhindered
        # It begins above what is likely and follows the first answers faster: a proxy that has just started
        # would otherwise take a jam for the usual. Not at once: one short answer is no measure.
        klass.answers += 1
        down = max(UNHINDERED_DOWN, 1.0 / (FEW + klass.answers))
        klass.unhindered += down * min(0.0, latency - floor) + UNHINDERED_UP * floor

    def adjust_weight(self, server: Server, bad: bool) -> None:
        """The controller: a small step up for a good answer, a cut for a failure or a slow one."""
        if bad:
            server.weight = max(FLOOR, server.weight * CUT)
        else:
            server.weight = min(CEILING, server.weight + STEP)

    def common_share(self, server: Server, place: int) -> float:
        """Failure share of the other servers' rings: what no single server is to blame for."""
        return self.evidence.failure_share(place, server.breakers.get(place))

    # Cold servers

    def cold_room(self, server: Server, request: Request) -> bool:
        """Whether this proxy's part of a cold server's fall budget has room for one more request."""
        share = self.cold_share(server)
        if share >= 1.0:
            return True
        half_us = self.fall_budget_us() * share / 2
        elapsed_us = self.now_us - server.spent_at_us
        server.spent_us = max(0.0, server.spent_us - half_us * elapsed_us / self.settings.overload_window_us)
        server.spent_at_us = self.now_us
        cost_us = self.cold_cost_us(request)
        return server.spent_us + cost_us <= max(half_us, cost_us)

    def fall_budget_us(self) -> float:
        """This proxy's part of the work that a server of one core may be sent in a fall window when warm.

        The parts of all who have the server in their reach add up to the whole. A bucket of half the budget
        that drains half a budget in each window never passes the whole in any.
        """
        users = max(1.0, self.settings.gateways * min(1.0, self.reach / max(1, len(self.ranked))))
        return FALL_MARGIN * self.settings.overload_multiple * self.settings.overload_window_us / users

    def cold_cost_us(self, request: Request) -> float:
        """Work of a request: the hint, or else between the fastest replies and the usual, which waited too.

        Guards against a jam that makes each request seem as long as its wait: the servers that start, and
        could end the jam, were then left idle. So no usual reply counts as longer than a slow one.
        """
        if request.work_us:
            return float(request.work_us)
        fastest_us = request.klass.unhindered
        return (fastest_us + min(request.klass.smoothed, SLOW * fastest_us)) / 2 * request.size

    def cold_share(self, server: Server) -> float:
        """Share of its capacity that a server surely has by now."""
        age_us = self.now_us - server.entry.started_us
        if server.entry.started_us == 0 or age_us >= self.settings.slow_start_us:
            return 1.0
        start = self.settings.slow_start_capacity
        return start + (1.0 - start) * max(0, age_us) / self.settings.slow_start_us

    # Membership

    def on_list(self, event: EndpointListReceived) -> None:
        if event.kind is ListKind.ERROR:
            self.list_calls_failed += 1
            first_us = min(REPEAT_CALL_MOST_US / 4, self.settings.max_poll_interval_us / 20)
            wait_us = min(REPEAT_CALL_MOST_US, first_us * 2 ** min(self.list_calls_failed - 1, 3))
            wait_us *= self.random.uniform(0.5, 1.0)  # proxies that failed together must not ask together
            self.log("endpoint_list.unavailable")
            self.set_timer(self.now_us + int(wait_us), self.ask_for_list)
            return
        if event.kind is ListKind.CACHED and not self.settings.endpoints_are_pushed:
            # Guards against hundreds of proxies that start together and ask together: most were turned away.
            most_us = min(FIRST_CALL_MOST_US, self.settings.max_poll_interval_us * FIRST_CALL_SHARE)
            wait_us = self.random.random() * most_us
            self.set_timer(self.now_us + int(wait_us), self.ask_for_list)
        else:
            self.list_calls_failed = 0
        gone: list[Server] = []
        if event.kind is not ListKind.DELTA:
            named = {entry.id for entry in event.endpoints}
            gone = [self.delist(number) for number in self.servers.keys() - named]
        new: list[Server] = []
        for entry in event.endpoints:
            self.list_server(entry, gone, new)
        self.rank_servers(gone, new)
        if self.settings.load_dependent_weights and self.servers:
            self.heed_live_weights()

    def heed_live_weights(self) -> None:
        """Shed by what live weights tell of the whole fleet: the size over one and what each core holds.

        Guards against the seconds that a proxy with few answers needs to notice a crowd, while servers choke.
        """
        held = sum(self.sizes[s.entry.kind] / max(FLOOR, s.entry.weight) - 1.0 for s in self.servers.values())
        over = held / len(self.servers) / HELD_PER_CORE - 1.0
        self.told = min(SHED_MOST, max(0.0, self.told + SHED_STEP * min(2.0, over)))

    def ask_for_list(self) -> None:
        """Subscribe; asked again while no answer has come, well within the time the rules give."""
        if not self.settings.endpoints_are_pushed:
            self.actions.append(SubscribeEndpoints())

    def list_server(self, entry: Endpoint, gone: list[Server], new: list[Server]) -> None:
        known = self.servers.get(entry.id)
        if entry.status is EndpointStatus.GONE:
            if known is not None:
                gone.append(self.delist(entry.id))
        elif known is None or known.entry.started_us != entry.started_us:
            if known is not None:
                gone.append(self.delist(entry.id))
            mean = self.evidence.weights / WEIGHT_UNIT / len(self.servers) if self.servers else CEILING
            rank = rendezvous(self.settings.gateway_index, entry.id, self.nearness(entry))
            server = Server(entry, mean, rank, self.evidence, self.now_us)
            # Hundreds of proxies hear of a cold server at once and each may send one request at the least:
            # each begins with a random part of that spent, so that these firsts do not come together.
            longest_us = self.classes.longest.smoothed
            server.spent_us = self.random.random() * max(longest_us, self.fall_budget_us() / 2)
            self.servers[entry.id] = server
            new.append(server)
        else:
            known.entry = entry
        self.sizes[entry.kind] = max(entry.weight, self.sizes.get(entry.kind, FLOOR))

    def delist(self, number: int) -> Server:
        server = self.servers.pop(number)
        server.retire()
        return server

    def rank_servers(self, gone: list[Server], new: list[Server]) -> None:
        """Bring the ranks in step with the servers: a few are moved, after a whole list all are sorted."""
        if len(gone) + len(new) > len(self.servers) / 8:
            self.ranked = sorted(self.servers.values(), key=attrgetter("rank"))
            return
        fresh = set(new)  # a list may name one twice
        for server in gone:
            if server not in fresh:
                place = bisect_left(self.ranked, server.rank, key=attrgetter("rank"))
                del self.ranked[self.ranked.index(server, place)]
        for server in new:
            if self.servers.get(server.entry.id) is server:
                insort(self.ranked, server, key=attrgetter("rank"))

    def log(self, event: str, **fields: object) -> None:
        """Say what was seen, at most so often: a wide failure must not bury its own beginning."""
        if self.now_us - self.logged_us < LOG_GAP_US:
            self.unsaid += 1
            return
        fields |= {"suppressed": self.unsaid} if self.unsaid else {}
        self.logged_us, self.unsaid = self.now_us, 0
        self.actions.append(LogEvent(event, tuple(fields.items())))
