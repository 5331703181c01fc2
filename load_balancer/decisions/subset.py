"""The subset of endpoints that this gateway uses, and those among them that may take a request now.

If hundreds of gateways used every endpoint, each would keep a connection everywhere, make a handshake for
nearly every request, and see too few outcomes of any endpoint to judge it by.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from load_balancer.decisions.circuit_breaker import ALL_REQUESTS
from load_balancer.decisions.endpoint import EndpointStatus
from load_balancer.decisions.endpoint_state import EndpointState
from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, Settings
from load_balancer.decisions.slow_start import capacity_share

MIN_SUBSET_SIZE = 3  # endpoints: few enough to see many outcomes each, enough to survive faults
SUBSET_SIZE_MEMORY = 0.98  # of the subset's extra size, left after each attempt
MAX_RETRY_CANDIDATES = 64  # endpoints that the retry of a request with an idempotency key chooses among


def is_unresponsive(endpoint: EndpointState, now_us: int, overdue_us: float) -> bool:
    """Return whether an attempt sent since the last answer is overdue, so that nothing more may be sent.

    An attempt that is overdue while later ones are answered says nothing about its endpoint.
    """
    if not endpoint.in_flight:
        return False
    last_answer_us = endpoint.last_answer_us
    for sent_us in endpoint.in_flight.values():
        if sent_us >= last_answer_us:
            return now_us - sent_us > overdue_us
    return False


def is_eligible(endpoint: EndpointState, key: int, now_us: int, overdue_us: float) -> bool:
    """Return whether an endpoint may take a request, by its status, its silence and its breakers."""
    if endpoint.endpoint.status is not EndpointStatus.READY or is_unresponsive(endpoint, now_us, overdue_us):
        return False
    breaker = endpoint.breakers.get(ALL_REQUESTS)
    if breaker is not None and not breaker.allows_attempt(now_us):
        return False
    breaker = endpoint.breakers.get(key)
    return breaker is None or breaker.allows_attempt(now_us)


def deduplication_scope_number(scope: DeduplicationScope, endpoint: EndpointState) -> int:
    """Return the number of the deduplication scope that an endpoint is in."""
    if scope is DeduplicationScope.ALL:
        return 0
    return endpoint.endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.endpoint.group


class Subset:
    """Chooses the endpoints that may take a request.

    Attributes:
        size: Endpoints in the subset. A gateway with more in flight uses more endpoints, so that one with
            much traffic does not overload its few.
    """

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = float(MIN_SUBSET_SIZE)

    def resize(self, in_flight: int) -> None:
        """Grow with the attempts in flight, and shrink slowly as they end."""
        shrunk = MIN_SUBSET_SIZE + (self.size - MIN_SUBSET_SIZE) * SUBSET_SIZE_MEMORY
        self.size = max(MIN_SUBSET_SIZE + in_flight, shrunk)

    def select(
        self, by_rank: Sequence[EndpointState], key: int, now_us: int, overdue_us: float, settings: Settings
    ) -> list[EndpointState]:
        """Return the subset for a first attempt: the first endpoints in rank that are eligible.

        An endpoint that is not eligible is replaced by the next in rank. One in slow start replaces none, so
        that gateways which pass over others never meet there.

        Args:
            by_rank: All endpoints, the lowest rank first.
            key: The request's breaker key.
            now_us: The time.
            overdue_us: Age at which an attempt without an answer makes its endpoint silent.
            settings: The settings in force.
        """
        size = self.size
        selected: list[EndpointState] = []
        for index, endpoint in enumerate(by_rank):
            if len(selected) >= size:
                break
            if is_eligible(endpoint, key, now_us, overdue_us) and (
                index < size or capacity_share(endpoint, now_us, settings) >= 1.0
            ):
                selected.append(endpoint)
        return selected

    def select_for_retry(
        self,
        by_rank: Sequence[EndpointState],
        request: Request,
        now_us: int,
        overdue_us: float,
        settings: Settings,
    ) -> list[EndpointState]:
        """Return the endpoints that a further attempt may go to: none twice, none that repeats the effect.

        Args:
            by_rank: All endpoints, the lowest rank first.
            request: The request, with one attempt or more.
            now_us: The time.
            overdue_us: As for `select`.
            settings: The settings in force.
        """
        tried = [attempt.endpoint for attempt in request.attempts]
        definition = request.request_class.definition
        possibly_executed = [attempt for attempt in request.attempts if attempt.may_have_run]
        selected = self.select(by_rank, request.breaker_key, now_us, overdue_us, settings)
        if not possibly_executed or definition.idempotency is Idempotency.IDEMPOTENT:
            return [endpoint for endpoint in selected if endpoint not in tried]
        if definition.idempotency is Idempotency.NON_IDEMPOTENT:
            return []
        if now_us - possibly_executed[0].sent_us >= definition.deduplication_window_us:
            return []
        # The subset may hold no endpoint of the scope in which it may have run, so all are searched.
        scopes = {
            deduplication_scope_number(definition.deduplication_scope, attempt.endpoint)
            for attempt in possibly_executed
        }
        in_scope = (
            (index, endpoint)
            for index, endpoint in enumerate(by_rank)
            if endpoint not in tried
            and scopes == {deduplication_scope_number(definition.deduplication_scope, endpoint)}
        )
        return self._first_eligible(in_scope, request.breaker_key, now_us, overdue_us, settings)

    def _first_eligible(
        self,
        ranked: Iterable[tuple[int, EndpointState]],
        key: int,
        now_us: int,
        overdue_us: float,
        settings: Settings,
    ) -> list[EndpointState]:
        """Return the first eligible endpoints of those given, at most `MAX_RETRY_CANDIDATES`."""
        candidates: list[EndpointState] = []
        for index, endpoint in ranked:
            if len(candidates) >= MAX_RETRY_CANDIDATES:
                break
            eligible = is_eligible(endpoint, key, now_us, overdue_us)
            if eligible and (index < self.size or capacity_share(endpoint, now_us, settings) >= 1.0):
                candidates.append(endpoint)
        return candidates
