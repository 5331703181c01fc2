"""The policies that are compared: the real Balancer, and reference policies behind the same interface.

The reference ones watch the list, never repeat what may have run unless it is idempotent, and refuse when
nothing is listed. They know nothing of cold endpoints, so that they may break rule 4: the result says so.
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

POLL_INTERVAL_US = 500_000


class Policy(Protocol):
    """What decides for a gateway."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """The actions that an event calls for."""
        ...


CreatePolicy = Callable[[Settings, int], Policy]  # from the gateway's settings and a seed


@dataclass(slots=True)
class OpenRequest:
    """A request without its final answer."""

    event: RequestArrived
    deadline_us: int
    tried: list[int] = field(default_factory=list)
    may_have_run: bool = False


class ReferencePolicy:
    """Random choice; the others differ in `choose` alone."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.listed: list[int] = []
        self.in_flight: dict[int, int] = {}  # attempts, by endpoint
        self.open: dict[str, OpenRequest] = {}

    def choose(self, endpoints: list[int]) -> int:
        """One of the endpoints that may take an attempt."""
        return self.random.choice(endpoints)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """The actions that an event calls for."""
        match event:
            case EndpointListReceived():
                return self.on_list(now_us, event)
            case TimerFired():
                return [SubscribeEndpoints()]
            case RequestArrived():
                self.open[event.request_id] = OpenRequest(event, now_us + event.remaining_timeout_us)
                return self.send(now_us, event.request_id)
            case AttemptEnded():
                self.in_flight[event.endpoint_id] = self.in_flight.get(event.endpoint_id, 1) - 1
                return self.on_end(now_us, event)
            case ClientDisconnected():
                self.open.pop(event.request_id, None)
        return []

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        """Take over a list, and subscribe after the cached one."""
        if event.kind is ListKind.ERROR:
            return [] if self.settings.endpoints_are_pushed else [SetTimer(now_us + POLL_INTERVAL_US, 0)]
        named = {entry.id for entry in event.endpoints}
        unchanged = [] if event.kind is not ListKind.DELTA else [n for n in self.listed if n not in named]
        ready = [entry.id for entry in event.endpoints if entry.status is EndpointStatus.READY]
        self.listed = sorted({*unchanged, *ready})
        asks = event.kind is ListKind.CACHED and not self.settings.endpoints_are_pushed
        return [SubscribeEndpoints()] if asks else []

    def send(self, now_us: int, request_id: str) -> list[Action]:
        """An attempt at an endpoint not tried yet, or the final answer."""
        open_request = self.open[request_id]
        endpoints = [n for n in self.listed if n not in open_request.tried]
        left_us = open_request.deadline_us - now_us
        if not endpoints or left_us <= 0 or len(open_request.tried) >= self.settings.max_attempts:
            del self.open[request_id]
            safe = self.idempotency(open_request) is Idempotency.IDEMPOTENT
            return [Reject(request_id) if safe or not open_request.may_have_run else Fail(request_id)]
        endpoint = self.choose(endpoints)
        open_request.tried.append(endpoint)
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        return [Send(request_id, endpoint, left_us)]

    def idempotency(self, request: OpenRequest) -> Idempotency:
        """Of the request's class."""
        return self.settings.classes[request.event.request_class].idempotency

    def on_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
        """Send again what cannot have run or is idempotent."""
        open_request = self.open.get(event.request_id)
        if open_request is None:
            return []
        if event.finished or event.outcome is Outcome.OK:
            del self.open[event.request_id]
            return []
        open_request.may_have_run = open_request.may_have_run or event.outcome not in NEVER_EXECUTED
        if open_request.may_have_run and self.idempotency(open_request) is not Idempotency.IDEMPOTENT:
            del self.open[event.request_id]
            return [Fail(event.request_id)]
        return self.send(now_us, event.request_id)


class RoundRobin(ReferencePolicy):
    """Each endpoint in its turn."""

    turn = 0

    def choose(self, endpoints: list[int]) -> int:
        """See the class."""
        self.turn += 1
        return endpoints[self.turn % len(endpoints)]


class LeastOutstanding(ReferencePolicy):
    """The endpoint with the fewest attempts in flight, at random among equals."""

    def choose(self, endpoints: list[int]) -> int:
        """See the class."""
        least = min(self.in_flight.get(n, 0) for n in endpoints)
        return self.random.choice([n for n in endpoints if self.in_flight.get(n, 0) == least])


class TwoChoices(ReferencePolicy):
    """Of two endpoints at random, the one with fewer attempts in flight."""

    def choose(self, endpoints: list[int]) -> int:
        """See the class."""
        two = self.random.sample(endpoints, min(2, len(endpoints)))
        return min(two, key=lambda n: self.in_flight.get(n, 0))


POLICIES: dict[str, CreatePolicy] = {
    "rosedeal": Balancer,
    "random": ReferencePolicy,
    "least-outstanding": LeastOutstanding,
    "two-choices": TwoChoices,
    "round-robin": RoundRobin,
}
