"""Generated event sequences: the rules hold for each idempotency, whatever the outcomes and their order."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from load_balancer.decisions.actions import Send
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Outcome,
    RequestArrived,
)
from load_balancer.decisions.settings import Idempotency, RequestClass, Settings
from tests.decisions.driver import SETTINGS, START_US
from tests.decisions.rule_checker import RuleChecker

ORDERED = tuple(replace(c, ordered=c.idempotency is not Idempotency.IDEMPOTENT) for c in SETTINGS.classes)
VARIANTS = (
    SETTINGS,
    replace(SETTINGS, classes=ORDERED, ordered_key_delay_us=50_000, may_hedge=False),
    replace(SETTINGS, classes=ORDERED, ordered_key_delay_us=5_000, rejected_may_have_run=True),
    replace(SETTINGS, rejected_may_have_run=True, may_cancel=False, max_attempts=4, slow_start_us=10**9),
    replace(SETTINGS, may_cancel=False, max_attempts=1, classes=ORDERED, endpoints_are_pushed=False),
)


STEPS = st.one_of(
    st.tuples(st.just("start_request"), st.integers(0, 2), st.integers(1_000, 400_000)),
    st.tuples(st.just("start_request"), st.integers(0, 2), st.integers(100_000, 400_000)),
    st.tuples(st.just("end_attempt"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end_attempt"), st.integers(0, 50), st.just(Outcome.OK)),
    st.tuples(st.just("unknown_outcome"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("disconnect"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("set_status"), st.integers(0, 5), st.sampled_from(list(EndpointStatus))),
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
    play(RuleChecker(seed, VARIANTS[variant]), steps)


SETTINGS_VERSIONS = tuple(
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
    st.lists(
        STEPS | st.tuples(st.just("change_settings"), st.integers(0, 14), st.just(0)),
        min_size=10,
        max_size=150,
    ),
)
def test_each_request_follows_the_settings_version_that_it_arrived_under(
    seed: int, steps: list[tuple[str, int, int]]
) -> None:
    """A reload must not change the retries or the order of a request that is already in flight."""
    play(RuleChecker(seed, SETTINGS_VERSIONS[0]), steps)


def play(checker: RuleChecker, steps: list[tuple[str, int, int]]) -> None:
    """Apply the steps, advance until everything has ended, and assert that no state is left."""
    for step, first_argument, second_argument in steps:
        if step == "start_request":
            checker.start_request(first_argument, second_argument)
        elif step == "end_attempt":
            checker.end_chosen_attempt(first_argument, second_argument)  # type: ignore[arg-type]
        elif step == "unknown_outcome":  # of an attempt that ended long ago or was never sent
            checker.handle(AttemptEnded(f"r{first_argument}", 9, 0, second_argument, 1))  # type: ignore[arg-type]
        elif step == "disconnect":
            checker.disconnect_chosen_client(first_argument)
        elif step == "change_settings":
            checker.change_settings(SETTINGS_VERSIONS[first_argument])
        elif step == "set_status":
            checker.set_status(first_argument, second_argument)  # type: ignore[arg-type]
        else:
            checker.advance(first_argument)
    checker.advance(2_000_000)
    for request in checker.requests.values():
        assert request.done, "a request was left without its final answer"
    balancer = checker.balancer
    assert not balancer.lifecycle.requests
    assert not balancer.timers.callbacks
    assert not balancer.lifecycle.ordered_keys.queues
    assert all(not s.in_flight for s in balancer.endpoints.by_id.values())


@pytest.mark.parametrize("seed", [1, 7])
def test_equal_events_give_equal_actions(seed: int) -> None:
    runs = []
    for _ in range(2):
        balancer = Balancer(SETTINGS, seed)
        actions = list(
            balancer.handle(
                START_US, EndpointListReceived(ListKind.COMPLETE, tuple(Endpoint(n) for n in range(8)))
            )
        )
        for n in range(200):
            actions += balancer.handle(START_US + n * 1_000, RequestArrived(f"r{n}", n % 3, 300_000))
        runs.append(actions)
    assert runs[0] == runs[1]
    assert sum(isinstance(a, Send) for a in runs[0]) > 8


@pytest.mark.parametrize("gateways", [1, 3, 8])
@pytest.mark.parametrize("overload_multiple", [1, 3, 6])
@pytest.mark.parametrize("gap_us", [0, 500, 15_000])
def test_a_gateway_sends_at_most_its_share_of_the_capacity_in_slow_start(
    gateways: int, overload_multiple: int, gap_us: int
) -> None:
    """Gateways that each used the whole capacity would overload an endpoint in its slow start."""
    non_idempotent = RequestClass(latency_objective_us=400_000, client_timeout_us=1_000_000)
    slow_start_settings = Settings(
        (non_idempotent,),
        slow_start_capacity=0.25,
        slow_start_us=8_000_000,
        overload_multiple=overload_multiple,
        gateways=gateways,
    )
    balancer = Balancer(slow_start_settings, 3)
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
    slow_start_end_us = START_US + slow_start_settings.slow_start_us
    for first_us in (t for t in sent_us if t + slow_start_settings.overload_window_us <= slow_start_end_us):
        sent_in_window_us = [
            t for t in sent_us if first_us <= t < first_us + slow_start_settings.overload_window_us
        ]
        capacity = 0.25 + 0.75 * (first_us - START_US) / slow_start_settings.slow_start_us
        assert len(sent_in_window_us) * 10_000 <= max(
            overload_multiple * capacity * slow_start_settings.overload_window_us / gateways, 10_000
        )
