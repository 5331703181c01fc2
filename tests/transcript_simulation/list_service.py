"""The list service of the simulated fleet, and the endpoints that start, drain and leave."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from tests.transcript_simulation.endpoint import Endpoint
from tests.transcript_simulation.wire import SECOND_US, EventHandler, format_line
from tests.transcript_simulation.world import World


class ListService:
    """Sends endpoint lists to the balancer.

    Attributes:
        is_subscribed: Whether changes are sent without a request.
        load_dependent_weights: Whether listed weights fall with an endpoint's queue.
    """

    def __init__(self, world: World, handle: EventHandler) -> None:
        self.is_subscribed = world.day.settings.get("membershipMode") != "on_request"
        self.load_dependent_weights = world.day.settings.get("weights") == "live"
        self._world = world
        self._handle = handle
        self._table_count = 0

    def send_list(
        self, how: str, endpoint_ids: Iterable[int] | None = None, gone: Iterable[Endpoint] = ()
    ) -> None:
        """Send a list of all endpoints, or of some, together with endpoints that have gone."""
        if how == "diff" and not self.is_subscribed:
            return
        listed = (
            self._world.endpoints.values()
            if endpoint_ids is None
            else [self._world.endpoints[n] for n in endpoint_ids]
        )
        hosts = [
            endpoint.list_line(self._world.now_us, self.load_dependent_weights)
            for endpoint in (*listed, *gone)
        ]
        self._table_count += 1
        inventory = format_line("inventory", table=self._table_count, members=len(hosts))
        self._handle(inventory, *hosts, format_line("registry", how=how, table=self._table_count))

    def subscribe(self) -> None:
        """Answer the balancer's request for the list; the call may fail."""
        if self._world.random.random() < 0.4:
            self._world.schedule(30_000, self.fail_list)
            return

        def answer() -> None:
            self.is_subscribed = True
            self.send_list("snapshot")

        self._world.schedule(25_000, answer)

    def fail_list(self) -> None:
        """Report a failed call or a lost subscription to the balancer."""
        self.is_subscribed = self._world.day.settings.get("membershipMode") != "on_request"
        self._handle(format_line("registry", how="error"))

    def refresh_list(self) -> None:
        """Send a complete list without a request, or let the subscription fail."""
        if self._world.random.random() < 0.5:
            self.fail_list()
        elif self.is_subscribed:
            self.send_list("snapshot")

    def change_fleet(self) -> None:
        """Start, drain, remove or restart an endpoint."""
        draw = self._world.random.random()
        endpoint_id = self._world.random.choice(sorted(self._world.endpoints))
        endpoint = self._world.endpoints[endpoint_id]
        if draw < 0.35 or len(self._world.endpoints) < 3:
            endpoint_id = self._world.random.choice([n for n in range(120) if n not in self._world.endpoints])
            self._world.endpoints[endpoint_id] = Endpoint(
                endpoint_id, self._world.now_us, (1.0, 2.0)[endpoint_id % 2]
            )
            self.send_list("diff", [endpoint_id])
        elif draw < 0.55:
            endpoint.status = "Terminating"
            self.send_list("diff", [endpoint_id])
            self._world.schedule(2 * SECOND_US, partial(self.remove, endpoint))
        elif draw < 0.75:
            self.remove(endpoint)
        elif draw < 0.9:  # it restarts under the same id
            self._world.endpoints[endpoint_id] = Endpoint(
                endpoint_id, self._world.now_us, endpoint.base_weight
            )
            self.send_list("diff", [endpoint_id])

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint, unless another has its id by now, with a list entry or by leaving it out."""
        if self._world.endpoints.get(endpoint.id) is endpoint and len(self._world.endpoints) > 2:
            del self._world.endpoints[endpoint.id]
            endpoint.status = "Gone"
            if self._world.random.random() < 0.7:
                self.send_list("diff", [], [endpoint])
            else:
                self.send_list("snapshot")
