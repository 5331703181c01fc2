"""Load reports of endpoints, in the form of a response header."""

from __future__ import annotations

from load_balancer.decisions.events import LoadReport
from load_balancer.load_report_format import parse_load_report


def parse_load_report_header(value: bytes) -> LoadReport:
    """Return the names and values of a header such as `inflight=7,util=0.61`."""
    return parse_load_report(value.decode("latin-1").replace("=", ":"))
