"""Health checks of endpoints, whose responses may carry load reports."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from load_balancer.decisions.events import Event, HealthCheckEnded, Outcome
from load_balancer.decisions.settings import LoadReportMode, Settings
from load_balancer.gateway.clock import Clock
from load_balancer.gateway.http_message import Response
from load_balancer.gateway.load_reports import parse_load_report_header
from load_balancer.gateway.upstream_pool import EndpointId, UpstreamPool

HEALTH_CHECK_TIMEOUT_S = 1.0
HEALTH_CHECK_PATH = b"/health/live"
LOAD_REPORT_PATH = b"/stats"


@dataclass(frozen=True, slots=True)
class HealthCheckRequest:
    """What a health check sends.

    Attributes:
        payload: Its bytes.
    """

    payload: bytes

    def may_be_written(self) -> bool:
        """Return True, as a health check may be sent at any time."""
        return True

    def encode(self) -> bytes:
        """Return its bytes."""
        return self.payload


class HealthChecker:
    """A sender of health checks that reports their outcomes to the balancer."""

    def __init__(self, upstream: UpstreamPool, clock: Clock, dispatch: Callable[[Event], None]) -> None:
        self._upstream = upstream
        self._clock = clock
        self._dispatch = dispatch

    def check(self, endpoint_id: EndpointId, settings: Settings) -> None:
        """Send a check to an endpoint, if the settings allow checks."""
        if not settings.may_check_health:
            return
        with_report = settings.load_reports.mode is not LoadReportMode.NONE
        sent_us = self._clock.now_us()

        def on_end(outcome: Outcome, response: Response | None) -> None:
            report = parse_load_report_header(response.body) if with_report and response is not None else ()
            self._dispatch(HealthCheckEnded(endpoint_id, outcome, self._clock.now_us() - sent_us, report))

        path = LOAD_REPORT_PATH if with_report else HEALTH_CHECK_PATH
        payload = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (path, self._upstream.authority(endpoint_id))
        self._upstream.send(endpoint_id, HealthCheckRequest(payload), HEALTH_CHECK_TIMEOUT_S, on_end)
