"""Policies that break the rules, each in a different way, to test that the rules detect it."""

from __future__ import annotations

from lab.model.policies import OpenRequest, ReferencePolicy
from load_balancer.decisions.actions import Action, Reject, Send
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
)


class AnswersTwice(ReferencePolicy):
    """Gives each request two final answers."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Reject(event.request_id), Reject(event.request_id)]
        return super().handle(now_us, event)


class NeverAnswers(ReferencePolicy):
    """Gives no request a final answer."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        return [] if isinstance(event, RequestArrived) else super().handle(now_us, event)


class SendsAfterEnd(ReferencePolicy):
    """Sends each request after its final answer."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Reject(event.request_id), Send(event.request_id, self.ready_endpoints[0], 1_000)]
        return super().handle(now_us, event)


class ResendsUnsafe(ReferencePolicy):
    """Retries requests that are not idempotent though they may have been executed."""

    def on_attempt_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
        request = self.open_requests.get(event.request_id)
        if request is not None and event.outcome is Outcome.ERROR and self.is_unsafe(request):
            return self.send_attempt(now_us, event.request_id)
        return super().on_attempt_end(now_us, event)

    def is_unsafe(self, request: OpenRequest) -> bool:
        return request.event.request_class == 1


class RejectsAfterExecution(ResendsUnsafe):
    """Rejects requests that are not idempotent though they may have been executed."""

    def send_attempt(self, now_us: int, request_id: str) -> list[Action]:
        if self.open_requests[request_id].tried_endpoints and self.is_unsafe(self.open_requests[request_id]):
            del self.open_requests[request_id]
            return [Reject(request_id)]
        return super().send_attempt(now_us, request_id)


class SendsTwice(ReferencePolicy):
    """Sends two attempts of each request at the same time."""

    def send_attempt(self, now_us: int, request_id: str) -> list[Action]:
        return [action for action in super().send_attempt(now_us, request_id) for _ in range(2)]


class KeepsEveryEndpoint(ReferencePolicy):
    """Keeps sending to every endpoint that was ever listed."""

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        earlier = self.ready_endpoints
        actions = super().on_list(now_us, event)
        self.ready_endpoints = sorted({*earlier, *self.ready_endpoints})
        return actions


class NeverSubscribes(ReferencePolicy):
    """Never requests a list; after `max_poll_interval_s` it counts as notified of the changes anyway."""

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        super().on_list(now_us, event)
        return []


class FloodsNewestEndpoint(ReferencePolicy):
    """Sends all requests to the endpoint that started last."""

    newest = 0

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        actions = super().on_list(now_us, event)
        started = {entry.started_us: entry.id for entry in event.endpoints if entry.started_us}
        self.newest = started[max(started)] if started else self.newest
        return actions

    def choose_endpoint(self, endpoints: list[int]) -> int:
        return self.newest if self.newest in endpoints else super().choose_endpoint(endpoints)


class SendsToRestartedEndpoints(NeverSubscribes):
    """Sends all requests to one endpoint per gateway, and never learns that it has restarted."""

    def choose_endpoint(self, endpoints: list[int]) -> int:
        return endpoints[self.settings.gateway_index % len(endpoints)]


class RepeatsAnywhere(ResendsUnsafe):
    """Retries requests of every class after an error, whatever the endpoint and the time."""

    def is_unsafe(self, _request: OpenRequest) -> bool:
        return True
