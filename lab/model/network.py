"""The network between zones: one-way delays, partitions and packet loss."""

from __future__ import annotations

from lab.model.endpoint import ModelEndpoint
from lab.model.scenario import Scenario
from lab.schedule import stream


class Network:
    """Delays between zones, drawn once for each pair, and the current faults.

    Attributes:
        region_of: Index of each zone's region, by the zone's index.
        one_way_us: One-way delay between two zones, by their indexes.
        partitions: Sets of regions that are cut off from all others.
        loss: Share of requests, and of answers, that are lost.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        rng, terms = stream(seed, "network"), scenario.network
        zone_count, region_of = len(scenario.zones), scenario.region_of
        self.region_of = region_of
        self.one_way_us = [[0] * zone_count for _ in range(zone_count)]
        for zone in range(zone_count):
            for other_zone in range(zone, zone_count):
                delay_range_ms = (
                    terms.between_zones_ms
                    if region_of[zone] == region_of[other_zone]
                    else terms.between_regions_ms
                )
                delay_range_ms = terms.within_zone_ms if zone == other_zone else delay_range_ms
                self.one_way_us[zone][other_zone] = self.one_way_us[other_zone][zone] = max(
                    1, round(rng.uniform(*delay_range_ms) * 1e3)
                )
        self.partitions: list[frozenset[int]] = []
        self.loss = terms.loss

    def reaches(self, source: int, target: int) -> bool:
        """Return whether packets pass between two zones."""
        source_region, target_region = self.region_of[source], self.region_of[target]
        return all(
            (source_region in partition) == (target_region in partition) for partition in self.partitions
        )

    def reaches_endpoint(self, zone: int, endpoint: ModelEndpoint) -> bool:
        """Return whether packets pass between a zone and an endpoint's machine, with or without a process."""
        return not endpoint.silent and self.reaches(zone, endpoint.zone)

    def delay_us(self, zone: int, endpoint: ModelEndpoint) -> int:
        """Return the one-way delay between a zone and an endpoint."""
        return self.one_way_us[zone][endpoint.zone]
