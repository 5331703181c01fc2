"""The record of a run that its score is computed from: request outcomes, latency and costs."""

from __future__ import annotations

from collections import Counter

from lab.model.requests import RequestEnd


class RunRecord:
    """Outcomes and counters of one run; lists by request have the order of the workload.

    Attributes:
        ends: How each request ended.
        latency_us: Latency of each request that was served, 0 for the others.
        costs: Counts by kind of cost.
        useful_work_us: Work of the attempts whose answers the clients received.
        open_connections: Open connections of all endpoints, sampled once a second.
    """

    def __init__(self, request_count: int) -> None:
        self.ends = [RequestEnd.LOST] * request_count
        self.latency_us = [0] * request_count
        self.costs: Counter[str] = Counter()
        self.useful_work_us = 0.0
        self.open_connections: list[int] = []
