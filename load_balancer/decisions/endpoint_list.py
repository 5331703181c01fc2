"""The listed endpoints, by id and in order of rank."""

from __future__ import annotations

from bisect import bisect_left, insort
from operator import attrgetter
from random import Random

from load_balancer.decisions.circuit_breaker import BreakerRegistry, BreakerState
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.endpoint_state import EndpointState, breakers_for
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.decisions.locality import zone_factor
from load_balancer.decisions.rendezvous import rendezvous_rank
from load_balancer.decisions.settings import Settings
from load_balancer.decisions.weight_controller import MIN_WEIGHT, WeightTotal


class EndpointList:
    """The endpoints that are currently listed.

    Attributes:
        by_id: The endpoints by id.
        by_rank: The same endpoints, the lowest rendezvous rank first.
    """

    __slots__ = ("_full_weights", "_random", "_registry", "_weight_total", "by_id", "by_rank")

    def __init__(self, random: Random, registry: BreakerRegistry) -> None:
        self._random = random
        self._registry = registry
        self._weight_total = WeightTotal()
        self._full_weights: dict[int, float] = {}  # Largest weight listed so far, by hardware kind.
        self.by_id: dict[int, EndpointState] = {}
        self.by_rank: list[EndpointState] = []

    @property
    def any_breaker_closed(self) -> bool:
        """Whether the breaker for all requests is closed at any endpoint."""
        return self._registry.not_closed_endpoint_count < len(self.by_id)

    @property
    def estimated_in_flight(self) -> float:
        """Requests in flight at all endpoints, estimated from how far their weights are below the full ones.

        Meaningful only if listed weights depend on the load.
        """
        return sum(
            self._full_weights[state.endpoint.kind] / max(MIN_WEIGHT, state.endpoint.weight) - 1.0
            for state in self.by_id.values()
        )

    def remaining_cooldown_us(self, key: int, now_us: int) -> int:
        """Return the shortest time until an endpoint's cooldowns are over, for a breaker key.

        It is 0 if no breaker is open at some endpoint.
        """
        if self._registry.open_count < len(self.by_id):
            return 0  # With fewer open breakers than endpoints, some endpoint has none.
        cooldowns = []
        for endpoint in self.by_id.values():
            cooldown_ends_us = [
                breaker.open_until_us
                for breaker in breakers_for(endpoint, key)
                if breaker and breaker.state is BreakerState.OPEN
            ]
            cooldowns.append(max(cooldown_ends_us, default=now_us) - now_us)
        return min(cooldowns, default=0)

    def apply(
        self, event: EndpointListReceived, now_us: int, max_initial_work_us: float, settings: Settings
    ) -> None:
        """Apply a complete list or a delta.

        Args:
            event: The list, of any kind except `ListKind.ERROR`.
            now_us: The current time.
            max_initial_work_us: Largest part of a new endpoint's slow-start budget that counts as used.
            settings: The settings in force.
        """
        removed: list[EndpointState] = []
        if event.kind is not ListKind.DELTA:
            listed_ids = {endpoint.id for endpoint in event.endpoints}
            removed = [self._remove(endpoint_id) for endpoint_id in self.by_id.keys() - listed_ids]
        added: list[EndpointState] = []
        for endpoint in event.endpoints:
            previous = self.by_id.get(endpoint.id)
            gone = endpoint.status is EndpointStatus.GONE
            restarted = previous is not None and previous.endpoint.started_us != endpoint.started_us
            if previous is not None and (gone or restarted):
                removed.append(self._remove(endpoint.id))
            elif previous is not None:
                previous.endpoint = endpoint
            if not gone and (previous is None or restarted):
                added.append(self.add(endpoint, now_us, max_initial_work_us, settings))
            full_weight = self._full_weights.get(endpoint.kind, MIN_WEIGHT)
            self._full_weights[endpoint.kind] = max(endpoint.weight, full_weight)
        self.update_ranks(removed, added)

    def add(
        self, endpoint: Endpoint, now_us: int, max_initial_work_us: float, settings: Settings
    ) -> EndpointState:
        """Add an endpoint that is new or has restarted, with the mean weight of the listed ones.

        All gateways are notified of its start at the same time. Each begins with a random part of its
        slow-start budget used, so that their first requests do not arrive together.
        """
        locality = zone_factor(endpoint.zone, settings)
        rank = rendezvous_rank(settings.gateway_index, endpoint.id, locality)
        mean_weight = self._weight_total.mean(len(self.by_id))
        state = EndpointState(endpoint, rank, mean_weight, self._weight_total, self._registry, now_us)
        state.slow_start_work_us = self._random.random() * max_initial_work_us
        self.by_id[endpoint.id] = state
        return state

    def update_ranks(self, removed: list[EndpointState], added: list[EndpointState]) -> None:
        """Update `by_rank`: insert and remove a few endpoints, or sort all of them after many changes."""
        if len(removed) + len(added) > len(self.by_id) / 8:
            self.by_rank = sorted(self.by_id.values(), key=attrgetter("rank"))
            return
        added_set = set(added)  # A list may contain an endpoint twice.
        for state in removed:
            if state not in added_set:
                index = bisect_left(self.by_rank, state.rank, key=attrgetter("rank"))
                del self.by_rank[self.by_rank.index(state, index)]
        for state in added:
            if self.by_id.get(state.endpoint.id) is state:
                insort(self.by_rank, state, key=attrgetter("rank"))

    def _remove(self, endpoint_id: int) -> EndpointState:
        state = self.by_id.pop(endpoint_id)
        state.detach()
        return state
