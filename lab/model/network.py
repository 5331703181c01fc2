"""The network between zones: one-way delay, partitions, packet loss."""

from __future__ import annotations

from lab.model.endpoint import ModelEndpoint
from lab.model.scenario import Scenario
from lab.schedule import stream


class Network:
    """Delays drawn once for each pair of zones, and the faults of the moment."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        rng, terms = stream(seed, "network"), scenario.network
        zones, region_of = len(scenario.zones), scenario.region_of
        self.region_of = region_of
        self.one_way_us = [[0] * zones for _ in range(zones)]
        for a in range(zones):
            for b in range(a, zones):
                span = terms.zones_ms if region_of[a] == region_of[b] else terms.regions_ms
                span = terms.within_ms if a == b else span
                self.one_way_us[a][b] = self.one_way_us[b][a] = max(1, round(rng.uniform(*span) * 1e3))
        self.partitions: list[frozenset[int]] = []  # sets of regions cut off from all others
        self.loss = terms.loss

    def reaches(self, source: int, target: int) -> bool:
        """Whether packets pass between two zones."""
        one, other = self.region_of[source], self.region_of[target]
        return all((one in cut) == (other in cut) for cut in self.partitions)

    def reaches_endpoint(self, zone: int, endpoint: ModelEndpoint) -> bool:
        """Whether packets pass between a zone and an endpoint's machine, whatever state its process is in."""
        return not endpoint.silent and self.reaches(zone, endpoint.zone)

    def delay_us(self, zone: int, endpoint: ModelEndpoint) -> int:
        """One way between a zone and an endpoint."""
        return self.one_way_us[zone][endpoint.zone]
