"""Request life, subset, shedding, cold servers and membership by example: a test for each failure found."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest

from load_balancer.decisions.actions import Cancel, Fail, LogEvent, Reject, SubscribeEndpoints
from load_balancer.decisions.admission import SHED_SHARE_STEP
from load_balancer.decisions.circuit_breaker import (
    INITIAL_COOLDOWN_US,
    RING_SIZE,
    BreakerState,
    EndpointBreakers,
)
from load_balancer.decisions.concurrency_limit import (
    INITIAL_LIMIT,
    LIMIT_DECREASE_STEPS,
    LIMIT_STEP,
    MIN_LIMIT,
)
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    ClientDisconnected,
    EndpointListReceived,
    Outcome,
    StreamStarted,
    TimerFired,
)
from load_balancer.decisions.latency import OVERDUE_LATENCY_FACTOR
from load_balancer.decisions.rate_limited_log import MIN_LOG_INTERVAL_US
from load_balancer.decisions.rendezvous import rendezvous_rank
from load_balancer.decisions.settings import DeduplicationScope, Prices, RequestClass, Settings, Tenant
from load_balancer.decisions.subset import MIN_SUBSET_SIZE
from load_balancer.simulator.codec import format_action
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE, Driver, finals, sends, timers, trip


def test_an_unsafe_request_that_may_have_run_fails_at_once() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=2)
    answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET)
    assert finals(answer) == [Fail(name)] and not sends(answer)


def test_an_unsafe_request_that_never_ran_goes_elsewhere() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=2)
    first = sends(actions)[0].endpoint_id
    again = sends(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(again) == 1 and again[0].endpoint_id != first


def test_a_keyed_request_stays_in_its_group_and_window() -> None:
    driver = Driver(servers=6)
    name, actions = driver.arrive(klass=1)
    first = sends(actions)[0].endpoint_id
    again = sends(driver.end(name, first, Outcome.RESET))
    assert again[0].endpoint_id % 2 == first % 2
    name, actions = driver.arrive(klass=1)
    driver.now_us += KEYED.deduplication_window_us
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.RESET)) == [Fail(name)]


def test_a_keyed_request_dropped_everywhere_may_be_refused() -> None:
    anywhere = replace(KEYED, deduplication_scope=DeduplicationScope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR)) == [Reject(name)]


def test_attempts_end_with_the_limit() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2), servers=5)
    name, actions = driver.arrive()
    again = sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.ERROR))
    assert finals(driver.end(name, again[0].endpoint_id, Outcome.ERROR, attempt=1)) == [Reject(name)]


def test_a_second_copy_goes_out_when_the_first_is_overdue_and_the_loser_is_called_off() -> None:
    driver = Driver()
    driver.balancer.context.classes[0].smoothed_us = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    assert timer.due_us == driver.now_us + int(OVERDUE_LATENCY_FACTOR * 20_000)
    driver.now_us = timer.due_us
    copy = sends(driver.handle(TimerFired(timer.token)))[0]
    assert copy.endpoint_id != first
    assert driver.end(name, copy.endpoint_id, attempt=1) == [Cancel(name, 0)]
    driver.end(name, first, Outcome.CANCELLED)
    assert driver.balancer.endpoints.by_id[first].breakers[0].failures == 1  # overdue, so the silence counts
    assert not driver.balancer.lifecycle.requests


def test_no_second_copy_where_none_is_allowed() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.balancer.context.classes[0].smoothed_us = 20_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert not sends(driver.handle(TimerFired(timer.token)))


def test_an_overdue_attempt_is_called_off_for_another_where_copies_are_not_allowed() -> None:
    """A safe request whose answer had stalled waited for its deadline, with servers idle beside it."""
    driver = Driver(replace(SETTINGS, may_hedge=False))
    driver.balancer.context.classes[0].smoothed_us = 20_000.0
    name, actions = driver.arrive()
    first = sends(actions)[0].endpoint_id
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [Cancel(name, 0)]
    (again,) = sends(driver.end(name, first, Outcome.CANCELLED))
    assert again.endpoint_id != first
    driver.end(name, again.endpoint_id, attempt=1)
    assert not driver.balancer.lifecycle.requests


def test_an_overdue_attempt_goes_on_where_no_other_server_may_take_it() -> None:
    driver = Driver(replace(SETTINGS, may_hedge=False), servers=1)
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == []


def test_an_unsafe_request_is_no_trial() -> None:
    driver = Driver(servers=2)
    breaker = driver.balancer.endpoints.by_id[0].breakers[0]
    trip(breaker, driver.now_us)
    driver.now_us = breaker.open_until_us
    for _ in range(2):
        assert sends(driver.arrive(klass=2)[1])[0].endpoint_id == 1


def test_a_silent_server_gets_nothing_more() -> None:
    driver = Driver(servers=1)
    driver.arrive(klass=2)
    driver.now_us += int(OVERDUE_LATENCY_FACTOR * driver.balancer.context.classes.slowest.smoothed_us) + 1
    assert not sends(driver.arrive(klass=2)[1])


def test_a_server_that_answers_later_attempts_is_not_silent() -> None:
    driver = Driver(servers=1)
    driver.arrive(klass=2)
    driver.now_us += (
        int(OVERDUE_LATENCY_FACTOR * driver.balancer.context.classes.slowest.smoothed_us) - 10_000
    )
    later, _ = driver.arrive(klass=2)
    driver.now_us += 10_001
    assert not sends(driver.arrive(klass=2)[1])
    driver.end(later, 0, latency_us=10_001)
    assert sends(driver.arrive(klass=2)[1])


def test_refusal_names_the_shortest_cooldown_when_all_are_open() -> None:
    driver = Driver(servers=2)
    for number, server in driver.balancer.endpoints.by_id.items():
        trip(server.breakers[0], driver.now_us + number * 100_000)
    driver.now_us += 400_000
    name, actions = driver.arrive()
    assert finals(actions) == [Reject(name, 600_000)]


def test_without_servers_requests_are_refused() -> None:
    driver = Driver(servers=0)
    name, actions = driver.arrive(klass=2)
    assert finals(actions) == [Reject(name)]


def test_the_client_leaving_ends_the_request() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    assert driver.handle(ClientDisconnected(name)) == [Cancel(name, 0)]
    assert not finals(driver.end(name, sends(actions)[0].endpoint_id, Outcome.CANCELLED))
    assert not driver.balancer.lifecycle.requests


def test_a_stream_is_left_alone() -> None:
    driver = Driver()
    name, actions = driver.arrive()
    driver.handle(StreamStarted(name, 0))
    for timer in timers(actions):
        driver.now_us = timer.due_us
        assert not driver.handle(TimerFired(timer.token))
    driver.end(name, sends(actions)[0].endpoint_id)
    assert not driver.balancer.lifecycle.requests


def test_an_id_in_hand_is_not_taken_twice() -> None:
    driver = Driver()
    driver.arrive()
    driver.count = 0
    _, actions = driver.arrive()
    assert not sends(actions) and not finals(actions)


def test_log_lines_are_rate_limited() -> None:
    driver = Driver()
    first, second = driver.arrive(klass=7)[1], driver.arrive(klass=7)[1]
    driver.now_us += MIN_LOG_INTERVAL_US
    third = driver.arrive(klass=7)[1]
    assert [sum(isinstance(a, LogEvent) for a in actions) for actions in (first, second, third)] == [1, 0, 1]
    (line,) = (a for a in third if isinstance(a, LogEvent))
    assert dict(line.fields)["suppressed"] == 1 and format_action(line).endswith(" suppressed=1")


def test_servers_in_other_zones_weigh_less_by_the_price_of_crossing() -> None:
    driver = Driver(replace(SETTINGS, prices=Prices(cross_zone=0.05)), servers=0)
    driver.list_servers(Endpoint(1, zone=0), Endpoint(2, zone=1))
    to_home = 0
    for _ in range(200):
        name, actions = driver.arrive()
        to_home += sends(actions)[0].endpoint_id == 1
        driver.end(name, sends(actions)[0].endpoint_id)
    assert 130 < to_home < 190


def test_a_keys_requests_go_home_while_it_has_room() -> None:
    driver = Driver(replace(SETTINGS, key_affinity=True), servers=8)
    met: dict[int, int] = {}
    for _ in range(100):
        name, actions = driver.arrive(key=77)
        server = sends(actions)[0].endpoint_id
        met[server] = met.get(server, 0) + 1
        driver.end(name, server)
    assert max(met.values()) > 50 and len(met) > 1


def test_an_unknown_class_is_failed() -> None:
    driver = Driver()
    name, actions = driver.arrive(klass=7)
    assert finals(actions) == [Fail(name)]


def test_a_draining_or_gone_server_gets_nothing_new() -> None:
    driver = Driver(servers=3)
    driver.list_servers(
        Endpoint(0, EndpointStatus.DRAINING), Endpoint(1, EndpointStatus.GONE), kind=ListKind.DELTA
    )
    for _ in range(4):
        assert sends(driver.arrive()[1])[0].endpoint_id == 2


def test_a_full_list_drops_what_it_lacks_and_a_restart_empties_the_record() -> None:
    driver = Driver(servers=3)
    driver.balancer.endpoints.by_id[1].breakers[0].record(0, True, 0, 0.0)
    driver.list_servers(Endpoint(1, started_us=driver.now_us))
    assert list(driver.balancer.endpoints.by_id) == [1]
    assert driver.balancer.endpoints.by_id[1].breakers[0].failures == 0


def test_the_list_is_asked_for_and_asked_again_after_an_error() -> None:
    driver = Driver(replace(SETTINGS, endpoints_are_pushed=False), servers=0)
    (timer,) = timers(driver.list_servers(Endpoint(1), kind=ListKind.CACHED))
    assert 0 <= timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us / 5  # not all proxies at once
    driver.now_us = timer.due_us
    assert driver.handle(TimerFired(timer.token)) == [SubscribeEndpoints()]
    for _ in range(8):
        (timer,) = timers(driver.handle(EndpointListReceived(ListKind.ERROR)))
        assert 0 < timer.due_us - driver.now_us < SETTINGS.max_poll_interval_us
        driver.now_us = timer.due_us
        assert driver.handle(TimerFired(timer.token)) == [SubscribeEndpoints()]
    assert list(driver.balancer.endpoints.by_id) == [1]


def test_nothing_is_kept_of_what_is_finished() -> None:
    driver = Driver(servers=4)
    for n in range(3_000):
        name, actions = driver.arrive(klass=n % 3)
        for send in sends(actions):
            driver.end(name, send.endpoint_id, Outcome.OK if n % 7 else Outcome.CONNECT_FAILED)
        if n % 100 == 0:
            driver.list_servers(*(Endpoint(n + i) for i in range(4)))
        for request in list(driver.balancer.lifecycle.requests):
            driver.handle(ClientDisconnected(request))
            for i in range(3):
                driver.end(request, 0, Outcome.CANCELLED, attempt=i)
        driver.now_us += 10_000
    for timer in driver.timers:
        driver.handle(TimerFired(timer.token))
    balancer = driver.balancer
    assert not balancer.lifecycle.requests and len(balancer.endpoints.by_id) == 4
    assert not balancer.timers.callbacks
    assert len(balancer.endpoints.by_rank) == 4 and balancer.concurrency_limit.in_flight == 0


def test_a_clock_that_steps_back_stands_still() -> None:
    driver = Driver()
    driver.balancer.handle(driver.now_us, ClientDisconnected("none"))
    driver.balancer.handle(driver.now_us - 5_000_000, ClientDisconnected("none"))
    assert driver.balancer.context.now_us == driver.now_us


NAN = float("nan")


@pytest.mark.parametrize(
    "bad",
    [
        {"latency_objective_us": 0},
        {"client_timeout_us": -1},
        {"deduplication_window_us": -1},
        {"priority_weight": NAN},
        {"late_weight_share": 1.5},
    ],
)
def test_classes_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        RequestClass(**{"latency_objective_us": 1, "client_timeout_us": 1, **bad})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "bad",
    [
        {"classes": ()},
        {"gateways": 0},
        {"gateway_index": 1},
        {"slow_start_us": -1},
        {"max_attempts": 0},
        {"overload_window_us": 0},
        {"overload_multiple": NAN},
        {"slow_start_capacity": 1.2},
        {"ordered_key_delay_us": -1},
        {"connect_timeout_us": "soon"},
        {"over_quota_weight_share": 1.5},
    ],
)
def test_settings_that_cannot_be_used_are_rejected(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        replace(SETTINGS, **bad)  # type: ignore[arg-type]


@pytest.mark.parametrize("bad", [{"cross_zone": NAN}, {"waste": -1}])
def test_prices_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        Prices(**bad)


def test_a_proxy_with_few_answers_sheds_as_soon_as_a_busy_one() -> None:
    """Of 850 proxies each saw three answers in the five seconds in which the fleet jammed."""
    for klass, gap_us in ((1, 1_000), (2, 100_000)):  # no answer at all
        driver = Driver(servers=8)
        refused = 0
        for _ in range(40):
            refused += bool(finals(driver.arrive(klass=klass, patience_us=10_000_000)[1]))
            driver.now_us += gap_us
        assert refused >= 20


def test_unsafe_is_the_default_effect() -> None:
    assert RequestClass(latency_objective_us=1, client_timeout_us=1).idempotency is UNSAFE.idempotency


def test_a_proxy_keeps_to_its_subset() -> None:
    """With a server each, hundreds of proxies filled every connection table: 90% of attempts got none."""
    met: set[int] = set()
    driver = Driver(replace(SETTINGS, gateways=300, gateway_index=5), servers=60)
    for _ in range(300):
        name, actions = driver.arrive()
        met.add(sends(actions)[0].endpoint_id)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert len(met) <= MIN_SUBSET_SIZE + 1


def test_subsets_are_even_and_move_little() -> None:
    used = [0] * 40
    for proxy in range(400):
        ranks = sorted(range(40), key=lambda server: rendezvous_rank(proxy, server, 1.0))
        without = [server for server in ranks if server != 3]
        assert [r for r in ranks[:4] if r != 3] == without[: 4 - (3 in ranks[:4])]
        for server in ranks[:4]:
            used[server] += 1
    assert min(used) > 20 and max(used) < 65


def test_a_proxy_with_more_in_hand_reaches_further() -> None:
    """One proxy with a fifth of all traffic would crush the few servers of a fixed subset."""
    driver = Driver(replace(SETTINGS, gateways=300), servers=60)
    driver.balancer.concurrency_limit.limit = 100.0
    met = {sends(driver.arrive(klass=2)[1])[0].endpoint_id for _ in range(40)}
    assert len(met) > 3 * MIN_SUBSET_SIZE


def test_an_open_server_gives_its_place_to_the_next_in_rank() -> None:
    driver = Driver(replace(SETTINGS, gateways=300), servers=60)
    subset = driver.subset()
    trip(subset[0].breakers[0], driver.now_us)
    after = driver.subset()
    assert subset[0] not in after and after[: len(subset) - 1] == subset[1:] and len(after) == len(subset)


COLD = replace(
    SETTINGS,
    slow_start_capacity=0.2,
    slow_start_us=20_000_000,
    overload_multiple=3.0,
    overload_window_us=1_000_000,
    gateways=40,
)


def test_cold_servers_are_kept_within_the_budget_by_all_proxies_together() -> None:
    """Each proxy sent its one allowed request at the moment a server was listed, forty at once."""
    work_us = [0.0] * 20  # by windows of half a second
    for proxy in range(40):
        driver = Driver(replace(COLD, gateway_index=proxy), servers=0, seed=proxy)
        driver.list_servers(Endpoint(1, started_us=driver.now_us))
        for step in range(1_000):
            name, actions = driver.arrive()
            if sends(actions):
                work_us[step // 50] += driver.balancer.context.classes[0].unloaded_us
                driver.end(name, 1, latency_us=30_000)
            driver.now_us += 10_000
    for first, second in pairwise(work_us):
        assert first + second <= 3.0 * 0.6 * 1_000_000
    assert sum(work_us) > 0


def test_a_jam_does_not_make_a_cold_servers_work_seem_longer() -> None:
    """While the warm servers were jammed, the cost counted for each request grew, and cold ones got none."""
    sent = []
    for hint in (None, 10_000):
        for jammed in (False, True):
            driver = Driver(replace(COLD, gateways=2), servers=0)
            driver.list_servers(Endpoint(1, started_us=driver.now_us))
            for klass in driver.balancer.context.classes:
                klass.unloaded_us, klass.smoothed_us = 10_000.0, 500_000.0 if jammed else 20_000.0
            count = 0
            for _ in range(200):
                name, actions = driver.arrive(**({"work_us": hint} if hint else {}))
                if sends(actions):
                    count += 1
                    driver.end(name, 1, Outcome.ERROR if jammed else Outcome.OK)
                    server = driver.balancer.endpoints.by_id[1]
                    server.breakers.retire()
                    server.breakers = EndpointBreakers(driver.balancer.breakers)
                driver.now_us += 10_000
            sent.append(count)
    assert sent[1] >= sent[0] * 0.9 and sent[3] >= sent[2] * 0.9


def test_a_cold_server_beyond_the_reach_is_not_used() -> None:
    """When many step aside from failing servers, all would meet on the same cold one."""
    driver = Driver(replace(COLD, gateways=300), servers=60)
    last = driver.balancer.endpoints.by_rank[-1].endpoint.id
    for server in driver.balancer.endpoints.by_rank[:-1]:
        trip(server.breakers[0], driver.now_us)
    driver.list_servers(Endpoint(last, started_us=driver.now_us - 1), kind=ListKind.DELTA)
    assert driver.subset() == []


def test_what_is_worth_nothing_late_is_timed_out_at_the_aim() -> None:
    """Attempts left until the client gave up filled every queue with work that no one wanted any more."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_weight_share=0.0), SAFE)))
    assert sends(driver.arrive(klass=0)[1])[0].timeout_us < SAFE.latency_objective_us
    assert sends(driver.arrive(klass=1)[1])[0].timeout_us > SAFE.latency_objective_us


