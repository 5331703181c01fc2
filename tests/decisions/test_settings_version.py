"""Settings that change under way: state stays with what stays the same, by name and not by place."""

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
    finals,
    sends,
    succeed,
    timers,
    trip,
)

NAMED = tuple(
    replace(c, name=n)
    for c, n in ((IDEMPOTENT, "read"), (WITH_IDEMPOTENCY_KEY, "order"), (NON_IDEMPOTENT, "pay"))
)
TENANTS = tuple(Tenant(quota_per_s=9.0, name=name) for name in ("acme", "umbrella", "wayne"))
BEFORE = replace(SETTINGS, classes=NAMED, tenants=TENANTS)


def test_ids_stay_with_names_whose_meaning_stays() -> None:
    first = initial_version(BEFORE)
    dearer = replace(NAMED[1], priority_weight=9.0)
    after = succeed(first, replace(BEFORE, classes=(NAMED[2], dearer, NAMED[0]), tenants=TENANTS[1:]))
    assert first.class_ids == (0, 1, 2)
    assert after.class_ids == (2, 3, 0)
    assert first.tenant_ids == (0, 1, 2)
    assert after.tenant_ids == (1, 2)
    back = succeed(after, BEFORE)  # what was gone or changed has begun anew
    assert back.class_ids == (0, 4, 2)
    assert back.tenant_ids == (5, 1, 2)
    assert (first.number, after.number, back.number) == (1, 2, 3)


def test_unnamed_items_and_the_only_tenant_get_new_ids() -> None:
    unnamed = succeed(initial_version(SETTINGS), replace(SETTINGS, classes=SETTINGS.classes[:1] * 2))
    assert unnamed.class_ids == (3, 4)
    assert unnamed.tenant_ids == (0,)
    assert succeed(unnamed, replace(BEFORE, tenants=TENANTS[:1])).tenant_ids != (0,)
    assert succeed(initial_version(BEFORE), replace(BEFORE, tenants=())).tenant_ids == (3,)


def test_a_comparison_yields_between_steps() -> None:
    """A change of one tenant among 23,000 must not stop the loop."""
    many = tuple(Tenant(name=f"t{n}") for n in range(5_000))
    changed = (*many[:4_999], Tenant(quota_per_s=1.0, name="t4999"))
    steps = next_version(initial_version(replace(BEFORE, tenants=many)), replace(BEFORE, tenants=changed))
    assert len(list(steps)) >= 2 * 5_000 // 500


def test_state_follows_a_class_to_its_new_index() -> None:
    driver = Driver(BEFORE, endpoints=2)
    for _ in range(30):
        name, actions = driver.arrive(request_class=2, timeout_us=1_000_000, tenant=1)
        driver.end(name, sends(actions)[0].endpoint_id, latency_us=44_000)
    trip(driver.endpoints[0].breakers[breaker_key(2, 1)], driver.now_us)
    pay = driver.classes[2]
    known = (pay.smoothed_us, pay.unloaded_us, pay.answer_count, driver.limit.limit)
    driver.change_settings(replace(BEFORE, classes=(NAMED[2], NAMED[0]), tenants=TENANTS[1:]))
    pay = driver.classes[0]
    assert (pay.smoothed_us, pay.unloaded_us, pay.answer_count, driver.limit.limit) == known
    assert driver.balancer.demand.within_quota.keys() == {2}
    for _ in range(20):  # the same kind, now class 0 of tenant 0: endpoint 0 is still open to it
        name, actions = driver.arrive(request_class=0, timeout_us=1_000_000, tenant=0)
        assert sends(actions)[0].endpoint_id == 1
        driver.end(name, 1)


def test_a_class_whose_meaning_changed_starts_anew() -> None:
    driver = Driver(BEFORE, endpoints=2)
    place = breaker_key(2, 0)
    for endpoint in driver.endpoints.values():
        trip(endpoint.breakers[place], driver.now_us)
    assert finals(driver.arrive(request_class=2, timeout_us=1_000_000)[1])
    driver.classes[2].smoothed_us = 900_000.0
    driver.change_settings(
        replace(BEFORE, classes=(*NAMED[:2], replace(NAMED[2], latency_objective_us=200_000)))
    )
    assert driver.classes[2].smoothed_us == 50_000.0 == driver.classes.slowest.smoothed_us
    assert sends(driver.arrive(request_class=2, timeout_us=1_000_000)[1])


