"""The subset of endpoints that this gateway uses, and those that are eligible for a request.

If hundreds of gateways used every endpoint, each would need a connection to every endpoint, make a handshake
for nearly every request, and see too few outcomes of any endpoint to detect its failures.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from load_balancer.decisions.circuit_breaker import ALL_REQUESTS
from load_balancer.decisions.endpoint import EndpointStatus
from load_balancer.decisions.endpoint_state import EndpointState
from load_balancer.decisions.request import Request
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, Settings
from load_balancer.decisions.slow_start import capacity_share

# Endpoints: few, so that this gateway sees many outcomes of each, but enough to tolerate failures.
MIN_SUBSET_SIZE = 3
SUBSET_SIZE_MEMORY = 0.98  # Share of the size above the minimum that is kept at each attempt.
MAX_RETRY_CANDIDATES = 64  # Most endpoints considered for the retry of a request with an idempotency key.


def is_unresponsive(endpoint: EndpointState, now_us: int, overdue_us: float) -> bool:
    """Return whether an attempt sent since the endpoint's last answer is overdue.

    An overdue attempt says nothing about the endpoint if later attempts have been answered.
    """
    if not endpoint.in_flight:
        return False
    last_answer_us = endpoint.last_answer_us
    for sent_us in endpoint.in_flight.values():
        if sent_us >= last_answer_us:
            return now_us - sent_us > overdue_us
    return False


def is_eligible(endpoint: EndpointState, key: int, now_us: int, overdue_us: float) -> bool:
    """Return whether an endpoint is ready, responsive and allowed by the breakers for a breaker key."""
    if endpoint.endpoint.status is not EndpointStatus.READY or is_unresponsive(endpoint, now_us, overdue_us):
        return False
    breaker = endpoint.breakers.get(ALL_REQUESTS)
    if breaker is not None and not breaker.allows_attempt(now_us):
        return False
    breaker = endpoint.breakers.get(key)
    return breaker is None or breaker.allows_attempt(now_us)


def deduplication_scope_number(scope: DeduplicationScope, endpoint: EndpointState) -> int:
    """Return the number of the deduplication scope that an endpoint belongs to."""
    if scope is DeduplicationScope.ALL:
        return 0
    return endpoint.endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.endpoint.group


class Subset:
    """Selects the endpoints that are eligible for a request.

    Attributes:
        size: Number of endpoints in the subset. It grows with the attempts in flight, so that a gateway with
            much traffic does not overload a few endpoints.
    """

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = float(MIN_SUBSET_SIZE)

    def resize(self, in_flight: int) -> None:
        """Grow the subset with the attempts in flight, and shrink it slowly when they end."""
        shrunk = MIN_SUBSET_SIZE + (self.size - MIN_SUBSET_SIZE) * SUBSET_SIZE_MEMORY
        self.size = max(MIN_SUBSET_SIZE + in_flight, shrunk)

    def select(
        self, by_rank: Sequence[EndpointState], key: int, now_us: int, overdue_us: float, settings: Settings
    ) -> list[EndpointState]:
        """Return the eligible endpoints with the lowest ranks, for a first attempt.

        An endpoint that is not eligible is replaced by the next in rank. An endpoint in slow start replaces
        none: otherwise many gateways that skip other endpoints could send requests to it together.

        Args:
            by_rank: All endpoints, the lowest rank first.
            key: The request's breaker key.
            now_us: The current time.
            overdue_us: Age at which an unanswered attempt makes its endpoint count as unresponsive.
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
        """Return the endpoints that a further attempt may be sent to.

        They exclude endpoints that were tried before and those where the request could take effect twice.

        Args:
            by_rank: All endpoints, the lowest rank first.
            request: The request, with at least one attempt.
            now_us: The current time.
            overdue_us: The same as for `select`.
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
        deduplicated_until_us = request.deduplicated_until_us
        if deduplicated_until_us is not None and now_us >= deduplicated_until_us:
            return []
        # The subset may contain no endpoint of the deduplication scope, so all endpoints are searched.
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
        """Return the first eligible endpoints in `ranked`, at most `MAX_RETRY_CANDIDATES`."""
        candidates: list[EndpointState] = []
        for index, endpoint in ranked:
            if len(candidates) >= MAX_RETRY_CANDIDATES:
                break
            eligible = is_eligible(endpoint, key, now_us, overdue_us)
            if eligible and (index < self.size or capacity_share(endpoint, now_us, settings) >= 1.0):
                candidates.append(endpoint)
        return candidates