@pytest.mark.parametrize("crowded", [("queue", 4.0), ("latency_ms", 80.0), ("eps", 20.0)])
def test_a_server_that_reports_a_crowd_slow_service_or_errors_gets_less(crowded: tuple[str, float]) -> None:
    """Forty proxies had less than one request out at each server and saw nothing of the rest."""
    driver = Driver()
    counts = [0, 0, 0]
    for _ in range(600):
        name, actions = driver.arrive()
        server = sends(actions)[0].endpoint_id
        counts[server] += 1
        load = {"queue": 0.0, "latency_ms": 20.0} | (dict([crowded]) if server == 0 else {})
        driver.end(name, server, load=tuple(load.items()))
        driver.now_us += 10_000
    assert counts[0] < 0.4 * min(counts[1:])


def test_a_usual_few_errors_reported_cost_a_server_little() -> None:
    driver = Driver()
    counts = [0, 0, 0]
    for _ in range(600):
        name, actions = driver.arrive()
        server = sends(actions)[0].endpoint_id
        counts[server] += 1
        driver.end(name, server, load=(("eps", 0.3 if server == 0 else 0.0),))  # of 33 a second
        driver.now_us += 10_000
    assert counts[0] > 0.6 * min(counts[1:])


def test_a_reported_queue_counts_less_as_it_grows_old() -> None:
    """A server that is sent nothing has no way to report that its queue is gone."""
    driver = Driver()
    driver.balancer.load_reports.apply(driver.balancer.endpoints.by_id[0], (("queue", 50.0),), driver.now_us)
    driver.now_us += 20_000_000
    drawn = set()
    for _ in range(60):
        name, actions = driver.arrive()
        drawn.add(sends(actions)[0].endpoint_id)
        driver.end(name, sends(actions)[0].endpoint_id)
    assert drawn == {0, 1, 2}


