"""Faults of a scenario, scheduled before the run."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import assert_never

import numpy as np

from lab.model.engine import START_US, Clock, to_us
from lab.model.fleet import EndpointFleet
from lab.model.gateway import ModelGateway
from lab.model.lifecycle import EndpointLifecycle, GatewayLifecycle
from lab.model.network import Network
from lab.model.registry import Registry
from lab.model.scenario import (
    AnyFault,
    Burst,
    DiscoveryOutage,
    GatewayRestarts,
    PacketLoss,
    Partition,
    RollingRelease,
    Scenario,
    SilentEndpoints,
    SlowEndpoints,
    TenantBurst,
    ZoneLoss,
)


class FaultScheduler:
    """Schedules the beginning and the end of faults."""

    def __init__(
        self,
        clock: Clock,
        scenario: Scenario,
        network: Network,
        registry: Registry,
        fleet: EndpointFleet,
        gateways: Sequence[ModelGateway],
        endpoint_lifecycle: EndpointLifecycle,
        gateway_lifecycle: GatewayLifecycle,
    ) -> None:
        self._clock = clock
        self._scenario = scenario
        self._network = network
        self._registry = registry
        self._endpoints = fleet.endpoints
        self._gateways = gateways
        self._endpoint_lifecycle = endpoint_lifecycle
        self._gateway_lifecycle = gateway_lifecycle

    def schedule(self, fault: AnyFault, rng: np.random.Generator) -> None:
        """Schedule a fault.

        Args:
            fault: The fault.
            rng: Chooses the endpoints or gateways that it affects.
        """
        match fault:
            case SlowEndpoints():
                self._slow_down(fault, rng)
            case SilentEndpoints():
                self._silence(fault, rng)
            case ZoneLoss():
                self._lose_zone(fault)
            case RollingRelease():
                self._release(fault, rng)
            case GatewayRestarts():
                self._restart_gateways(fault, rng)
            case Partition() | PacketLoss() | DiscoveryOutage():
                self._break_network(fault)
            case Burst() | TenantBurst():
                pass  # part of the workload
            case _:
                assert_never(fault)

    def _slow_down(self, fault: SlowEndpoints, rng: np.random.Generator) -> None:
        begin_us, end_us = fault_span(fault)
        for index in choose_share(rng, len(self._endpoints), fault.affected_share):
            self._clock.call_at(begin_us, setattr, self._endpoints[index], "slowdown", fault.slowdown)
            self._clock.call_at(end_us, setattr, self._endpoints[index], "slowdown", 1.0)

    def _silence(self, fault: SilentEndpoints, rng: np.random.Generator) -> None:
        begin_us, end_us = fault_span(fault)
        for index in choose_share(rng, len(self._endpoints), fault.affected_share):
            self._clock.call_at(begin_us, setattr, self._endpoints[index], "silent", True)
            self._clock.call_at(end_us, setattr, self._endpoints[index], "silent", False)

    def _lose_zone(self, fault: ZoneLoss) -> None:
        begin_us, end_us = fault_span(fault)
        zone = self._scenario.zones.index(fault.zone)
        for endpoint in self._endpoints:
            if (endpoint.rack if fault.rack_only else endpoint.zone) == zone:
                self._clock.call_at(begin_us, self._endpoint_lifecycle.stop, endpoint, False)
                self._clock.call_at(end_us, self._endpoint_lifecycle.start, endpoint)
        for gateway in self._gateways:
            if gateway.zone == zone and not fault.rack_only:
                self._clock.call_at(begin_us, self._gateway_lifecycle.kill, gateway)
                self._clock.call_at(end_us, self._gateway_lifecycle.start, gateway)

    def _break_network(self, fault: Partition | PacketLoss | DiscoveryOutage) -> None:
        begin_us, end_us = fault_span(fault)
        match fault:
            case Partition():
                regions = list(self._scenario.fleet.regions)
                isolated = frozenset(regions.index(name) for name in fault.regions)
                self._clock.call_at(begin_us, self._begin_partition, isolated)
                self._clock.call_at(end_us, self._end_partition, isolated)
            case PacketLoss():
                normal_loss = self._scenario.network.loss
                self._clock.call_at(begin_us, setattr, self._network, "loss", fault.share)
                self._clock.call_at(end_us, setattr, self._network, "loss", normal_loss)
            case DiscoveryOutage():
                self._clock.call_at(begin_us, self._registry.stop)
                self._clock.call_at(end_us, self._registry.start)

    def _release(self, fault: RollingRelease, rng: np.random.Generator) -> None:
        for index, wave_us in choose_waves(fault, rng, len(self._endpoints)):
            endpoint = self._endpoints[index]
            stop_us = wave_us + to_us(fault.drain_s)
            self._clock.call_at(wave_us, self._endpoint_lifecycle.drain, endpoint)
            self._clock.call_at(stop_us, self._endpoint_lifecycle.stop, endpoint, True)
            self._clock.call_at(stop_us + to_us(fault.down_s), self._endpoint_lifecycle.start, endpoint)

    def _restart_gateways(self, fault: GatewayRestarts, rng: np.random.Generator) -> None:
        for index, wave_us in choose_waves(fault, rng, len(self._gateways)):
            gateway = self._gateways[index]
            self._clock.call_at(wave_us, self._gateway_lifecycle.kill, gateway)
            self._clock.call_at(wave_us + to_us(fault.down_s), self._gateway_lifecycle.start, gateway)

    def _begin_partition(self, regions: frozenset[int]) -> None:
        self._network.partitions.append(regions)
        self._registry.break_watches()

    def _end_partition(self, regions: frozenset[int]) -> None:
        self._network.partitions.remove(regions)
        self._registry.resume_watches()


def fault_span(fault: AnyFault) -> tuple[int, int]:
    """Return the times at which a fault begins and ends."""
    begin_us = START_US + to_us(fault.start_s)
    return begin_us, begin_us + to_us(fault.duration_s)


def choose_share(rng: np.random.Generator, count: int, share: float) -> list[int]:
    """Return a share of the indexes below `count` in random order, at least one unless the share is 0."""
    chosen = max(1, round(share * count)) if share else 0
    return [int(n) for n in rng.permutation(range(count))[:chosen]]


def choose_waves(
    fault: RollingRelease | GatewayRestarts, rng: np.random.Generator, count: int
) -> Iterator[tuple[int, int]]:
    """Yield the indexes that a fault affects, each with the time of its wave."""
    begin_us, _ = fault_span(fault)
    indexes = choose_share(rng, count, fault.affected_share)
    for position, index in enumerate(indexes):
        wave = position * fault.waves // len(indexes)
        yield index, begin_us + to_us(fault.duration_s * wave / fault.waves)