def test_a_removed_class_leaves_no_open_breaker_behind() -> None:
    """None is ever evicted while it may be asked for: with each change some would stay for good."""
    driver = Driver(BEFORE, endpoints=2)
    trip(driver.endpoints[0].breakers[1], driver.now_us)
    trip(driver.endpoints[0].breakers[2], driver.now_us)
    trip(driver.endpoints[0].breakers[0], driver.now_us)
    for _ in range(2):  # what is out under the last generation may still look at it
        assert driver.endpoints[0].breakers.keys() == {0, 1, 2}
        driver.change_settings(replace(BEFORE, tenants=TENANTS[1:]))
    assert driver.endpoints[0].breakers.keys() == {0, 2}
    assert {b.state for b in driver.endpoints[0].breakers.values()} == {BreakerState.OPEN}


@pytest.mark.parametrize("gone", [False, True])
def test_a_request_ends_under_the_settings_that_it_arrived_under(gone: bool) -> None:
    """A class that must never run twice becomes one that may be repeated, or goes, with a request out."""
    driver = Driver(replace(BEFORE, max_attempts=4), endpoints=3)
    request, actions = driver.arrive(request_class=2, timeout_us=1_000_000, tenant=2)
    classes = NAMED[:2] if gone else (*NAMED[:2], replace(IDEMPOTENT, name="pay"))
    driver.change_settings(Settings(classes, tenants=TENANTS[:1]))
    actions = driver.end(request, sends(actions)[0].endpoint_id, Outcome.RESET)
    assert finals(actions) == [Fail(request)]
    assert not sends(actions)
    if not gone:
        later, actions = driver.arrive(request_class=2)
        actions = driver.end(later, sends(actions)[0].endpoint_id, Outcome.RESET)
        assert sends(actions)


def test_a_quota_survives_a_change_of_another_tenant_and_no_change_of_its_own() -> None:
    driver = Driver(replace(BEFORE, over_quota_weight_share=0.1), endpoints=2)
    driver.limit.limit = 100.0  # nothing is shed
    for _ in range(9):
        driver.arrive(tenant=1)
    driver.change_settings(replace(BEFORE, tenants=(replace(TENANTS[0], quota_per_s=5.0), *TENANTS[1:])))
    used = driver.lifecycle.requests[driver.arrive(tenant=1)[0]]
    assert used.over_quota
    driver.change_settings(replace(BEFORE, tenants=(TENANTS[0], replace(TENANTS[1], quota_per_s=8.0))))
    assert not driver.lifecycle.requests[driver.arrive(tenant=1)[0]].over_quota


def test_an_older_version_is_never_applied() -> None:
    driver = Driver(BEFORE)
    first = driver.balancer.settings_version
    newer = driver.change_settings(replace(BEFORE, max_attempts=2))
    driver.handle(SettingsChanged(first))
    assert driver.balancer.settings_version is newer
    assert driver.balancer.context.settings.max_attempts == 2


@pytest.mark.parametrize(("taken", "later", "sent"), [(1, 4, 0), (4, 1, 1)])
def test_the_attempts_of_a_request_follow_the_settings_on_its_arrival(
    taken: int, later: int, sent: int
) -> None:
    driver = Driver(replace(BEFORE, max_attempts=taken), endpoints=3)
    request, actions = driver.arrive()
    driver.change_settings(replace(BEFORE, max_attempts=later))
    actions = driver.end(request, sends(actions)[0].endpoint_id, Outcome.CONNECT_FAILED)
    assert len(sends(actions)) == sent
    assert len(finals(actions)) == 1 - sent


@pytest.mark.parametrize("copies", [False, True])
def test_hedging_is_for_requests_that_arrived_while_it_was_allowed(copies: bool) -> None:
    driver = Driver(replace(BEFORE, may_hedge=copies, may_cancel=False), endpoints=3)
    driver.classes[0].smoothed_us = 10_000.0
    _, actions = driver.arrive()
    (timer,) = timers(actions)
    driver.change_settings(replace(BEFORE, may_hedge=not copies, may_cancel=False))
    driver.now_us = timer.due_us
    assert len(sends(driver.handle(TimerFired(timer.token)))) == copies


@pytest.mark.parametrize("proof", [False, True])
def test_whether_a_rejection_proves_anything_follows_the_settings_on_arrival(proof: bool) -> None:
    driver = Driver(replace(BEFORE, rejected_may_have_run=not proof), endpoints=1)
    request, actions = driver.arrive(request_class=2, timeout_us=1_000_000)
    driver.change_settings(replace(BEFORE, rejected_may_have_run=proof))
    (final,) = finals(driver.end(request, sends(actions)[0].endpoint_id, Outcome.REJECTED))
    assert isinstance(final, Reject if proof else Fail)


def test_the_order_by_priority_is_made_anew_under_new_settings() -> None:
    driver = Driver(BEFORE)
    driver.admission.sort_demand()
    driver.arrive()
    driver.admission.sort_demand()
    assert driver.admission.priority_order.part_count
    driver.change_settings(replace(BEFORE, classes=NAMED[1:]))
    assert not driver.admission.priority_order.part_count