def test_shedding_ends_when_the_servers_have_answered_however_few_answers_come() -> None:
    """A proxy that shed nearly all had an answer a second, and kept shedding for tens of seconds."""
    driver = Driver(servers=8)
    asked = [driver.arrive(klass=2, patience_us=1_000_000) for _ in range(40)]
    assert driver.balancer.admission.shed_share > 0.0
    for name, actions in asked:
        for send in sends(actions):
            driver.end(name, send.endpoint_id, latency_us=290_000)
    for _ in range(3):
        assert driver.balancer.admission.shed_share == 0.0
        driver.now_us += 1_000_000
        name, actions = driver.arrive(klass=2, patience_us=1_000_000)
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)


def test_a_few_prompt_answers_raise_a_low_limit() -> None:
    """At one request out it took five answers to let a second go, at three answers a second."""
    driver = Driver(servers=8)
    driver.balancer.concurrency_limit.probed, driver.balancer.concurrency_limit.limit = True, 1.0
    for _ in range(3):
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=5_000)
    assert driver.balancer.concurrency_limit.limit >= 2.0


def test_the_limit_sinks_where_a_third_of_the_answers_are_long() -> None:
    """Where it held at a third the slower servers had choked before the rest of the answers were long."""
    driver = Driver(servers=8)
    driver.balancer.concurrency_limit.probed, driver.balancer.concurrency_limit.limit = True, 12.0
    held = [driver.arrive(klass=2, patience_us=1_000_000) for _ in range(9)]
    for n in range(21):
        name, actions = driver.arrive(klass=2, patience_us=1_000_000)
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000 if n % 3 == 2 else 5_000)
    assert held and driver.balancer.concurrency_limit.limit < 11.0


