"""The policies that are compared: the real Balancer, and reference policies behind the same interface.

The reference policies watch the endpoint list, retry a request that may have been executed only if it is
idempotent, and reject a request when no endpoint is listed. They ignore slow start, so they may break rule 4;
the results then list the violations.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from load_balancer.decisions.actions import Action, Fail, Reject, Send, SetTimer, SubscribeEndpoints
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import EndpointStatus, ListKind
from load_balancer.decisions.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.decisions.settings import Idempotency, Settings

RESUBSCRIBE_DELAY_US = 500_000


class Policy(Protocol):
    """Makes the decisions of one gateway."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions to take after an event."""
        ...


CreatePolicy = Callable[[Settings, int], Policy]  # called with the gateway's settings and a seed


@dataclass(slots=True)
class OpenRequest:
    """A request without its final answer.

    Attributes:
        event: The request's arrival.
        deadline_us: Time by which the client expects the final answer.
        tried_endpoints: Ids of the endpoints that the request was sent to.
        may_have_run: Whether an endpoint may have executed the request.
    """

    event: RequestArrived
    deadline_us: int
    tried_endpoints: list[int] = field(default_factory=list)
    may_have_run: bool = False


class ReferencePolicy:
    """Chooses endpoints at random; subclasses override `choose_endpoint` only.

    Attributes:
        settings: The gateway's settings.
        random: Random generator, seeded per gateway process.
        ready_endpoints: Ids of the listed endpoints that are ready, in ascending order.
        in_flight: Number of attempts in flight, by endpoint id.
        open_requests: Requests without a final answer, by request id.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.ready_endpoints: list[int] = []
        self.in_flight: dict[int, int] = {}
        self.open_requests: dict[str, OpenRequest] = {}

    def choose_endpoint(self, endpoints: list[int]) -> int:
        """Return the endpoint that receives the next attempt.

        Args:
            endpoints: Ids of the endpoints that may receive it; there is at least one.
        """
        return self.random.choice(endpoints)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Return the actions to take after an event."""
        match event:
            case EndpointListReceived():
                return self.on_list(now_us, event)
            case TimerFired():
                return [SubscribeEndpoints()]
            case RequestArrived():
                self.open_requests[event.request_id] = OpenRequest(event, now_us + event.remaining_timeout_us)
                return self.send_attempt(now_us, event.request_id)
            case AttemptEnded():
                self.in_flight[event.endpoint_id] = self.in_flight.get(event.endpoint_id, 1) - 1
                return self.on_attempt_end(now_us, event)
            case ClientDisconnected():
                self.open_requests.pop(event.request_id, None)
        return []

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        """Apply an endpoint list, and subscribe to changes after the cached list."""
        if event.kind is ListKind.ERROR:
            return [] if self.settings.endpoints_are_pushed else [SetTimer(now_us + RESUBSCRIBE_DELAY_US, 0)]
        listed_ids = {entry.id for entry in event.endpoints}
        unchanged = (
            []
            if event.kind is not ListKind.DELTA
            else [n for n in self.ready_endpoints if n not in listed_ids]
        )
        ready = [entry.id for entry in event.endpoints if entry.status is EndpointStatus.READY]
        self.ready_endpoints = sorted({*unchanged, *ready})
        subscribes = event.kind is ListKind.CACHED and not self.settings.endpoints_are_pushed
        return [SubscribeEndpoints()] if subscribes else []

    def send_attempt(self, now_us: int, request_id: str) -> list[Action]:
        """Send a request to an endpoint not tried yet, or give its final answer if no attempt is possible."""
        open_request = self.open_requests[request_id]
        endpoints = [n for n in self.ready_endpoints if n not in open_request.tried_endpoints]
        remaining_us = open_request.deadline_us - now_us
        if (
            not endpoints
            or remaining_us <= 0
            or len(open_request.tried_endpoints) >= self.settings.max_attempts
        ):
            del self.open_requests[request_id]
            idempotent = self.idempotency(open_request) is Idempotency.IDEMPOTENT
            return [Reject(request_id) if idempotent or not open_request.may_have_run else Fail(request_id)]
        endpoint = self.choose_endpoint(endpoints)
        open_request.tried_endpoints.append(endpoint)
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        return [Send(request_id, endpoint, remaining_us)]

    def idempotency(self, request: OpenRequest) -> Idempotency:
        """Return the idempotency of the request's class."""
        return self.settings.classes[request.event.request_class].idempotency

    def on_attempt_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
        """Retry a request that was not executed or is idempotent; let any other fail."""
        open_request = self.open_requests.get(event.request_id)
        if open_request is None:
            return []
        if event.finished or event.outcome is Outcome.OK:
            del self.open_requests[event.request_id]
            return []
        open_request.may_have_run = open_request.may_have_run or event.outcome not in NEVER_EXECUTED
        if open_request.may_have_run and self.idempotency(open_request) is not Idempotency.IDEMPOTENT:
            del self.open_requests[event.request_id]
            return [Fail(event.request_id)]
        return self.send_attempt(now_us, event.request_id)


class RoundRobin(ReferencePolicy):
    """Chooses the endpoints in turn."""

    turn = 0

    def choose_endpoint(self, endpoints: list[int]) -> int:
        """Return the next endpoint in turn."""
        self.turn += 1
        return endpoints[self.turn % len(endpoints)]


class LeastOutstanding(ReferencePolicy):
    """Chooses the endpoint with the fewest attempts in flight, at random among equals."""

    def choose_endpoint(self, endpoints: list[int]) -> int:
        """Return an endpoint with the fewest attempts in flight."""
        fewest = min(self.in_flight.get(n, 0) for n in endpoints)
        return self.random.choice([n for n in endpoints if self.in_flight.get(n, 0) == fewest])


class TwoChoices(ReferencePolicy):
    """Draws two endpoints at random and chooses the one with fewer attempts in flight."""

    def choose_endpoint(self, endpoints: list[int]) -> int:
        """Return the less loaded of two random endpoints."""
        candidates = self.random.sample(endpoints, min(2, len(endpoints)))
        return min(candidates, key=lambda n: self.in_flight.get(n, 0))


POLICIES: dict[str, CreatePolicy] = {
    "rosedeal": Balancer,
    "random": ReferencePolicy,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
}
