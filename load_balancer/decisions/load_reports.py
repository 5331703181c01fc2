"""Load reports of the endpoints, which include the load from other gateways.

Without them, many gateways that each have nothing in flight at an endpoint could overload it together.
"""

from __future__ import annotations

import math

from load_balancer.decisions.endpoint_state import EndpointState
from load_balancer.decisions.events import LoadReport
from load_balancer.decisions.latency import SMOOTHING_FACTOR

REPORT_HALF_LIFE_US = 1_000_000  # Age at which a reported queue length or error rate counts half.
REPORT_SMOOTHING_FACTOR = 0.3  # Share of the newest report in an endpoint's smoothed service time.
MAX_SPEED_FACTOR = 4.0  # Largest factor by which reported service times raise or lower a weight.


def report_age_factor(endpoint: EndpointState, now_us: int) -> float:
    """Return how much of an endpoint's last report still counts, from 0 to 1."""
    return math.exp2((endpoint.reported_us - now_us) / REPORT_HALF_LIFE_US)


class LoadReports:
    """Applies load reports to the state of endpoints, and smooths the service times that they all report.

    Attributes:
        service_ms: Smoothed service time from all reports, in milliseconds; 0 before the first.
    """

    __slots__ = ("service_ms",)

    def __init__(self) -> None:
        self.service_ms = 0.0

    def apply(self, endpoint: EndpointState, report: LoadReport, now_us: int) -> None:
        """Apply an endpoint's report; ignore unknown names and values out of range."""
        for name, value in report:
            if name == "queue" and value >= 0.0:
                endpoint.queue_length = value
                endpoint.reported_us = now_us
            elif name == "eps" and value >= 0.0:
                endpoint.errors_per_s = value
                endpoint.reported_us = now_us
            elif name == "latency_ms" and value > 0.0:
                share = REPORT_SMOOTHING_FACTOR if endpoint.service_ms else 1.0
                endpoint.service_ms += share * (value - endpoint.service_ms)
                self.service_ms += (SMOOTHING_FACTOR if self.service_ms else 1.0) * (value - self.service_ms)

    def speed_factor(self, endpoint: EndpointState) -> float:
        """Return the usual service time divided by the endpoint's, within limits; 1 if unknown."""
        if not endpoint.service_ms or not self.service_ms:
            return 1.0
        return min(MAX_SPEED_FACTOR, max(1.0 / MAX_SPEED_FACTOR, self.service_ms / endpoint.service_ms))