def test_long_answers_under_way_together_lower_the_limit_by_a_part() -> None:
    """What was sent before shedding began still took long, and drove it from a tenth to nearly all."""
    driver = Driver(servers=8)
    driver.balancer.concurrency_limit.limit = 30.0
    asked = [driver.arrive(klass=2, patience_us=1_000_000) for _ in range(30)]
    for name, actions in asked[:15]:
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=290_000)
    assert 15.0 < driver.balancer.concurrency_limit.limit < 30.0


def test_long_waits_shed_the_least_worth_first_and_prompt_answers_end_it() -> None:
    cheap = replace(SAFE, priority_weight=1.0)
    dear = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(cheap, dear)))
    for number in range(100):
        driver.balancer.demand.within_quota[number % 2] += 2
        driver.balancer.demand.served[number % 2] += 2
    driver.balancer.concurrency_limit.limit = (
        6.2 + 3 * LIMIT_DECREASE_STEPS * LIMIT_STEP
    )  # 6.2 after three long answers, with 9 out
    held = [driver.arrive(klass=1) for _ in range(9)]
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(3):
            name, actions = held.pop(0)
            driver.end(name, sends(actions)[0].endpoint_id, latency_us=latency_us)
            held.append(driver.arrive(klass=1))
        refused = []
        for klass in (0, 1):
            name, actions = driver.arrive(klass=klass)
            refused.append(bool(finals(actions)))
            if sends(actions):
                driver.handle(ClientDisconnected(name))
                driver.end(name, sends(actions)[0].endpoint_id, Outcome.CANCELLED)
        assert refused == shed
        while len(held) > 3:
            name, actions = held.pop(0)
            driver.end(name, sends(actions)[0].endpoint_id, latency_us=5_000)


