"""Scripted decisions in place of the balancer's, and time-outs of attempts on demand."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.decisions.actions import Action, Cancel, Send
from load_balancer.decisions.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from load_balancer.gateway.discovery_messages import endpoint_id_of
from load_balancer.gateway.request_tracker import PendingRequest
from tests.gateway.running_gateway import RunningGateway


def replace_decisions(gateway: RunningGateway, decide: Callable[[Event], list[Action]]) -> None:
    """Let a function decide in place of the balancer; events are still recorded."""

    def handle(now_us: int, event: Event) -> list[Action]:
        del now_us
        gateway.events.append(event)
        gateway.event_recorded.set()
        return decide(event)

    gateway.proxy.balancer.handle = handle  # type: ignore[method-assign]


def script_decisions(gateway: RunningGateway, first_endpoints: list[str], later_endpoint: str) -> None:
    """Send each new request to the next of the first endpoints, and to the later one after a failed attempt.

    The first attempt is cancelled when the client disconnects.
    """
    remaining_endpoints = iter(first_endpoints)

    def decide(event: Event) -> list[Action]:
        request_id = getattr(event, "request_id", "")
        if isinstance(event, RequestArrived):
            return [Send(request_id, endpoint_id_of(next(remaining_endpoints)), 20_000_000)]
        if isinstance(event, AttemptEnded) and not event.finished and event.outcome is not Outcome.OK:
            return [Send(request_id, endpoint_id_of(later_endpoint), 20_000_000)]
        if isinstance(event, ClientDisconnected):
            return [Cancel(request_id, 0)]
        return []

    replace_decisions(gateway, decide)


def time_out(request: PendingRequest) -> None:
    """End the latest attempt of a request with a time-out now."""
    (attempt,) = request.attempts[-1:]
    assert attempt is not None
    attempt.abandon(Outcome.TIMEOUT)
