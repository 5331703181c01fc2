"""The network between zones: time one way, cuts, loss."""

from __future__ import annotations

from lab.model.scenario import Scenario
from lab.schedule import stream


class Network:
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
        self.cuts: list[frozenset[int]] = []  # sets of regions that hear nothing of the others
        self.loss = terms.loss

    def reaches(self, a: int, b: int) -> bool:
        """Whether what is sent in zone a comes to zone b."""
        one, other = self.region_of[a], self.region_of[b]
        return all((one in cut) == (other in cut) for cut in self.cuts)
