"""Generated event sequences: the rules hold whatever comes back, in whatever order, for each effect class."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from load_balancer.decisions.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from load_balancer.decisions.balancer import Balancer
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
    TimerFired,
)
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from tests.decisions.driver import SETTINGS, START_US, succeed

GROUP = {n: n // 3 for n in range(6)}


@dataclass
class Try:
    endpoint: int
    sent_us: int
    timeout_us: int
    outcome: Outcome | None = None


@dataclass
class Case:
    request_class: RequestClass
    under: Settings  # those that it was taken under
    deadline_us: int
    key: int | None = None
    tries: list[Try] = field(default_factory=list)
    answers: list[Action] = field(default_factory=list)
    done: bool = False  # answered, served or given up by the client


ORDERED = tuple(replace(c, ordered=c.idempotency is not Idempotency.IDEMPOTENT) for c in SETTINGS.classes)
VARIANTS = (
    SETTINGS,
    replace(SETTINGS, classes=ORDERED, ordered_key_delay_us=50_000, may_hedge=False),
    replace(SETTINGS, classes=ORDERED, ordered_key_delay_us=5_000, rejected_may_have_run=True),
    replace(SETTINGS, rejected_may_have_run=True, may_cancel=False, max_attempts=4, slow_start_us=10**9),
    replace(SETTINGS, may_cancel=False, max_attempts=1, classes=ORDERED, endpoints_are_pushed=False),
)


class World:
    """Carries out the actions and checks each against the rules."""

    def __init__(self, seed: int, settings: Settings = SETTINGS) -> None:
        self.settings = settings
        self.resting: dict[int, int] = {}  # by key: not before this
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.cases: dict[str, Case] = {}
        self.timers: list[tuple[int, int]] = []
        self.status = dict.fromkeys(GROUP, EndpointStatus.READY)
        self.give(
            EndpointListReceived(ListKind.COMPLETE, tuple(Endpoint(n, group=g) for n, g in GROUP.items()))
        )

    def give(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            case = self.cases[action.request_id]
            assert not case.done, "a second final answer"
            assert self.now_us <= case.deadline_us + 8_000
            case.done = True
            case.answers.append(action)
            if isinstance(action, Reject):
                self.check_refusal(case)
        elif isinstance(action, SetTimer):
            self.timers.append((action.due_us, action.token))
        elif isinstance(action, Cancel):
            assert self.cases[action.request_id].under.may_cancel
            assert action.attempt < len(self.cases[action.request_id].tries)

    def never_ran(self, case: Case) -> frozenset[Outcome]:
        return NEVER_EXECUTED - ({Outcome.REJECTED} if case.under.rejected_may_have_run else set())

    def change(self, settings: Settings) -> None:
        self.settings = settings
        self.give(SettingsChanged(succeed(self.balancer.settings_version, settings)))

    def check_send(self, action: Send) -> None:
        case = self.cases[action.request_id]
        assert not case.done, "sent after the final answer"
        assert self.status[action.endpoint_id] is EndpointStatus.READY
        assert len(case.tries) < case.under.max_attempts
        assert self.now_us < self.now_us + action.timeout_us <= case.deadline_us
        request_class = case.request_class
        maybe = [t for t in case.tries if t.outcome not in self.never_ran(case)]
        if not case.under.may_hedge:
            assert all(t.outcome is not None for t in case.tries), "two attempts out at once"
        if request_class.ordered and case.key is not None:
            self.check_turn(case, case.key)
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not maybe, "an unsafe request sent again"
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and maybe:
            assert all(GROUP[t.endpoint] == GROUP[action.endpoint_id] for t in maybe)
            assert self.now_us - maybe[0].sent_us < request_class.deduplication_window_us
        case.tries.append(Try(action.endpoint_id, self.now_us, action.timeout_us))

    def check_turn(self, case: Case, key: int) -> None:
        for earlier in self.cases.values():
            if earlier is case:
                break
            if earlier.request_class.ordered and earlier.key == key:
                assert earlier.done, "sent while an earlier request of its key is open"
                assert all(t.outcome is not None for t in earlier.tries), "sent beside an earlier attempt"
        if not case.tries:
            assert self.now_us >= self.resting.get(key, 0), "sent while the key rests"

    def check_refusal(self, case: Case) -> None:
        maybe = [t for t in case.tries if t.outcome not in self.never_ran(case)]
        if maybe:
            dropped = (
                case.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and case.request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert case.request_class.idempotency is Idempotency.IDEMPOTENT or dropped

    def arrive(self, request_class: int, timeout_us: int) -> None:
        name = f"r{len(self.cases)}"
        key = (None, 1, 2, 1)[timeout_us % 4]
        terms = self.settings.classes[request_class]
        self.cases[name] = Case(terms, self.settings, self.now_us + timeout_us, key)
        self.give(RequestArrived(name, request_class, timeout_us, key))

    def finish(self, pick: int, outcome: Outcome) -> None:
        out = [(n, i) for n, c in self.cases.items() for i, t in enumerate(c.tries) if t.outcome is None]
        if out:
            self.end(*out[pick % len(out)], outcome)

    def end(self, name: str, number: int, outcome: Outcome) -> None:
        case = self.cases[name]
        attempt = case.tries[number]
        attempt.outcome = outcome
        case.done = case.done or outcome is Outcome.OK
        if case.key is not None and case.request_class.ordered and outcome in MAY_STILL_EXECUTE:
            self.resting[case.key] = self.now_us + case.under.ordered_key_delay_us
        event = AttemptEnded(
            name, number, attempt.endpoint, outcome, self.now_us - attempt.sent_us, finished=case.done
        )
        self.give(event)

    def leave(self, pick: int) -> None:
        open_cases = [n for n, c in self.cases.items() if not c.done]
        if open_cases:
            name = open_cases[pick % len(open_cases)]
            self.cases[name].done = True
            self.give(ClientDisconnected(name))

    def set_status(self, endpoint: int, status: EndpointStatus) -> None:
        self.status[endpoint] = status
        started_us = self.now_us if self.settings.slow_start_us else 0
        entry = Endpoint(endpoint, status, group=GROUP[endpoint], started_us=started_us)
        self.give(EndpointListReceived(ListKind.DELTA, (entry,)))

    def advance(self, by_us: int) -> None:
        """Move the clock to each due timer and each time-out on the way."""
        target = self.now_us + by_us
        while True:
            dues = [due for due, _ in self.timers] + [
                t.sent_us + t.timeout_us for c in self.cases.values() for t in c.tries if t.outcome is None
            ]
            due = min(dues, default=target + 1)
            if due > target:
                break
            self.now_us = max(self.now_us, due)
            for name, case in self.cases.items():
                for number, attempt in enumerate(case.tries):
                    if attempt.outcome is None and attempt.sent_us + attempt.timeout_us <= self.now_us:
                        self.end(name, number, Outcome.TIMEOUT)
            fired = [token for when, token in self.timers if when <= self.now_us]
            self.timers = [(when, token) for when, token in self.timers if when > self.now_us]
            for token in fired:
                self.give(TimerFired(token))
        self.now_us = target


STEPS = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 2), st.integers(1_000, 400_000)),
    st.tuples(st.just("arrive"), st.integers(0, 2), st.integers(100_000, 400_000)),
    st.tuples(st.just("finish"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("finish"), st.integers(0, 50), st.just(Outcome.OK)),
    st.tuples(st.just("repeat"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("leave"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("status"), st.integers(0, 5), st.sampled_from(list(EndpointStatus))),
    st.tuples(st.just("advance"), st.integers(100, 200_000), st.just(0)),
)


@pytest.mark.parametrize("variant", range(len(VARIANTS)))
@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),  # shrinking such sequences takes minutes
)
@given(st.integers(0, 3), st.lists(STEPS, min_size=10, max_size=150))
def test_rules_hold_on_any_sequence(variant: int, seed: int, steps: list[tuple[str, int, int]]) -> None:
    play(World(seed, VARIANTS[variant]), steps)


GENERATIONS = tuple(
    replace(variant, classes=variant.classes[turn:] + variant.classes[:turn])
    for variant in (
        replace(v, classes=tuple(replace(c, name=f"k{n}") for n, c in enumerate(v.classes))) for v in VARIANTS
    )
    for turn in range(3)
)


@settings(
    max_examples=300,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate),
)
@given(
    st.integers(0, 3),
    st.lists(STEPS | st.tuples(st.just("change"), st.integers(0, 14), st.just(0)), min_size=10, max_size=150),
)
def test_no_request_is_decided_by_any_version_but_its_own(
    seed: int, steps: list[tuple[str, int, int]]
) -> None:
    """Classes change their places, what a repeat does, how often and in which order they may be sent."""
    play(World(seed, GENERATIONS[0]), steps)


def play(world: World, steps: list[tuple[str, int, int]]) -> None:
    for what, first, second in steps:
        if what == "arrive":
            world.arrive(first, second)
        elif what == "finish":
            world.finish(first, second)  # type: ignore[arg-type]
        elif what == "repeat":  # an outcome for something finished long ago, or never sent
            world.give(AttemptEnded(f"r{first}", 9, 0, second, 1))  # type: ignore[arg-type]
        elif what == "leave":
            world.leave(first)
        elif what == "change":
            world.change(GENERATIONS[first])
        elif what == "status":
            world.set_status(first, second)  # type: ignore[arg-type]
        else:
            world.advance(first)
    world.advance(2_000_000)
    for case in world.cases.values():
        assert case.done, "a request was left without its final answer"
    balancer = world.balancer
    assert not balancer.lifecycle.requests
    assert not balancer.timers.callbacks
    assert not balancer.lifecycle.ordered_keys.queues
    assert all(not s.in_flight for s in balancer.endpoints.by_id.values())


@pytest.mark.parametrize("seed", [1, 7])
def test_equal_events_give_equal_actions(seed: int) -> None:
    logs = []
    for _ in range(2):
        balancer = Balancer(SETTINGS, seed)
        log = list(
            balancer.handle(
                START_US, EndpointListReceived(ListKind.COMPLETE, tuple(Endpoint(n) for n in range(8)))
            )
        )
        for n in range(200):
            log += balancer.handle(START_US + n * 1_000, RequestArrived(f"r{n}", n % 3, 300_000))
        logs.append(log)
    assert logs[0] == logs[1]
    assert sum(isinstance(a, Send) for a in logs[0]) > 8


@pytest.mark.parametrize("gateways", [1, 3, 8])
@pytest.mark.parametrize("multiple", [1, 3, 6])
@pytest.mark.parametrize("gap_us", [0, 500, 15_000])
def test_a_gateway_keeps_to_its_part_of_a_cold_endpoints_budget(
    gateways: int, multiple: int, gap_us: int
) -> None:
    """Rule 4 by one gateway: the work sent in any fall window against its part of the whole."""
    unsafe = RequestClass(latency_objective_us=400_000, client_timeout_us=1_000_000)
    cold = Settings(
        (unsafe,),
        slow_start_capacity=0.25,
        slow_start_us=8_000_000,
        overload_multiple=multiple,
        gateways=gateways,
    )
    balancer = Balancer(cold, 3)
    balancer.context.classes[0].smoothed_us = balancer.context.classes[0].unloaded_us = 10_000.0
    now_us = START_US
    entries = (Endpoint(1, started_us=now_us), Endpoint(2, weight=0.001))
    balancer.handle(now_us, EndpointListReceived(ListKind.COMPLETE, entries))
    sent_us: list[int] = []
    for n in range(600):
        now_us += gap_us
        for action in balancer.handle(now_us, RequestArrived(f"r{n}", 0, 400_000)):
            if isinstance(action, Send):
                sent_us += [now_us] * (action.endpoint_id == 1)
                end = AttemptEnded(f"r{n}", 0, action.endpoint_id, Outcome.OK, 10_000, finished=True)
                balancer.handle(now_us, end)
    warm_us = START_US + cold.slow_start_us
    for first in (t for t in sent_us if t + cold.overload_window_us <= warm_us):
        span = [t for t in sent_us if first <= t < first + cold.overload_window_us]
        capacity = 0.25 + 0.75 * (first - START_US) / cold.slow_start_us
        assert len(span) * 10_000 <= max(multiple * capacity * cold.overload_window_us / gateways, 10_000)
