"""Load reports that endpoints send with their answers."""

from __future__ import annotations

from lab.model.engine import Clock
from lab.model.job import LoadReport

REPORT_SHARE = 0.2  # of the newest service time in the reported one
ERROR_SHARE = 0.5  # of the newest gap between errors in the reported rate
MIN_ERROR_GAP_S = 0.05
ERROR_MEMORY_S = 2.0  # a success this long after the last error reports a rate of 0


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

    def add(self, service_ms: float, fails: bool) -> None:
        """Count an answer."""
        share = REPORT_SHARE if self._service_ms else 1.0
        self._service_ms += share * (service_ms - self._service_ms)
        gap_s = (self._clock.now_us - self._last_error_us) / 1e6
        if fails:
            newest = ERROR_SHARE / max(MIN_ERROR_GAP_S, gap_s)
            self._errors_per_s = (1.0 - ERROR_SHARE) * self._errors_per_s + newest
            self._last_error_us = self._clock.now_us
        elif gap_s > ERROR_MEMORY_S:
            self._errors_per_s = 0.0

    def report(self, queued: int) -> LoadReport:
        """The report that goes with an answer, made anew once it is too old."""
        if self._clock.now_us - self._reported_us >= self._max_age_us:
            self._reported_us = self._clock.now_us
            self._report = (
                ("latency_ms", self._service_ms),
                ("eps", self._errors_per_s),
                ("queue", float(queued)),
            )
        return self._report
