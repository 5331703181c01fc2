"""Load reports of endpoints, as they stand in a response."""

from __future__ import annotations

from load_balancer.decisions.events import LoadReport
from load_balancer.simulator.codec import parse_load


def parse_load_report(text: bytes) -> LoadReport:
    """Return the names and values of a report such as `inflight=7,util=0.61`."""
    return parse_load(text.decode("latin-1").replace("=", ":"))
