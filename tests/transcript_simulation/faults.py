"""Faults of endpoints, changes by the operator, and events that must have no effect."""

from __future__ import annotations

import json
from functools import partial

from tests.transcript_simulation.endpoint import MODE_WEIGHTS, MODES, Endpoint
from tests.transcript_simulation.settings_changes import changed_settings
from tests.transcript_simulation.wire import SECOND_US, EventHandler, format_line
from tests.transcript_simulation.world import World


class Faults:
    """Changes endpoints and settings, and sends unusual events."""

    def __init__(self, world: World, handle: EventHandler) -> None:
        self._world = world
        self._handle = handle

    def change_mode(self) -> None:
        """Change the mode of one endpoint, or sometimes of all endpoints, for a few seconds."""
        endpoints = list(self._world.endpoints.values())
        mode = self._world.random.choices(MODES, MODE_WEIGHTS)[0]
        affects_all = self._world.random.random() < 0.06
        for endpoint in endpoints if affects_all else self._world.random.choices(endpoints, k=1):
            self.set_mode(endpoint, mode, self._world.random.randrange(SECOND_US, 5 * SECOND_US))

    def start_outage(self) -> None:
        """Let all endpoints refuse connections for four seconds."""
        for endpoint in self._world.endpoints.values():
            self.set_mode(endpoint, "refusing_connections", 4 * SECOND_US)

    def set_mode(self, endpoint: Endpoint, mode: str, duration_us: int) -> None:
        """Change the mode of an endpoint for some time."""
        endpoint.mode = mode
        endpoint.failing_class = self._world.random.choice(self._world.settings["lanes"])["name"]
        self._world.schedule(duration_us, partial(setattr, endpoint, "mode", "healthy"))

    def change_settings(self) -> None:
        """Make one random change to the settings."""
        self._world.settings = changed_settings(self._world.settings, self._world.random)
        self._handle(f"settings {json.dumps(self._world.settings)}")

    def send_unusual_events(self) -> None:
        """Send a probe result, another gateway's message and events with unknown or duplicate ids."""
        endpoint_id = self._world.random.choice(sorted(self._world.endpoints))
        verdict = self._world.random.choice(("200", "408", "521"))
        self._handle(
            format_line("pong", host=endpoint_id, verdict=verdict, durationUs=900, pressure="queue:2")
        )
        self._handle(format_line("inbox", src=1, bytes="aGVsbG8="))
        self._handle(format_line("reminder", keyBack=10**9))
        self._handle(format_line("streaming", requestId="nobody", shot=0))
        self._handle(format_line("dropped", requestId="nobody"))
        self._handle(format_line("outcome", requestId="nobody", shot=0, host=endpoint_id, verdict="200"))
        self._handle(format_line("incoming", requestId="odd", priority=99, graceUs=100_000))
        if self._world.requests:
            last = next(reversed(self._world.requests))
            self._handle(format_line("incoming", requestId=last, priority=0, graceUs=100_000))
