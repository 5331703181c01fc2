"""The score of a run: weight served in time over weight offered, its parts, latency and cost by kind."""

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
ENDS = ("in_time", "late", "refused", "failed", "unreachable", "lost")


def ratio(served: float, offered: float) -> float:
    """A share of nothing is all of it."""
    return served / offered if offered else 1.0


@dataclass
class Tally:
    """Weight offered and served of a run, as a whole and by its parts."""

    offered: Floats  # by second
    served: Floats
    by_class: Floats  # one row a class: served and offered
    by_tenant: Floats  # one row a tenant: served and offered, without what is over quota
    ends: Counter[str]  # by the words of results
    latency: Histogram

    def parts(self) -> dict[str, float]:
        """The parts of the score, each the share of the weight that was served."""
        windows = range(max(1, len(self.offered) - WINDOW_S + 1))
        return {
            "whole": ratio(float(self.served.sum()), float(self.offered.sum())),
            "worst_window": min(
                ratio(
                    float(self.served[s : s + WINDOW_S].sum()),
                    float(self.offered[s : s + WINDOW_S].sum()),
                )
                for s in windows
            ),
            "worst_class": min(ratio(*pair) for pair in self.by_class.tolist()),
            "worst_tenant": min(ratio(*pair) for pair in self.by_tenant.tolist()),
        }


def tally(world: Simulation) -> Tally:
    """Count the weight of all requests; prices are not taken off."""
    workload, traffic = world.workload, world.scenario.traffic
    seconds = int(np.ceil(world.scenario.seconds))
    found = Tally(
        np.zeros(seconds),
        np.zeros(seconds),
        np.zeros((len(traffic.classes), 2)),
        np.zeros((len(traffic.tenants), 2)),
        Counter(),
        Histogram(),
    )
    for row, end in enumerate(world.record.ends):
        class_index, weight = workload.request_class[row], workload.weight[row]
        request_class, second = traffic.classes[class_index], (workload.times_us[row] - START_US) // 1_000_000
        gain, how = 0.0, end.value
        if end is RequestEnd.SERVED:
            latency_us = world.record.latency_us[row]
            in_time = latency_us <= request_class.latency_objective_ms * 1e3
            gain = weight * (1.0 if in_time else request_class.late_weight_share)
            how = "in_time" if in_time else "late"
            found.latency.record(latency_us)
        found.ends[how] += 1
        found.offered[second] += weight
        found.served[second] += gain
        found.by_class[class_index] += (gain, weight)
        if not workload.over_quota[row]:
            found.by_tenant[workload.tenant[row]] += (gain, weight)
    return found


def costs(world: Simulation) -> dict[str, float]:
    """What the run cost, by kind."""
    record, endpoints = world.record, world.fleet.endpoints
    offered_us = float(sum(world.workload.work_us))
    worked_us = sum(endpoint.worked_us for endpoint in endpoints)
    return {kind: record.costs[kind] for kind in COUNTED_COSTS} | {
        "list_lines": world.registry.sent_entries,
        "list_calls": world.registry.call_count,
        "connections": float(np.mean(record.open_connections)) if record.open_connections else 0.0,
        "wasted_work": ratio(worked_us - record.useful_us, offered_us),
        "chokes": sum(endpoint.congestion_count for endpoint in endpoints),
    }


def result(world: Simulation) -> dict[str, Any]:
    """All figures of a run that has been played, under the keys of stored results."""
    found = tally(world)
    parts, count, latency = found.parts(), len(world.record.ends), found.latency
    weights = {name: getattr(world.scenario.objective, name) for name in parts}
    total = sum(weights.values()) or 1.0
    return {
        "G": sum(parts[name] * weight for name, weight in weights.items()) / total,
        **parts,
        "asked": count,
        "shares": {how: found.ends[how] / count if count else 0.0 for how in ENDS},
        "p50_ms": latency.percentile_ms(50) if latency.count else None,
        "p99_ms": latency.percentile_ms(99) if latency.count else None,
        "latency": latency.encode(),
        "costs": costs(world),
        "broken": {"count": world.rules.count, "named": world.rules.named},
        "worth_by_s": [
            [round(offered), round(served)]
            for offered, served in zip(found.offered.tolist(), found.served.tolist(), strict=True)
        ],
        "zones": list(world.scenario.zones),
        "server_load": world.samples.endpoints,
        "zone_load": world.samples.zones,
        "guards": world.samples.guards,
        "events": world.clock.events,
    }
