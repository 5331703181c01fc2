"""A closed-loop simulation of clients, endpoints and list service around one balancer, in simulated time.

Later events depend on the balancer's actions. Events and actions are lines of the simulator's wire
vocabulary. All random draws come from one seeded generator, so that equal decisions give equal transcripts.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial

from tests.transcript_simulation.attempts import Attempts
from tests.transcript_simulation.clients import Clients
from tests.transcript_simulation.days import Day
from tests.transcript_simulation.faults import Faults
from tests.transcript_simulation.list_service import ListService
from tests.transcript_simulation.wire import (
    ACTION_PREFIX,
    LOG_PREFIX,
    SECOND_US,
    WireBalancer,
    format_line,
)
from tests.transcript_simulation.world import World

CLOCK_STEP_US = 20


class Simulation:
    """One day around one balancer, with the transcript as it grows."""

    def __init__(self, day: Day, start: Callable[[str], WireBalancer]) -> None:
        """Start a day.

        Args:
            day: The simulated day.
            start: Makes the balancer from the wire's launch line.
        """
        self._world = World(day)
        launch = f"launch prng={day.seed} bootInfo={json.dumps(self._world.settings)}"
        self._balancer = start(launch)
        self._lines = [launch]
        self._clients = Clients(self._world, self.handle)
        self._attempts = Attempts(self._world, self.handle)
        self._list_service = ListService(self._world, self.handle)
        self._faults = Faults(self._world, self.handle)

    def run(self) -> list[str]:
        """Run the whole day, until nothing is scheduled any more, and return the transcript's lines."""
        world, lists, faults = self._world, self._list_service, self._faults
        lists.send_list("disk" if not lists.is_subscribed else "snapshot")
        world.schedule(self._clients.next_gap_us(), self._clients.start_request)
        world.repeat_every(SECOND_US if world.day.has_few_faults else SECOND_US // 2, faults.change_mode)
        world.repeat_every(1_300_000, lists.change_fleet)
        world.repeat_every(3_100_000, faults.change_settings)
        world.repeat_every(2_700_000, faults.send_unusual_events)
        world.repeat_every(4 * SECOND_US, lists.refresh_list)
        if lists.load_dependent_weights:
            world.repeat_every(SECOND_US // 2, partial(lists.send_list, "diff"))
        if world.day.outage_at_us is not None:
            world.schedule(world.day.outage_at_us, faults.start_outage)
        world.run()
        return self._lines

    def handle(self, *event: str) -> None:
        """Give the balancer one event, write the transcript and apply the balancer's actions."""
        clock_steps_back = self._world.random.random() < 0.01
        now_us = self._world.now_us - (CLOCK_STEP_US if clock_steps_back else 0)
        actions = [
            line
            for line in self._balancer.handle_lines(now_us, list(event))
            if not line.startswith(LOG_PREFIX)
        ]
        self._lines += [format_line("begin_batch", simTimeUs=now_us), *event]
        self._lines += [ACTION_PREFIX + line for line in actions]
        for line in actions:
            self.apply_action(line)

    def apply_action(self, line: str) -> None:
        """Apply one action of the balancer."""
        name, _, rest = line.partition(" ")
        fields = dict(part.split("=") for part in rest.split())
        if name == "pass_on":
            self._attempts.send(
                self._world.requests[fields["requestId"]], int(fields["host"]), int(fields["maxWaitUs"])
            )
        elif name == "notify_me":
            late_us = self._world.random.choice((0, 0, 300))
            fire = partial(self.handle, format_line("reminder", keyBack=fields["keyBack"]))
            self._world.schedule(int(fields["dueAtUs"]) - self._world.now_us + late_us, fire)
        elif name == "retract":
            self._attempts.cancel(self._world.requests[fields["requestId"]], int(fields["shot"]))
        elif name in ("bounce", "surrender"):
            self._clients.on_final_answer(fields["requestId"], int(fields.get("comeBackUs", 0)))
        elif name == "track":
            self._list_service.subscribe()
