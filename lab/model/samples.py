"""What a report draws over time: a sample each second of the endpoints' load and the gateways' guards."""

from __future__ import annotations

from collections.abc import Sequence

from lab.model.endpoint import ModelEndpoint
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.job import JobState
from load_balancer.decisions.balancer import Balancer

MAX_ENDPOINTS = 100  # sampled one by one; larger fleets are sampled by zone alone beyond them


def pending_work_ms(endpoint: ModelEndpoint) -> float:
    """Work in hand on a core of speed 1: what is queued, and what is left of what runs."""
    queued = sum(job.total_us for job in endpoint.queue if job.state is JobState.QUEUED)
    running = sum(job.total_us - endpoint.completed_work_us(job) for job in endpoint.running)
    return (queued + running) / 1e3


class Samples:
    """Lists by second; of the load, one row a second with a column an endpoint or a zone."""

    def __init__(self) -> None:
        self.endpoints: dict[str, list[list[int]]] = {"waiting": [], "work_ms": []}
        self.zones: dict[str, list[list[int]]] = {"waiting": [], "work_ms": []}
        self.guards: dict[str, list[list[float]]] = {}  # by kind: mean and most of the gateways

    def take(self, fleet: EndpointFleet, gateways: Sequence[ModelGateway]) -> None:
        """Add one second: load in whole requests and ms, limits in requests, what is shed as a share."""
        found = {
            "waiting": [float(endpoint.queued_count) for endpoint in fleet.endpoints],
            "work_ms": [pending_work_ms(endpoint) for endpoint in fleet.endpoints],
        }
        for what, values in found.items():
            sums = [0.0] * fleet.zone_count
            for endpoint, value in zip(fleet.endpoints, values, strict=True):
                sums[endpoint.zone] += value
            self.endpoints[what].append([round(value) for value in values[:MAX_ENDPOINTS]])
            self.zones[what].append([round(value) for value in sums])
        self._take_guards(gateways)

    def _take_guards(self, gateways: Sequence[ModelGateway]) -> None:
        """Those of the gateways that are up, and none where the policy is not the Balancer's."""
        if not any(isinstance(gateway.policy, Balancer) for gateway in gateways):
            return
        held = [g.policy for g in gateways if g.up and isinstance(g.policy, Balancer)]
        for what, values in {
            "open": [float(p.breakers.open_count) for p in held],
            "half-open": [float(len(p.breakers.not_closed) - p.breakers.open_count) for p in held],
            "limit": [p.concurrency_limit.limit for p in held],
            "shed": [p.admission.shed_share for p in held],
        }.items():
            pair = [sum(values) / len(values), max(values)] if values else [0.0, 0.0]
            self.guards.setdefault(what, []).append([round(value, 3) for value in pair])
