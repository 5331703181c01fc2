"""What a day's report draws over time: a sample each second of the servers' load and the gateways' guards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lab.model.servers import Server, Step
from load_balancer.decisions.balancer import Balancer

if TYPE_CHECKING:
    from lab.model.world import World

SERVERS = 100  # of which each is kept; of larger fleets the zones tell the rest


def work_ms(server: Server) -> float:
    """Work in hand on a core of speed 1: what waits, and what is left of what runs."""
    waits = sum(job.work_us + job.extra_us for job in server.queue if job.step is Step.WAITING)
    runs = sum(job.work_us + job.extra_us - server.done_us(job) for job in server.running)
    return (waits + runs) / 1e3


class Samples:
    """Lists by second; of the load, one row a second with a column a server or a zone."""

    def __init__(self) -> None:
        self.servers: dict[str, list[list[int]]] = {"waiting": [], "work_ms": []}
        self.zones: dict[str, list[list[int]]] = {"waiting": [], "work_ms": []}
        self.guards: dict[str, list[list[float]]] = {}  # by kind: mean and most of the gateways

    def take(self, world: World) -> None:
        """One more second: load in whole requests and ms, limits in requests, what is shed as a share.

        The guards are those of the gateways that are up, and none where the policy is not the Balancer's.
        """
        found = {
            "waiting": [float(server.waiting) for server in world.servers],
            "work_ms": [work_ms(server) for server in world.servers],
        }
        for what, values in found.items():
            sums = [0.0] * world.zones
            for number, value in enumerate(values):
                sums[world.zone(number)] += value
            self.servers[what].append([round(value) for value in values[:SERVERS]])
            self.zones[what].append([round(value) for value in sums])
        if not any(isinstance(gateway.policy, Balancer) for gateway in world.gateways):
            return
        held = [g.policy for g in world.gateways if g.up and isinstance(g.policy, Balancer)]
        for what, values in {
            "open": [float(p.breakers.open_count) for p in held],
            "half-open": [float(len(p.breakers.not_closed) - p.breakers.open_count) for p in held],
            "limit": [p.concurrency_limit.limit for p in held],
            "shed": [p.admission.shed_share for p in held],
        }.items():
            pair = [sum(values) / len(values), max(values)] if values else [0.0, 0.0]
            self.guards.setdefault(what, []).append([round(value, 3) for value in pair])