def test_no_copy_and_no_repeat_of_what_may_have_run_while_anything_is_shed() -> None:
    """Three hundred proxies doubled their work at the first jam, and the fleet never left it."""
    driver = Driver()
    driver.balancer.admission.load_shed_share = SHED_SHARE_STEP
    driver.balancer.random.seed(1)
    name, actions = driver.arrive(klass=0)
    while not sends(actions):
        name, actions = driver.arrive(klass=0)
    driver.balancer.admission.load_shed_share = SHED_SHARE_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].endpoint_id, Outcome.TIMEOUT))


def test_a_last_try_that_is_given_more_does_not_make_first_tries_late() -> None:
    """Clients leave their last try all the time left: first tries, given less, were refused as late."""
    late = replace(SAFE, late_weight_share=0.0)
    for marks in (True, False):
        driver = Driver(replace(SETTINGS, classes=(late,), clients_mark_retries=marks))
        for n in range(30):
            patience_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.arrive(patience_us=patience_us, is_retry=marks and n % 5 == 4)
            (send,) = sends(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end(name, send.endpoint_id)


def test_live_weights_that_tell_of_a_crowd_shed_before_any_answer_does() -> None:
    """A proxy with few answers noticed a crowd when the servers had choked already."""
    for live in (True, False):
        driver = Driver(replace(SETTINGS, load_dependent_weights=live), servers=0)
        driver.list_servers(*(Endpoint(n, weight=4.0) for n in range(3)))
        for _ in range(5):
            driver.list_servers(*(Endpoint(n, weight=0.5) for n in range(3)), kind=ListKind.DELTA)
        assert (driver.balancer.admission.shed_share > 0.5) == live
        for _ in range(20):
            driver.list_servers(*(Endpoint(n, weight=4.0) for n in range(3)), kind=ListKind.DELTA)
        assert driver.balancer.admission.shed_share == 0.0


def test_a_server_keeps_its_weight_from_before_the_trip() -> None:
    """Late outcomes and failed trials cut the weight that a recovering server was to come back with."""
    driver = Driver(servers=1)
    server = driver.balancer.endpoints.by_id[0]
    names = [driver.arrive(klass=2)[0] for _ in range(2)]
    trip(server.breakers[0], driver.now_us)
    weight = server.weight
    driver.end(names[0], 0, Outcome.ERROR)  # sent before the trip
    assert server.weight == weight
    driver.now_us = server.breakers[0].open_until_us
    driver.end(names[1], 0, Outcome.ERROR)
    assert server.weight == weight


def test_full_refusals_shed_nothing() -> None:
    """Where servers throttled one class, their refusals made a proxy shed every class."""
    driver = Driver(servers=3)
    for _ in range(6):
        name, actions = driver.arrive()
        if sends(actions):
            driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
    assert driver.balancer.concurrency_limit.limit == INITIAL_LIMIT


@pytest.mark.parametrize(("queue", "sheds"), [(3.0, True), (0.0, False)])
@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.REJECTED])
def test_answers_by_servers_where_work_waits_lower_the_limit(
    outcome: Outcome, queue: float, sheds: bool
) -> None:
    """Full servers answer at once: what was out stayed low, and each request was sent on to four of them.

    The others' answers are prompt for a second more, and when they were not the servers had choked.
    """
    driver = Driver(servers=8)
    name, actions = driver.arrive()
    driver.end(name, sends(actions)[0].endpoint_id, outcome, latency_us=5_000, load=(("queue", queue),))
    assert (driver.balancer.concurrency_limit.limit < INITIAL_LIMIT) == sheds


