"""Tests of admission control: which requests are shed, and when shedding ends."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.actions import Reject
from load_balancer.decisions.circuit_breaker import (
    BreakerState,
)
from load_balancer.decisions.concurrency_limit import (
    LIMIT_DECREASE_STEPS,
    LIMIT_STEP,
)
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import (
    ClientDisconnected,
    Outcome,
)
from load_balancer.decisions.settings import Settings, Tenant
from tests.decisions.driver import IDEMPOTENT, SETTINGS, Driver, final_answers, sends


@pytest.mark.parametrize(("request_class", "gap_us"), [(1, 1_000), (2, 100_000)])
def test_a_gateway_with_few_answers_sheds_as_soon_as_a_busy_one(request_class: int, gap_us: int) -> None:
    """Shedding must not wait for answers, as a gateway may get few of them.

    Each of 850 gateways saw three answers in the five seconds in which the fleet became overloaded.
    """
    driver = Driver(endpoints=8)
    rejected = 0
    for _ in range(40):
        rejected += bool(
            final_answers(driver.start_request(request_class=request_class, timeout_us=10_000_000)[1])
        )
        driver.now_us += gap_us
    assert rejected >= 20


def test_shedding_ends_once_all_requests_in_flight_are_answered() -> None:
    """With one answer a second, a gateway that shed nearly all requests kept shedding for tens of seconds."""
    driver = Driver(endpoints=8)
    started = [driver.start_request(request_class=2, timeout_us=1_000_000) for _ in range(40)]
    assert driver.admission.shed_share > 0.0
    for request_id, actions in started:
        for send in sends(actions):
            driver.end_attempt(request_id, send.endpoint_id, latency_us=290_000)
    for _ in range(3):
        assert driver.admission.shed_share == 0.0
        driver.now_us += 1_000_000
        request_id, actions = driver.start_request(request_class=2, timeout_us=1_000_000)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=290_000)


def test_slow_answers_shed_the_lowest_priority_first_and_prompt_answers_end_shedding() -> None:
    low_priority = replace(IDEMPOTENT, priority_weight=1.0)
    high_priority = replace(IDEMPOTENT, priority_weight=10.0)
    driver = Driver(Settings(classes=(low_priority, high_priority)))
    for number in range(100):
        driver.balancer.demand.within_quota[number % 2] += 2
        driver.balancer.demand.served[number % 2] += 2
    # Three slow answers lower the limit to 6.2, with 9 requests in flight.
    driver.limit.limit = 6.2 + 3 * LIMIT_DECREASE_STEPS * LIMIT_STEP
    in_flight = [driver.start_request(request_class=1) for _ in range(9)]
    for latency_us, expected in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(3):
            request_id, actions = in_flight.pop(0)
            driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=latency_us)
            in_flight.append(driver.start_request(request_class=1))
        rejected = []
        for request_class in (0, 1):
            request_id, actions = driver.start_request(request_class=request_class)
            rejected.append(bool(final_answers(actions)))
            if sends(actions):
                driver.handle(ClientDisconnected(request_id))
                driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.CANCELLED)
        assert rejected == expected
        while len(in_flight) > 3:
            request_id, actions = in_flight.pop(0)
            driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=5_000)


@pytest.mark.parametrize("load_dependent", [True, False])
def test_load_dependent_weights_shed_load_before_any_answer(load_dependent: bool) -> None:
    """A gateway with few answers noticed an overload only when the endpoints' throughput had collapsed."""
    driver = Driver(replace(SETTINGS, load_dependent_weights=load_dependent), endpoints=0)
    driver.list_endpoints(*(Endpoint(n, weight=4.0) for n in range(3)))
    for _ in range(5):
        driver.list_endpoints(*(Endpoint(n, weight=0.5) for n in range(3)), kind=ListKind.DELTA)
    assert (driver.admission.shed_share > 0.5) == load_dependent
    for _ in range(20):
        driver.list_endpoints(*(Endpoint(n, weight=4.0) for n in range(3)), kind=ListKind.DELTA)
    assert driver.admission.shed_share == 0.0


def test_a_request_whose_timeout_is_shorter_than_any_answer_is_rejected_on_arrival() -> None:
    """Clients with timeouts of 33 to 63 ms kept retrying, and endpoints worked on abandoned requests."""
    driver = Driver(endpoints=1)
    request_id, actions = driver.start_request(timeout_us=40_000)
    assert sends(actions)  # no answer has shown yet how long one takes
    driver.end_attempt(request_id, 0, Outcome.TIMEOUT, latency_us=40_000)
    driver.handle(ClientDisconnected(request_id))
    for _ in range(60):
        request_id, _ = driver.start_request()
        driver.end_attempt(request_id, 0, latency_us=60_000)
    sent = {}
    for timeout_us in (40_000, 90_000):
        sent[timeout_us] = 0
        for _ in range(200):
            request_id, actions = driver.start_request(timeout_us=timeout_us)
            sent[timeout_us] += len(sends(actions))
            if sends(actions):
                driver.end_attempt(request_id, 0, Outcome.TIMEOUT, latency_us=timeout_us)
                driver.handle(ClientDisconnected(request_id))
    assert 0 < sent[40_000] < 20  # a few are sent all the same, to notice when answers become faster
    assert sent[90_000] == 200


def test_a_request_with_no_time_left_is_rejected_without_an_attempt(driver: Driver) -> None:
    for request_class in range(3):
        request_id, actions = driver.start_request(request_class=request_class, timeout_us=0)
        assert final_answers(actions) == [Reject(request_id)]
        assert not sends(actions)
    assert not driver.lifecycle.requests


def test_a_gateway_that_sheds_nearly_all_recovers_after_the_cooldowns(
    driver_after_cooldown: Driver,
) -> None:
    """Without any answer, the shed share did not fall and no breaker closed.

    All idempotent requests were shed, and non-idempotent requests were not used as trials.
    """
    driver_after_cooldown.limit.limit = 1.0
    for n in range(60):
        request_id, actions = driver_after_cooldown.start_request(
            request_class=2 if n % 2 else 0, timeout_us=1_000_000
        )
        for send in sends(actions):
            driver_after_cooldown.end_attempt(request_id, send.endpoint_id)
        driver_after_cooldown.now_us += 10_000
    assert driver_after_cooldown.admission.shed_share == 0.0
    assert all(s.breakers[0].state is BreakerState.CLOSED for s in driver_after_cooldown.endpoints.values())


def test_requests_over_quota_are_shed_first() -> None:
    """Requests of a tenant over its quota, with a tenth of the weight, were shed like those within quotas."""
    tenants = (Tenant(quota_per_s=100.0), Tenant(quota_per_s=100.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, over_quota_weight_share=0.1), endpoints=1)
    rejected, counted = [0, 0], 0
    for n in range(4_000):  # four seconds with 700 requests/s of tenant 0 and 50 of tenant 1
        driver.now_us += 1_000
        if n % 20 and n % 10 < 3:
            continue
        driver.admission.load_shed_share = 0.5
        tenant = 0 if n % 20 else 1
        request_id, actions = driver.start_request(request_class=2, timeout_us=1_000_000, tenant=tenant)
        counted += n >= 2_000
        if n >= 2_000:
            rejected[tenant] += bool(final_answers(actions))
        for send in sends(actions):
            driver.end_attempt(request_id, send.endpoint_id)
    assert rejected[0] > counted / 3
    assert rejected[1] == 0
