"""Tests of settings changes: state is kept for what is unchanged, by name and not by index."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.actions import Fail, Reject
from load_balancer.decisions.circuit_breaker import BreakerState, breaker_key
from load_balancer.decisions.events import Outcome, SettingsChanged, TimerFired
from load_balancer.decisions.settings import Settings, Tenant
from load_balancer.decisions.settings_version import initial_version, next_version
from tests.decisions.driver import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    SETTINGS,
    WITH_IDEMPOTENCY_KEY,
    Driver,
    final_answers,
    make_next_version,
    sends,
    timers,
    trip,
)

NAMED_CLASSES = tuple(
    replace(c, name=n)
    for c, n in ((IDEMPOTENT, "read"), (WITH_IDEMPOTENCY_KEY, "order"), (NON_IDEMPOTENT, "pay"))
)
TENANTS = tuple(Tenant(quota_per_s=9.0, name=name) for name in ("acme", "umbrella", "wayne"))
INITIAL_SETTINGS = replace(SETTINGS, classes=NAMED_CLASSES, tenants=TENANTS)


def test_a_name_keeps_its_id_while_its_definition_is_unchanged() -> None:
    first = initial_version(INITIAL_SETTINGS)
    reweighted = replace(NAMED_CLASSES[1], priority_weight=9.0)
    after = make_next_version(
        first,
        replace(
            INITIAL_SETTINGS, classes=(NAMED_CLASSES[2], reweighted, NAMED_CLASSES[0]), tenants=TENANTS[1:]
        ),
    )
    assert first.class_ids == (0, 1, 2)
    assert after.class_ids == (2, 3, 0)
    assert first.tenant_ids == (0, 1, 2)
    assert after.tenant_ids == (1, 2)
    restored = make_next_version(after, INITIAL_SETTINGS)  # what was removed or changed has a new id
    assert restored.class_ids == (0, 4, 2)
    assert restored.tenant_ids == (5, 1, 2)
    assert (first.number, after.number, restored.number) == (1, 2, 3)


def test_unnamed_items_and_the_only_tenant_get_new_ids() -> None:
    unnamed = make_next_version(
        initial_version(SETTINGS), replace(SETTINGS, classes=SETTINGS.classes[:1] * 2)
    )
    assert unnamed.class_ids == (3, 4)
    assert unnamed.tenant_ids == (0,)
    assert make_next_version(unnamed, replace(INITIAL_SETTINGS, tenants=TENANTS[:1])).tenant_ids != (0,)
    assert make_next_version(
        initial_version(INITIAL_SETTINGS), replace(INITIAL_SETTINGS, tenants=())
    ).tenant_ids == (3,)


def test_a_comparison_yields_between_steps() -> None:
    """Comparing the settings of 23,000 tenants in one step would block the event loop."""
    tenants = tuple(Tenant(name=f"t{n}") for n in range(5_000))
    changed_tenants = (*tenants[:4_999], Tenant(quota_per_s=1.0, name="t4999"))
    steps = next_version(
        initial_version(replace(INITIAL_SETTINGS, tenants=tenants)),
        replace(INITIAL_SETTINGS, tenants=changed_tenants),
    )
    assert len(list(steps)) >= 2 * 5_000 // 500


def test_state_follows_a_class_to_its_new_index() -> None:
    driver = Driver(INITIAL_SETTINGS, endpoints=2)
    for _ in range(30):
        request_id, actions = driver.start_request(request_class=2, timeout_us=1_000_000, tenant=1)
        driver.end_attempt(request_id, sends(actions)[0].endpoint_id, latency_us=44_000)
    trip(driver.endpoints[0].breakers[breaker_key(2, 1)], driver.now_us)
    pay_class = driver.classes[2]
    expected = (pay_class.smoothed_us, pay_class.unloaded_us, pay_class.answer_count, driver.limit.limit)
    driver.change_settings(
        replace(INITIAL_SETTINGS, classes=(NAMED_CLASSES[2], NAMED_CLASSES[0]), tenants=TENANTS[1:])
    )
    pay_class = driver.classes[0]
    assert (
        pay_class.smoothed_us,
        pay_class.unloaded_us,
        pay_class.answer_count,
        driver.limit.limit,
    ) == expected
    assert driver.balancer.demand.within_quota.keys() == {2}
    for _ in range(20):  # the same class and tenant at new indexes: endpoint 0's breaker is open
        request_id, actions = driver.start_request(request_class=0, timeout_us=1_000_000, tenant=0)
        assert sends(actions)[0].endpoint_id == 1
        driver.end_attempt(request_id, 1)


def test_a_class_with_a_changed_definition_starts_with_new_state() -> None:
    driver = Driver(INITIAL_SETTINGS, endpoints=2)
    key = breaker_key(2, 0)
    for endpoint in driver.endpoints.values():
        trip(endpoint.breakers[key], driver.now_us)
    assert final_answers(driver.start_request(request_class=2, timeout_us=1_000_000)[1])
    driver.classes[2].smoothed_us = 900_000.0
    driver.change_settings(
        replace(
            INITIAL_SETTINGS,
            classes=(*NAMED_CLASSES[:2], replace(NAMED_CLASSES[2], latency_objective_us=200_000)),
        )
    )
    assert driver.classes[2].smoothed_us == 50_000.0 == driver.classes.slowest.smoothed_us
    assert sends(driver.start_request(request_class=2, timeout_us=1_000_000)[1])


def test_a_removed_tenant_leaves_no_open_breaker_behind() -> None:
    """Only closed breakers expire: each settings change could leave open ones of removed tenants behind."""
    driver = Driver(INITIAL_SETTINGS, endpoints=2)
    trip(driver.endpoints[0].breakers[1], driver.now_us)
    trip(driver.endpoints[0].breakers[2], driver.now_us)
    trip(driver.endpoints[0].breakers[0], driver.now_us)
    for _ in range(2):  # requests in flight under the previous version may still use them
        assert driver.endpoints[0].breakers.keys() == {0, 1, 2}
        driver.change_settings(replace(INITIAL_SETTINGS, tenants=TENANTS[1:]))
    assert driver.endpoints[0].breakers.keys() == {0, 2}
    assert {b.state for b in driver.endpoints[0].breakers.values()} == {BreakerState.OPEN}


@pytest.mark.parametrize("class_is_removed", [False, True])
def test_a_request_ends_under_the_settings_that_it_arrived_under(class_is_removed: bool) -> None:
    """A non-idempotent request in flight is not sent again if its class becomes idempotent or is removed."""
    driver = Driver(replace(INITIAL_SETTINGS, max_attempts=4), endpoints=3)
    first, actions = driver.start_request(request_class=2, timeout_us=1_000_000, tenant=2)
    classes = NAMED_CLASSES[:2] if class_is_removed else (*NAMED_CLASSES[:2], replace(IDEMPOTENT, name="pay"))
    driver.change_settings(Settings(classes, tenants=TENANTS[:1]))
    actions = driver.end_attempt(first, sends(actions)[0].endpoint_id, Outcome.RESET)
    assert final_answers(actions) == [Fail(first)]
    assert not sends(actions)
    if not class_is_removed:
        second, actions = driver.start_request(request_class=2)
        actions = driver.end_attempt(second, sends(actions)[0].endpoint_id, Outcome.RESET)
        assert sends(actions)


def test_a_quota_is_reset_only_by_a_change_of_its_own_tenant() -> None:
    driver = Driver(replace(INITIAL_SETTINGS, over_quota_weight_share=0.1), endpoints=2)
    driver.limit.limit = 100.0  # nothing is shed
    for _ in range(9):
        driver.start_request(tenant=1)
    driver.change_settings(
        replace(INITIAL_SETTINGS, tenants=(replace(TENANTS[0], quota_per_s=5.0), *TENANTS[1:]))
    )
    request = driver.lifecycle.requests[driver.start_request(tenant=1)[0]]
    assert request.over_quota
    driver.change_settings(
        replace(INITIAL_SETTINGS, tenants=(TENANTS[0], replace(TENANTS[1], quota_per_s=8.0)))
    )
    assert not driver.lifecycle.requests[driver.start_request(tenant=1)[0]].over_quota


def test_an_older_version_is_never_applied() -> None:
    driver = Driver(INITIAL_SETTINGS)
    first = driver.balancer.settings_version
    newer = driver.change_settings(replace(INITIAL_SETTINGS, max_attempts=2))
    driver.handle(SettingsChanged(first))
    assert driver.balancer.settings_version is newer
    assert driver.balancer.context.settings.max_attempts == 2


@pytest.mark.parametrize(("attempts_on_arrival", "attempts_later", "retries"), [(1, 4, 0), (4, 1, 1)])
def test_the_attempts_of_a_request_follow_the_settings_on_its_arrival(
    attempts_on_arrival: int, attempts_later: int, retries: int
) -> None:
    driver = Driver(replace(INITIAL_SETTINGS, max_attempts=attempts_on_arrival), endpoints=3)
    request_id, actions = driver.start_request()
    driver.change_settings(replace(INITIAL_SETTINGS, max_attempts=attempts_later))
    actions = driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert len(sends(actions)) == retries
    assert len(final_answers(actions)) == 1 - retries


@pytest.mark.parametrize("may_hedge", [False, True])
def test_only_requests_that_arrived_while_hedging_was_allowed_are_hedged(may_hedge: bool) -> None:
    driver = Driver(replace(INITIAL_SETTINGS, may_hedge=may_hedge, may_cancel=False), endpoints=3)
    driver.classes[0].smoothed_us = 10_000.0
    _, actions = driver.start_request()
    (timer,) = timers(actions)
    driver.change_settings(replace(INITIAL_SETTINGS, may_hedge=not may_hedge, may_cancel=False))
    driver.now_us = timer.due_us
    assert len(sends(driver.handle(TimerFired(timer.token)))) == may_hedge


@pytest.mark.parametrize("may_have_run_later", [False, True])
def test_whether_a_rejected_request_may_have_run_follows_the_settings_on_arrival(
    may_have_run_later: bool,
) -> None:
    driver = Driver(replace(INITIAL_SETTINGS, rejected_may_have_run=not may_have_run_later), endpoints=1)
    request_id, actions = driver.start_request(request_class=2, timeout_us=1_000_000)
    driver.change_settings(replace(INITIAL_SETTINGS, rejected_may_have_run=may_have_run_later))
    (final,) = final_answers(driver.end_attempt(request_id, sends(actions)[0].endpoint_id, Outcome.REJECTED))
    assert isinstance(final, Reject if may_have_run_later else Fail)


def test_the_priority_order_is_rebuilt_under_new_settings() -> None:
    driver = Driver(INITIAL_SETTINGS)
    driver.admission.sort_demand()
    driver.start_request()
    driver.admission.sort_demand()
    assert driver.admission.priority_order.part_count
    driver.change_settings(replace(INITIAL_SETTINGS, classes=NAMED_CLASSES[1:]))
    assert not driver.admission.priority_order.part_count