def test_what_is_given_less_time_than_any_answer_takes_is_refused_on_arrival() -> None:
    """Clients that gave 33 to 63 ms, asked again and again, and servers worked for nobody."""
    driver = Driver(servers=1)
    name, actions = driver.arrive(patience_us=40_000)
    assert sends(actions)  # nothing is known yet
    driver.end(name, 0, Outcome.TIMEOUT, latency_us=40_000)
    driver.handle(ClientDisconnected(name))
    for _ in range(60):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=60_000)
    sent = {}
    for patience_us in (40_000, 90_000):
        sent[patience_us] = 0
        for _ in range(200):
            name, actions = driver.arrive(patience_us=patience_us)
            sent[patience_us] += len(sends(actions))
            if sends(actions):
                driver.end(name, 0, Outcome.TIMEOUT, latency_us=patience_us)
                driver.handle(ClientDisconnected(name))
    assert 0 < sent[40_000] < 20  # a few all the same, as answers may have become shorter
    assert sent[90_000] == 200


def test_a_reported_queue_leaves_no_more_than_what_is_out() -> None:
    """Proxies with twice the room they used went on sending more while every server's queue grew."""
    driver = Driver(servers=8)
    driver.balancer.concurrency_limit.limit = 30.0
    asked = [driver.arrive(klass=2, patience_us=1_000_000) for _ in range(10)]
    name, actions = asked[0]
    driver.end(name, sends(actions)[0].endpoint_id, load=(("queue", 2.0),))
    assert driver.balancer.concurrency_limit.limit <= 10.0


def test_a_proxy_in_a_jam_has_one_request_out_and_not_two() -> None:
    """Hundreds of proxies that had two out each kept every server's queue full."""
    seconds = 0
    for seed in range(20):
        driver = Driver(servers=8, seed=seed)
        for _ in range(6):
            name, actions = driver.arrive()
            driver.end(name, sends(actions)[0].endpoint_id, load=(("queue", 2.0),))
        assert sends(driver.arrive()[1])
        seconds += bool(sends(driver.arrive()[1]))
    assert seconds < 10


@pytest.mark.parametrize(("given_us", "sheds"), [(30_000, False), (50_000, True)])
def test_a_hurried_time_out_lowers_the_limit_but_blames_no_server(given_us: int, sheds: bool) -> None:
    """Clients in a hurry timed out and came again, until the patient ones were late too."""
    driver = Driver(servers=1)
    driver.balancer.context.classes[0].unloaded_us, driver.balancer.context.classes[0].smoothed_us = (
        20_000.0,
        60_000.0,
    )
    name, _ = driver.arrive(patience_us=given_us)
    driver.now_us += given_us
    driver.end(name, 0, Outcome.TIMEOUT, latency_us=given_us)
    assert (driver.balancer.concurrency_limit.limit < INITIAL_LIMIT) == sheds
    assert not driver.balancer.endpoints.by_id[0].breakers[0].failures


def test_prompt_answers_leave_no_room_for_a_burst_of_half_as_much_again() -> None:
    """The limit rose to twice what was out, so that a burst jammed the servers before it was met."""
    driver = Driver(servers=8)
    held = [driver.arrive(klass=2, patience_us=1_000_000) for _ in range(5)]
    for _ in range(30):
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=5_000)
    assert len(held) == 5 and INITIAL_LIMIT < driver.balancer.concurrency_limit.limit <= 1.5 * (5 + 1)


def test_a_new_proxy_soon_learns_how_fast_the_servers_are() -> None:
    """Restarted proxies took a jam for the usual: the unhindered latency began high and sank slowly."""
    driver = Driver(servers=1)
    balancer = driver.balancer
    start_us = balancer.context.classes[0].unloaded_us
    for _ in range(6):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=10_000)
    assert balancer.context.classes[0].unloaded_us - 10_000 < 0.5 * (start_us - 10_000)
    name, _ = driver.arrive()
    before_us = balancer.context.classes[0].unloaded_us
    driver.end(name, 0, latency_us=1)  # one lucky answer is no measure
    assert balancer.context.classes[0].unloaded_us > 0.8 * before_us


def test_a_little_over_the_unhindered_latency_is_no_jam_where_aims_are_tight() -> None:
    """A quarter of a small slack lay within the work's own scatter, and a quiet day shed half."""
    driver = Driver(servers=1)
    driver.balancer.context.classes[0].unloaded_us = 150_000.0  # of an aim of 200 ms
    for latency_us, sheds in ((250_000, False), (310_000, True)):
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=latency_us)
        assert (driver.balancer.concurrency_limit.limit < INITIAL_LIMIT) == sheds


def test_a_longer_wait_is_tolerated_where_late_answers_are_worth_something() -> None:
    """At half the worth after the aim a refusal costs more than the wait."""
    for late_worth, sheds in ((0.0, True), (0.5, False)):
        klass = replace(SAFE, late_weight_share=late_worth)
        driver = Driver(replace(SETTINGS, classes=(klass,)), servers=1)
        driver.balancer.context.classes[0].unloaded_us = 20_000.0
        name, _ = driver.arrive()
        driver.end(name, 0, latency_us=100_000)
        assert (driver.balancer.concurrency_limit.limit < INITIAL_LIMIT) == sheds


