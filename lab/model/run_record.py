"""What a run is scored by: how each request ended, latency, and cost by kind."""

from __future__ import annotations

from collections import Counter

from lab.model.requests import RequestEnd


class RunRecord:
    """Counters of one run; the rows are the workload's."""

    def __init__(self, request_count: int) -> None:
        self.ends = [RequestEnd.LOST] * request_count
        self.latency_us = [0] * request_count  # of those served
        self.costs: Counter[str] = Counter()
        self.useful_work_us = 0.0  # endpoint work that served an answer
        self.open_connections: list[int] = []  # once a second
