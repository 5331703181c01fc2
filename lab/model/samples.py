"""Samples for plots, once a second: load of endpoints; breakers, limits and load shedding of gateways."""

from __future__ import annotations

from collections.abc import Sequence

from lab.model.endpoint import ModelEndpoint
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.job import JobState
from load_balancer.decisions.balancer import Balancer

MAX_SAMPLED_ENDPOINTS = 100  # endpoints sampled one by one; the others count in their zone's sample only


def pending_work_ms(endpoint: ModelEndpoint) -> float:
    """Return the remaining work of queued and running jobs, in ms on a core of speed 1."""
    queued = sum(job.total_us for job in endpoint.queue if job.state is JobState.QUEUED)
    running = sum(job.total_us - endpoint.completed_work_us(job) for job in endpoint.running)
    return (queued + running) / 1e3


class Samples:
    """Samples of one run.

    Attributes:
        endpoint_load: Load by kind: one row per second, one column per endpoint.
        zone_load: Load by kind: one row per second, one column per zone.
        guards: Circuit breakers, limits and load shedding by kind: one row per second with the mean and the
            maximum over the gateways.
    """

    def __init__(self) -> None:
        self.endpoint_load: dict[str, list[list[int]]] = {"waiting": [], "work_ms": []}
        self.zone_load: dict[str, list[list[int]]] = {"waiting": [], "work_ms": []}
        self.guards: dict[str, list[list[float]]] = {}

    def add_sample(self, fleet: EndpointFleet, gateways: Sequence[ModelGateway]) -> None:
        """Add one second's sample.

        Load is in whole requests and whole ms, limits are in requests, load shedding is a share.
        """
        values_by_kind = {
            "waiting": [float(endpoint.queued_count) for endpoint in fleet.endpoints],
            "work_ms": [pending_work_ms(endpoint) for endpoint in fleet.endpoints],
        }
        for kind, values in values_by_kind.items():
            zone_totals = [0.0] * fleet.zone_count
            for endpoint, value in zip(fleet.endpoints, values, strict=True):
                zone_totals[endpoint.zone] += value
            self.endpoint_load[kind].append([round(value) for value in values[:MAX_SAMPLED_ENDPOINTS]])
            self.zone_load[kind].append([round(value) for value in zone_totals])
        self._add_guard_sample(gateways)

    def _add_guard_sample(self, gateways: Sequence[ModelGateway]) -> None:
        """Sample the gateways that are up; add nothing if no gateway runs the Balancer."""
        if not any(isinstance(gateway.policy, Balancer) for gateway in gateways):
            return
        balancers = [g.policy for g in gateways if g.up and isinstance(g.policy, Balancer)]
        for kind, values in {
            "open": [float(p.breakers.open_count) for p in balancers],
            "half-open": [float(len(p.breakers.not_closed) - p.breakers.open_count) for p in balancers],
            "limit": [p.concurrency_limit.limit for p in balancers],
            "shed": [p.admission.shed_share for p in balancers],
        }.items():
            mean_and_max = [sum(values) / len(values), max(values)] if values else [0.0, 0.0]
            self.guards.setdefault(kind, []).append([round(value, 3) for value in mean_and_max])
