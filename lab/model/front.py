"""The front layer: it spreads clients over the gateways of their zone and learns late of a dead one."""

from __future__ import annotations

from collections.abc import Sequence

from lab.model.engine import Clock, to_us
from lab.model.gateway import ModelGateway
from lab.model.scenario import Scenario
from lab.schedule import stream


class FrontLayer:
    """Which gateways it believes to be up."""

    def __init__(self, clock: Clock, scenario: Scenario, gateways: Sequence[ModelGateway], seed: int) -> None:
        rng, span_s = stream(seed, "front layer"), scenario.network.front_s
        count = scenario.fleet.gateways
        self._clock = clock
        self._gateways = gateways
        self._zones = len(scenario.zones)
        self._detection_us = [to_us(rng.uniform(*span_s)) for _ in range(count)]
        self._believed_until_us = [0] * count
        self._down = 0
        self._by_zone: list[list[ModelGateway]] | None = None

    def note_down(self, gateway: ModelGateway) -> None:
        """A gateway has died; that is noticed after a time."""
        self._down += 1
        self._believed_until_us[gateway.index] = self._clock.now_us + self._detection_us[gateway.index]

    def note_up(self) -> None:
        """A gateway is back."""
        self._down -= 1

    def choose(self, zone: int, draw: float) -> ModelGateway | None:
        """The gateway for a client of a zone, up or not; None where all are known to be down.

        Args:
            zone: The client's.
            draw: At random from [0, 1).
        """
        if self._by_zone is None:
            self._by_zone = [[g for g in self._gateways if g.zone == n] for n in range(self._zones)]
        choices = self._by_zone[zone]
        if self._down:
            now_us = self._clock.now_us
            believed = [g for g in self._gateways if g.up or now_us < self._believed_until_us[g.index]]
            choices = [g for g in believed if g.zone == zone] or believed
        return choices[int(draw * len(choices))] if choices else None
