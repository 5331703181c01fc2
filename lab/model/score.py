"""The score of a run: the share of the offered weight that was served, its parts, latency and costs.

The weight of a request is its work times the priority weight of its class. A late answer counts in part.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import numpy as np

from lab.child import Histogram
from lab.model.engine import START_US
from lab.model.requests import RequestEnd
from lab.model.simulation import Simulation
from lab.schedule import Floats

WINDOW_S = 10
COUNTED_COSTS = (
    "tries",
    "attempts",
    "repeats",
    "handshakes",
    "probes",
    "crossings",
    "peer_bytes",
    "falls",
)
END_KINDS = ("in_time", "late", "refused", "failed", "unreachable", "lost")


def ratio(served: float, offered: float) -> float:
    """Return `served / offered`, or 1 if nothing was offered."""
    return served / offered if offered else 1.0


@dataclass
class RunTotals:
    """Totals of a run that its score is computed from.

    Attributes:
        offered: Weight offered, by second of arrival.
        served: Weight served, by second of arrival.
        by_class: Weight served and offered: one row per class.
        by_tenant: Weight served and offered, without requests over quota: one row per tenant.
        end_counts: Number of requests by how they ended, under the names in `END_KINDS`.
        latency: Latency of the requests that were served.
    """

    offered: Floats
    served: Floats
    by_class: Floats
    by_tenant: Floats
    end_counts: Counter[str]
    latency: Histogram

    def parts(self) -> dict[str, float]:
        """Return the parts of the score, each a share of the offered weight."""
        windows = range(max(1, len(self.offered) - WINDOW_S + 1))
        return {
            "whole": ratio(float(self.served.sum()), float(self.offered.sum())),
            "worst_window": min(
                ratio(
                    float(self.served[start : start + WINDOW_S].sum()),
                    float(self.offered[start : start + WINDOW_S].sum()),
                )
                for start in windows
            ),
            "worst_class": min(ratio(*pair) for pair in self.by_class.tolist()),
            "worst_tenant": min(ratio(*pair) for pair in self.by_tenant.tolist()),
        }


def compute_totals(simulation: Simulation) -> RunTotals:
    """Add up the weight of all requests; costs are not subtracted."""
    workload, traffic = simulation.workload, simulation.scenario.traffic
    seconds = int(np.ceil(simulation.scenario.seconds))
    totals = RunTotals(
        np.zeros(seconds),
        np.zeros(seconds),
        np.zeros((len(traffic.classes), 2)),
        np.zeros((len(traffic.tenants), 2)),
        Counter(),
        Histogram(),
    )
    for row, end in enumerate(simulation.record.ends):
        class_index, weight = workload.request_class[row], workload.weight[row]
        request_class, second = traffic.classes[class_index], (workload.times_us[row] - START_US) // 1_000_000
        served_weight, end_kind = 0.0, end.value
        if end is RequestEnd.SERVED:
            latency_us = simulation.record.latency_us[row]
            in_time = latency_us <= request_class.latency_objective_ms * 1e3
            served_weight = weight * (1.0 if in_time else request_class.late_weight_share)
            end_kind = "in_time" if in_time else "late"
            totals.latency.record(latency_us)
        totals.end_counts[end_kind] += 1
        totals.offered[second] += weight
        totals.served[second] += served_weight
        totals.by_class[class_index] += (served_weight, weight)
        if not workload.over_quota[row]:
            totals.by_tenant[workload.tenant[row]] += (served_weight, weight)
    return totals


def costs(simulation: Simulation) -> dict[str, float]:
    """Return the costs of the run, by kind."""
    record, endpoints = simulation.record, simulation.fleet.endpoints
    offered_us = float(sum(simulation.workload.work_us))
    worked_us = sum(endpoint.worked_us for endpoint in endpoints)
    return {kind: record.costs[kind] for kind in COUNTED_COSTS} | {
        "list_lines": simulation.registry.sent_entries,
        "list_calls": simulation.registry.call_count,
        "connections": float(np.mean(record.open_connections)) if record.open_connections else 0.0,
        "wasted_work": ratio(worked_us - record.useful_work_us, offered_us),
        "chokes": sum(endpoint.congestion_count for endpoint in endpoints),
    }


def compute_result(simulation: Simulation) -> dict[str, Any]:
    """Return all figures of a completed run, under the keys of stored results."""
    totals = compute_totals(simulation)
    parts, count, latency = totals.parts(), len(simulation.record.ends), totals.latency
    weights = {name: getattr(simulation.scenario.objective, name) for name in parts}
    total_weight = sum(weights.values()) or 1.0
    return {
        "G": sum(parts[name] * weight for name, weight in weights.items()) / total_weight,
        **parts,
        "asked": count,
        "shares": {end_kind: totals.end_counts[end_kind] / count if count else 0.0 for end_kind in END_KINDS},
        "p50_ms": latency.percentile_ms(50) if latency.count else None,
        "p99_ms": latency.percentile_ms(99) if latency.count else None,
        "latency": latency.encode(),
        "costs": costs(simulation),
        "broken": {"count": simulation.rules.violation_count, "named": simulation.rules.violations},
        "worth_by_s": [
            [round(offered), round(served)]
            for offered, served in zip(totals.offered.tolist(), totals.served.tolist(), strict=True)
        ],
        "zones": list(simulation.scenario.zones),
        "server_load": simulation.samples.endpoint_load,
        "zone_load": simulation.samples.zone_load,
        "guards": simulation.samples.guards,
        "events": simulation.clock.events,
    }
