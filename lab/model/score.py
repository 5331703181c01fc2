"""What a day was worth: served in time over asked for, its parts, latency and cost by kind."""

from __future__ import annotations

from collections import Counter
from typing import Any

import numpy as np

from lab.child import Hist
from lab.model.engine import START_US
from lab.model.world import World

WINDOW_S = 10
ENDS = ("in_time", "late", "refused", "failed", "unreachable", "lost")


def ratio(served: float, asked: float) -> float:
    return served / asked if asked else 1.0


def result(world: World) -> dict[str, Any]:
    """All figures of a day that has been played; worth is counted by work, prices are not taken off."""
    day, scenario, traffic = world.day, world.scenario, world.scenario.traffic
    seconds = int(np.ceil(scenario.seconds))
    asked, served = np.zeros(seconds), np.zeros(seconds)
    by_class, by_tenant = np.zeros((len(traffic.classes), 2)), np.zeros((len(traffic.tenants), 2))
    ends: Counter[str] = Counter()
    latency = Hist()
    for n, how in enumerate(world.ended):
        klass, second = traffic.classes[day.klass[n]], (day.times_us[n] - START_US) // 1_000_000
        gain = 0.0
        if how == "served":
            in_time = world.latency_us[n] <= klass.aim_ms * 1e3
            gain = day.worth[n] * (1.0 if in_time else klass.late_worth)
            how = "in_time" if in_time else "late"
            latency.add(world.latency_us[n])
        ends[how] += 1
        asked[second] += day.worth[n]
        served[second] += gain
        by_class[day.klass[n]] += (gain, day.worth[n])
        if not day.over[n]:
            by_tenant[day.tenant[n]] += (gain, day.worth[n])
    parts = {
        "whole": ratio(float(served.sum()), float(asked.sum())),
        "worst_window": min(
            ratio(float(served[s : s + WINDOW_S].sum()), float(asked[s : s + WINDOW_S].sum()))
            for s in range(max(1, seconds - WINDOW_S + 1))
        ),
        "worst_class": min(ratio(*pair) for pair in by_class.tolist()),
        "worst_tenant": min(ratio(*pair) for pair in by_tenant.tolist()),
    }
    goal = scenario.goal
    weights = {name: getattr(goal, name) for name in parts}
    total = sum(weights.values()) or 1.0
    count = len(world.ended)
    offered_us = float(sum(day.work_us))
    worked_us = sum(server.worked_us for server in world.servers)
    costs = {
        kind: world.costs[kind]
        for kind in (
            "tries",
            "attempts",
            "repeats",
            "handshakes",
            "probes",
            "crossings",
            "peer_bytes",
            "falls",
        )
    }
    connections = float(np.mean(world.open_connections)) if world.open_connections else 0.0
    return {
        "G": sum(parts[name] * weight for name, weight in weights.items()) / total,
        **parts,
        "asked": count,
        "shares": {how: ends[how] / count if count else 0.0 for how in ENDS},
        "p50_ms": latency.at(50) if latency.count else None,
        "p99_ms": latency.at(99) if latency.count else None,
        "latency": latency.text(),
        "costs": costs | {
            "list_lines": world.registry.lines,
            "list_calls": world.registry.calls,
            "connections": connections,
            "wasted_work": ratio(worked_us - world.useful_us, offered_us),
            "chokes": sum(server.chokes for server in world.servers),
        },
        "broken": {"count": world.rules.count, "named": world.rules.named},
        "worth_by_s": [[round(a), round(s)] for a, s in zip(asked.tolist(), served.tolist(), strict=True)],
        "zones": list(scenario.zones),
        "server_load": world.samples.servers,
        "zone_load": world.samples.zones,
        "guards": world.samples.guards,
        "events": world.clock.events,
    }  # fmt: skip
