"""Tests that all gateways together keep to the capacity of an endpoint in slow start."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import replace

import pytest

from load_balancer.decisions.actions import Send
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.events import AttemptEnded, EndpointListReceived, Outcome, RequestArrived
from load_balancer.decisions.settings import Idempotency, RequestClass, Settings
from tests.decisions.driver import START_US

STARTING_ENDPOINT_ID = 1
WORK_US = 60_000  # work of a request on one core, and its work hint where it has one
SETTINGS = Settings(
    (
        RequestClass(
            latency_objective_us=400_000, client_timeout_us=2_000_000, idempotency=Idempotency.IDEMPOTENT
        ),
    ),
    slow_start_capacity=0.13,
    slow_start_us=23_000_000,
    overload_multiple=2.5,
    overload_window_us=3_000_000,
    max_attempts=1,
)


def list_received_us(gateway: int, gateways: int) -> int:
    """Return when a gateway receives the list: the gateways receive it one after another, over one second."""
    return START_US + 1_000_000 * gateway // gateways


def send_times_us(gateways: int, endpoints: int, work_hint_us: int | None, bursts_us: range) -> list[int]:
    """Return when each request was sent to the endpoint in slow start.

    The endpoint starts, all gateways receive the list, and each burst reaches all gateways at the same time.
    """
    balancers = []
    for gateway in range(gateways):
        gateway_settings = replace(SETTINGS, gateways=gateways, gateway_index=gateway)
        balancers.append(Balancer(gateway_settings, seed=gateway))
    for gateway, balancer in enumerate(balancers):
        entries = [Endpoint(STARTING_ENDPOINT_ID, started_us=START_US)]
        # The other endpoints are hardly ever chosen.
        entries += [Endpoint(STARTING_ENDPOINT_ID + n, weight=1e-9) for n in range(1, endpoints)]
        balancer.handle(
            list_received_us(gateway, gateways), EndpointListReceived(ListKind.COMPLETE, tuple(entries))
        )
    sent_us: list[int] = []
    for burst_us in bursts_us:
        for gateway, balancer in enumerate(balancers):
            for n in range(2):
                now_us = max(START_US + burst_us, list_received_us(gateway, gateways))
                request_id = f"{burst_us}-{n}"
                actions = balancer.handle(
                    now_us, RequestArrived(request_id, 0, 1_000_000, work_us=work_hint_us)
                )
                for send in (action for action in actions if isinstance(action, Send)):
                    sent_us += [now_us] * (send.endpoint_id == STARTING_ENDPOINT_ID)
                    end = AttemptEnded(request_id, 0, send.endpoint_id, Outcome.OK, WORK_US, finished=True)
                    balancer.handle(now_us, end)
    return sorted(sent_us)


@pytest.mark.parametrize("work_hint_us", [None, WORK_US])
@pytest.mark.parametrize("bursts", [range(0, 23_000_000, 1_000_000), range(8_000_000, 23_000_000, 7_000_000)])
@pytest.mark.parametrize(("gateways", "endpoints"), [(20, 10), (30, 4), (200, 60), (490, 10)])
def test_all_gateways_together_keep_to_an_endpoints_slow_start_budget(
    gateways: int, endpoints: int, bursts: range, work_hint_us: int | None
) -> None:
    """Each gateway may send one request whatever the budget; these must not be sent all at the same time."""
    sent_us = send_times_us(gateways, endpoints, work_hint_us, bursts)
    assert sent_us, "no request was sent in slow start"
    for index, first_us in enumerate(sent_us):
        capacity = (
            SETTINGS.slow_start_capacity
            + (1 - SETTINGS.slow_start_capacity) * (first_us - START_US) / 23_000_000
        )
        allowed = SETTINGS.overload_multiple * capacity * SETTINGS.overload_window_us / WORK_US
        count = bisect_left(sent_us, first_us + SETTINGS.overload_window_us) - index
        assert (
            count <= allowed + 2 * math.sqrt(allowed) + 2
        ), f"{count} of {allowed:.1f} at {first_us - START_US}"
