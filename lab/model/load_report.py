"""Load reports that endpoints send with their answers."""

from __future__ import annotations

from lab.model.engine import Clock
from lab.model.job import LoadReport

SERVICE_TIME_SMOOTHING = 0.2  # weight of the newest service time in the reported one
ERROR_RATE_SMOOTHING = 0.5  # weight of the newest error gap in the reported error rate
MIN_ERROR_GAP_S = 0.05  # shorter gaps between errors count as this long
ERROR_EXPIRY_S = 2.0  # a success this long after the last error resets the rate to 0


class LoadReporter:
    """The load report of one endpoint process."""

    def __init__(self, clock: Clock, max_age_ms: float) -> None:
        self._clock = clock
        self._max_age_us = max_age_ms * 1e3
        self._service_ms = 0.0
        self._errors_per_s = 0.0
        self._last_error_us = 0
        self._report: LoadReport = ()
        self._reported_us = -(10**9)

    def record(self, service_ms: float, failed: bool) -> None:
        """Count an answer and its service time."""
        smoothing = SERVICE_TIME_SMOOTHING if self._service_ms else 1.0
        self._service_ms += smoothing * (service_ms - self._service_ms)
        gap_s = (self._clock.now_us - self._last_error_us) / 1e6
        if failed:
            newest_per_s = ERROR_RATE_SMOOTHING / max(MIN_ERROR_GAP_S, gap_s)
            self._errors_per_s = (1.0 - ERROR_RATE_SMOOTHING) * self._errors_per_s + newest_per_s
            self._last_error_us = self._clock.now_us
        elif gap_s > ERROR_EXPIRY_S:
            self._errors_per_s = 0.0

    def report(self, queued: int) -> LoadReport:
        """Return the report to send with an answer, computed again if the last one is too old."""
        if self._clock.now_us - self._reported_us >= self._max_age_us:
            self._reported_us = self._clock.now_us
            self._report = (
                ("latency_ms", self._service_ms),
                ("eps", self._errors_per_s),
                ("queue", float(queued)),
            )
        return self._report