def test_a_client_that_leaves_a_jam_counts_for_shedding() -> None:
    """Impatient clients hid the jam that they made: what they left taught nothing."""
    for stayed_us, sheds in ((10_000, False), (90_000, True)):
        driver = Driver(servers=1)
        driver.balancer.context.classes[0].unloaded_us = 40_000.0
        name, _ = driver.arrive()
        driver.now_us += stayed_us
        driver.handle(ClientDisconnected(name))
        assert (driver.balancer.concurrency_limit.limit < INITIAL_LIMIT) == sheds


ORDERED = replace(SETTINGS, classes=(SAFE, replace(UNSAFE, ordered=True)), ordered_key_delay_us=50_000)


def test_ordered_requests_of_one_key_take_turns() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    server = sends(actions)[0].endpoint_id
    second, actions = driver.arrive(klass=1, key=7)
    assert not sends(actions) and not finals(actions)
    assert sends(driver.arrive(klass=1, key=8)[1]) and sends(driver.arrive(klass=1)[1])
    assert [s.request_id for s in sends(driver.end(first, server))] == [second]


def test_a_client_that_leaves_while_it_waits_for_its_turn_is_not_sent_on() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    server = sends(actions)[0].endpoint_id
    second, _ = driver.arrive(klass=1, key=7)
    third, _ = driver.arrive(klass=1, key=7)
    assert not driver.handle(ClientDisconnected(second))
    assert [s.request_id for s in sends(driver.end(first, server))] == [third]
    driver.end(third, server)
    assert not driver.balancer.lifecycle.requests and not driver.balancer.lifecycle.ordered_keys.queues


def test_a_key_rests_after_an_attempt_that_may_still_run() -> None:
    driver = Driver(ORDERED)
    first, actions = driver.arrive(klass=1, key=7)
    server = sends(actions)[0].endpoint_id
    second, _ = driver.arrive(klass=1, key=7)
    assert driver.handle(ClientDisconnected(first)) == [Cancel(first, 0)]
    (rest,) = timers(driver.end(first, server, Outcome.CANCELLED))
    assert rest.due_us == driver.now_us + 50_000
    driver.now_us = rest.due_us - 1
    third, actions = driver.arrive(klass=1, key=7)
    assert not sends(actions)
    driver.now_us = rest.due_us
    (send,) = sends(driver.handle(TimerFired(rest.token)))
    assert send.request_id == second
    driver.end(second, send.endpoint_id)
    driver.end(third, 0)
    for timer in driver.timers:
        driver.now_us = max(driver.now_us, timer.due_us)
        driver.handle(TimerFired(timer.token))
    assert third and not driver.balancer.timers.callbacks


def test_what_cannot_have_its_turn_in_time_is_turned_away() -> None:
    driver = Driver(ORDERED)
    driver.arrive(klass=1, key=7)
    least_us = int(driver.balancer.context.classes[1].unloaded_us)
    late, actions = driver.arrive(klass=1, key=7, patience_us=2 * least_us - 1)
    assert finals(actions) == [Reject(late)]
    waiting, actions = driver.arrive(klass=1, key=7, patience_us=2 * least_us + 1_000)
    (timer,) = timers(actions)
    driver.now_us = timer.due_us
    assert finals(driver.handle(TimerFired(timer.token))) == [Reject(waiting)]


def test_many_turned_away_at_once_are_answered_without_recursion() -> None:
    driver = Driver(ORDERED, servers=1)
    first, _ = driver.arrive(klass=1, key=7, patience_us=10**9)
    driver.balancer.context.classes[1].unloaded_us = 0.0
    waiting = [driver.arrive(klass=1, key=7, patience_us=10**9)[0] for _ in range(2_000)]
    driver.list_servers(Endpoint(0, EndpointStatus.DRAINING))
    answers = finals(driver.end(first, 0))
    assert answers == [Reject(name) for name in waiting] and not driver.balancer.lifecycle.ordered_keys.queues


def test_full_is_no_proof_where_the_settings_say_so() -> None:
    for unproven in (False, True):
        driver = Driver(replace(SETTINGS, rejected_may_have_run=unproven))
        name, actions = driver.arrive(klass=2)
        answer = driver.end(name, sends(actions)[0].endpoint_id, Outcome.REJECTED)
        assert (finals(answer) == [Fail(name)]) == unproven
        assert bool(sends(answer)) != unproven


def test_a_request_with_no_time_left_is_refused_unsent() -> None:
    driver = Driver()
    for klass in range(3):
        name, actions = driver.arrive(klass=klass, patience_us=0)
        assert finals(actions) == [Reject(name)] and not sends(actions)
    assert not driver.balancer.lifecycle.requests


def test_after_an_empty_list_requests_are_refused_and_late_outcomes_settle() -> None:
    driver = Driver()
    first, actions = driver.arrive(klass=2)
    driver.list_servers()
    second, answer = driver.arrive()
    assert finals(answer) == [Reject(second)]
    assert finals(driver.end(first, sends(actions)[0].endpoint_id, Outcome.RESET)) == [Fail(first)]
    assert not driver.balancer.lifecycle.requests and driver.balancer.concurrency_limit.in_flight == 0


