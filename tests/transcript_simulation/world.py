"""What the parts of the simulation share: time, chance, settings, endpoints and the transcript."""

from __future__ import annotations

import copy
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.transcript_simulation.days import (
    REQUEST_CLASSES,
    RESUMED_TRAFFIC_US,
    TENANTS,
    TRAFFIC_END_US,
    TRAFFIC_PAUSE_US,
    Day,
)
from tests.transcript_simulation.endpoint import Endpoint
from tests.transcript_simulation.wire import Json


@dataclass
class ClientRequest:
    """A client's try of a request.

    Attributes:
        deadline_us: When the client gives up, over all its tries.
        attempts: The endpoint of each attempt.
        last_end_numbers: For each attempt in flight, the number of the end that was scheduled last.
    """

    request_id: str
    request_class: Json
    tenant: int
    deadline_us: int
    key: int | None
    work_us: int
    done: bool = False
    attempts: list[int] = field(default_factory=list)
    last_end_numbers: dict[int, int] = field(default_factory=dict)


class World:
    """The simulated time and what all parts of the simulation read or change.

    Attributes:
        day: The simulated day.
        random: The source of all random draws.
        settings: The balancer's settings, as last sent.
        now_us: The simulated time.
        endpoints: The endpoints by id.
        requests: All tries of requests by id.
    """

    def __init__(self, day: Day) -> None:
        self.day = day
        self.random = random.Random(day.seed)
        self.settings = first_settings(day)
        self.now_us = 0
        self.endpoints = {n: Endpoint(n, 0, (1.0, 2.0)[n % 2]) for n in range(day.endpoints)}
        self.requests: dict[str, ClientRequest] = {}
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled_count = 0

    def run(self) -> None:
        """Run until nothing is scheduled any more."""
        while self._scheduled:
            self.now_us, _, action = heapq.heappop(self._scheduled)
            action()

    def schedule(self, delay_us: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._scheduled_count += 1
        heapq.heappush(self._scheduled, (self.now_us + max(0, int(delay_us)), self._scheduled_count, action))

    def repeat_every(self, period_us: int, action: Callable[[], None]) -> None:
        """Schedule an action periodically until the day's traffic has ended."""

        def repeat() -> None:
            action()
            if not self.traffic_has_ended():
                self.schedule(period_us, repeat)

        self.schedule(period_us, repeat)

    def traffic_has_ended(self) -> bool:
        """Return whether the day's traffic has ended."""
        return self.now_us > TRAFFIC_END_US + TRAFFIC_PAUSE_US + RESUMED_TRAFFIC_US


def first_settings(day: Day) -> Json:
    """Return the settings that the balancer is launched with."""
    lanes = [each for each in REQUEST_CLASSES if each["name"] in day.request_classes]
    tenants = {"tenants": TENANTS} if day.has_tenants else {}
    zones = ["north", "south", "west"]
    return copy.deepcopy({"lanes": lanes, "zones": zones, **day.settings, **tenants})
