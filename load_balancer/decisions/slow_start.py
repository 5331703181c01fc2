"""Slow start: an endpoint that has just started receives a growing share of requests, within a budget.

In slow start an endpoint fails if it is sent more work than a multiple of its capacity within a window. All
gateways that use the endpoint share that budget evenly; each has a leaky bucket for its part.
"""

from __future__ import annotations

from load_balancer.decisions.endpoint_state import EndpointState
from load_balancer.decisions.latency import SLOW_LATENCY_FACTOR
from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import Settings

OVERLOAD_BUDGET_SHARE = 0.5  # Share of the overload budget that is used; the rest is a margin.


def capacity_share(endpoint: EndpointState, now_us: int, settings: Settings) -> float:
    """Return the share of its full capacity, from 0 to 1, that an endpoint has at this time."""
    started_us = endpoint.endpoint.started_us
    if started_us == 0:
        return 1.0
    age_us = now_us - started_us
    if age_us >= settings.slow_start_us:
        return 1.0
    initial_share = settings.slow_start_capacity
    return initial_share + (1.0 - initial_share) * max(0, age_us) / settings.slow_start_us


def overload_budget_us(subset_size: float, endpoint_count: int, settings: Settings) -> float:
    """Return this gateway's part of the work that may be sent to an endpoint of full capacity in a window.

    The parts of all gateways that have the endpoint in their subset add up to the used share of the budget.
    A bucket with a size of half the budget that drains half the budget per window keeps the work sent in any
    window within the whole budget.
    """
    sharing_gateways = max(1.0, settings.gateways * min(1.0, subset_size / max(1, endpoint_count)))
    return OVERLOAD_BUDGET_SHARE * settings.overload_multiple * settings.overload_window_us / sharing_gateways


def fits_budget(
    endpoint: EndpointState, request: Request, share: float, budget_us: float, now_us: int, settings: Settings
) -> bool:
    """Drain the bucket of an endpoint in slow start, and return whether a request fits into it.

    An empty bucket accepts any request.

    Args:
        endpoint: The endpoint.
        request: The request.
        share: The endpoint's `capacity_share`.
        budget_us: This gateway's `overload_budget_us`.
        now_us: The current time.
        settings: The settings in force.
    """
    bucket_capacity_us = budget_us * share / 2
    elapsed_us = now_us - endpoint.slow_start_updated_us
    drained_us = bucket_capacity_us * elapsed_us / settings.overload_window_us
    endpoint.slow_start_work_us = max(0.0, endpoint.slow_start_work_us - drained_us)
    endpoint.slow_start_updated_us = now_us
    cost_us = estimate_work_us(request)
    return endpoint.slow_start_work_us + cost_us <= max(bucket_capacity_us, cost_us)


def charge(endpoint: EndpointState, request: Request, now_us: int, settings: Settings) -> None:
    """Add the work of a request that is sent to an endpoint in slow start to the endpoint's bucket."""
    if capacity_share(endpoint, now_us, settings) < 1.0:
        endpoint.slow_start_work_us += estimate_work_us(request)


def estimate_work_us(request: Request) -> float:
    """Return the work of a request: the hint, or else the mean of the unloaded and the smoothed latency.

    The smoothed latency is capped at that of a slow answer. Under overload it includes the time in queues, so
    that without the cap new endpoints, which could relieve the overload, would be sent too few requests.
    """
    if request.work_us:
        return float(request.work_us)
    unloaded_us = request.request_class.unloaded_us
    capped_us = min(request.request_class.smoothed_us, SLOW_LATENCY_FACTOR * unloaded_us)
    return (unloaded_us + capped_us) / 2 * request.relative_latency