def test_a_tiny_hint_does_not_blow_up_the_smoothed_latency() -> None:
    """Latency was divided by the hinted work: one answer to a hint of nearly nothing counted for hundreds."""
    driver = Driver(servers=1)
    for n in range(400):
        name, _ = driver.arrive(work_us=100 if n % 4 else 20_000)
        driver.end(name, 0, latency_us=15_000 if n % 4 else 40_000)
        driver.now_us += 50_000
    assert 15_000 < driver.balancer.context.classes[0].smoothed_us < 40_000


def test_clients_in_a_hurry_convict_no_server_and_shed_nothing() -> None:
    """Time-outs after 30 ms where answers take 50 ms opened breakers and shed what could be served."""
    driver = Driver(servers=1)
    for _ in range(100):
        name, _ = driver.arrive(klass=2, patience_us=1_000_000)
        driver.end(name, 0, latency_us=50_000)
    server, limit = driver.balancer.endpoints.by_id[0], driver.balancer.concurrency_limit.limit
    weight = server.weight
    for _ in range(20):
        name, _ = driver.arrive(klass=2, patience_us=30_000)
        driver.now_us += 30_000
        driver.end(name, 0, Outcome.TIMEOUT, latency_us=30_000)
    assert driver.balancer.concurrency_limit.limit >= limit
    assert (server.weight, server.breakers[0].state, server.breakers[0].failures) == (
        weight,
        BreakerState.CLOSED,
        0,
    )
    names = [driver.arrive(klass=2, patience_us=1_000_000)[0] for _ in range(RING_SIZE)]
    driver.now_us += 1_000_000
    for name in names:  # given time enough, they do
        driver.end(name, 0, Outcome.TIMEOUT, latency_us=1_000_000)
    assert driver.balancer.concurrency_limit.limit < limit and server.breakers[0].state is BreakerState.OPEN


def all_half_open() -> Driver:
    driver = Driver(servers=3)
    for server in driver.balancer.endpoints.by_id.values():
        trip(server.breakers[0], driver.now_us)
    driver.now_us += INITIAL_COOLDOWN_US
    return driver


def test_a_proxy_that_sheds_nearly_all_comes_back_once_the_cooldowns_are_over() -> None:
    """Unsafe requests were no trials and all safe ones were shed: with no answer that never changed."""
    driver = all_half_open()
    driver.balancer.concurrency_limit.limit = 1.0
    for n in range(60):
        name, actions = driver.arrive(klass=2 if n % 2 else 0, patience_us=1_000_000)
        for send in sends(actions):
            driver.end(name, send.endpoint_id)
        driver.now_us += 10_000
    assert driver.balancer.admission.shed_share == 0.0
    assert all(s.breakers[0].state is BreakerState.CLOSED for s in driver.balancer.endpoints.by_id.values())


def test_unsafe_requests_are_trials_where_no_server_is_closed() -> None:
    driver = all_half_open()
    assert sends(driver.arrive(klass=2)[1])


def test_what_a_tenant_asks_beyond_its_share_is_shed_first() -> None:
    """One fund's burst, worth a tenth, was shed alike with what the others asked within their shares."""
    tenants = (Tenant(quota_per_s=100.0), Tenant(quota_per_s=100.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, over_quota_weight_share=0.1), servers=1)
    refused, late = [0, 0], 0
    for n in range(4_000):  # in four seconds 700 a second of one and 50 a second of the other
        driver.now_us += 1_000
        if n % 20 and n % 10 < 3:
            continue
        driver.balancer.admission.load_shed_share = 0.5
        tenant = 0 if n % 20 else 1
        name, actions = driver.arrive(klass=2, patience_us=1_000_000, tenant=tenant)
        late += n >= 2_000
        if n >= 2_000:
            refused[tenant] += bool(finals(actions))
        for send in sends(actions):
            driver.end(name, send.endpoint_id)
    assert refused[0] > late / 3 and refused[1] == 0


def test_a_request_that_is_shed_is_told_when_to_come_back() -> None:
    """Told nothing, clients came back at once, into the same jam."""
    driver = Driver(servers=1)
    driver.balancer.admission.load_shed_share = 0.95
    for limit_us, advised in ((1_000_000, True), (0, False)):
        driver.change_settings(replace(SETTINGS, max_retry_after_us=limit_us))
        refusals = [f for _ in range(20) for f in finals(driver.arrive()[1]) if isinstance(f, Reject)]
        assert refusals and all((0 < r.retry_after_us <= limit_us) == advised for r in refusals)


def test_a_refusal_names_the_cooldown_of_the_request_s_own_kind() -> None:
    driver = Driver(servers=2)
    for number, server in driver.balancer.endpoints.by_id.items():
        trip(server.breakers[1], driver.now_us + number * 100_000)
    (refusal,) = finals(driver.arrive()[1])
    assert isinstance(refusal, Reject) and refusal.retry_after_us == INITIAL_COOLDOWN_US
    assert sends(driver.arrive(klass=2)[1])


def test_the_scatter_of_what_alone_comes_through_does_not_keep_shedding_up() -> None:
    """Of what was shed at 0.95 only the dearest class came through; four in ten took a little longer."""
    driver = Driver(Settings(classes=(replace(SAFE, late_weight_share=0.0),)), servers=2)
    driver.balancer.context.classes[0].unloaded_us = 40_000.0
    for _ in range(60):  # all of them long: with nothing else out the next one goes all the same
        name, actions = driver.arrive()
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=150_000)
    assert (
        driver.balancer.concurrency_limit.limit == MIN_LIMIT and driver.balancer.admission.shed_share == 0.0
    )
