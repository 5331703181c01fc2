"""The ingress: spreads clients over the gateways of their zone, and detects a dead gateway with a delay."""

from __future__ import annotations

from collections.abc import Sequence

from lab.model.engine import Clock, to_us
from lab.model.gateway import ModelGateway
from lab.model.scenario import Scenario
from lab.schedule import stream


class Ingress:
    """Chooses a gateway for each request among those that it takes to be up."""

    def __init__(self, clock: Clock, scenario: Scenario, gateways: Sequence[ModelGateway], seed: int) -> None:
        rng, delay_range_s = stream(seed, "front layer"), scenario.network.gateway_failure_detection_s
        count = scenario.fleet.gateways
        self._clock = clock
        self._gateways = gateways
        self._zone_count = len(scenario.zones)
        self._detection_us = [to_us(rng.uniform(*delay_range_s)) for _ in range(count)]
        self._detected_down_us = [0] * count
        self._down_count = 0
        self._gateways_by_zone: list[list[ModelGateway]] | None = None

    def report_down(self, gateway: ModelGateway) -> None:
        """Report a gateway's end, which takes effect after the detection time."""
        self._down_count += 1
        self._detected_down_us[gateway.index] = self._clock.now_us + self._detection_us[gateway.index]

    def report_up(self) -> None:
        """Report that a gateway is up again."""
        self._down_count -= 1

    def choose(self, zone: int, draw: float) -> ModelGateway | None:
        """Return a gateway for a client, or None if all are known to be down.

        The gateway may be down without having been detected. While a gateway is down, other zones are used if
        the client's zone has no gateway that is taken to be up.

        Args:
            zone: Index of the client's zone.
            draw: Random number in [0, 1).
        """
        if self._gateways_by_zone is None:
            self._gateways_by_zone = [
                [g for g in self._gateways if g.zone == n] for n in range(self._zone_count)
            ]
        candidates = self._gateways_by_zone[zone]
        if self._down_count:
            now_us = self._clock.now_us
            believed_up = [g for g in self._gateways if g.up or now_us < self._detected_down_us[g.index]]
            candidates = [g for g in believed_up if g.zone == zone] or believed_up
        return candidates[int(draw * len(candidates))] if candidates else None
