"""The endpoints of a scenario, each with its machine type, speed, zone and rack."""

from __future__ import annotations

import numpy as np

from lab.model.endpoint import ModelEndpoint
from lab.model.engine import Clock
from lab.model.scenario import Scenario
from lab.schedule import stream
from load_balancer.decisions.endpoint import Endpoint


class EndpointFleet:
    """All endpoints of a run.

    Attributes:
        zone_count: Number of zones.
        ids: The id under which discovery lists each endpoint, by the endpoint's index.
        index_of: The index of each endpoint, by its id.
        endpoints: The endpoints by index.
    """

    def __init__(self, clock: Clock, scenario: Scenario, seed: int) -> None:
        rng = stream(seed, "servers")
        self.zone_count = len(scenario.zones)
        machines, count = scenario.fleet.machines, scenario.fleet.endpoints
        bounds = np.cumsum([m.share for m in machines])
        kinds = np.searchsorted(bounds, (np.arange(count) + 0.5) / count * bounds[-1]).tolist()
        kinds = rng.permutation(kinds).tolist()
        self.ids: list[int] = rng.choice(2**32, count, replace=False).tolist()
        self.index_of = {endpoint_id: index for index, endpoint_id in enumerate(self.ids)}
        mean_work_us = scenario.traffic.mean_work_us
        self.endpoints = [
            ModelEndpoint(
                clock,
                scenario.fleet,
                index,
                kind,
                rng.uniform(*machines[kind].speed),
                mean_work_us,
                zone=index % self.zone_count,
                rack=index % self.zone_count
                + self.zone_count * (index // self.zone_count // scenario.fleet.rack_size),
            )
            for index, kind in enumerate(kinds)
        ]

    def by_id(self, endpoint_id: int) -> ModelEndpoint:
        """Return the endpoint that discovery lists under an id."""
        return self.endpoints[self.index_of[endpoint_id]]

    def entries(self) -> list[Endpoint]:
        """Return the endpoint list while all endpoints are up."""
        return [
            Endpoint(endpoint_id, zone=endpoint.zone, group=endpoint.rack, kind=endpoint.kind)
            for endpoint_id, endpoint in zip(self.ids, self.endpoints, strict=True)
        ]
