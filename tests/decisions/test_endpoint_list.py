"""Tests of how endpoint lists are applied."""

from __future__ import annotations

from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from tests.decisions.driver import Driver, sends


def test_a_draining_or_gone_endpoint_gets_no_new_requests() -> None:
    driver = Driver(endpoints=3)
    driver.list_endpoints(
        Endpoint(0, EndpointStatus.DRAINING), Endpoint(1, EndpointStatus.GONE), kind=ListKind.DELTA
    )
    for _ in range(4):
        assert sends(driver.start_request()[1])[0].endpoint_id == 2


def test_a_complete_list_removes_missing_endpoints_and_a_restart_resets_the_state() -> None:
    driver = Driver(endpoints=3)
    driver.endpoints[1].breakers[0].record(0, True, 0, 0.0)
    driver.list_endpoints(Endpoint(1, started_us=driver.now_us))
    assert list(driver.endpoints) == [1]
    assert driver.endpoints[1].breakers[0].failures == 0
