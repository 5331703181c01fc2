"""Settings for the decision tests, and a driver that feeds events to a balancer and keeps its timers."""

from __future__ import annotations

from dataclasses import replace

from load_balancer.decisions.actions import Action, Fail, Reject, Send, SetTimer
from load_balancer.decisions.admission import AdmissionControl
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.circuit_breaker import (
    MINIMUM_OUTCOMES,
    BreakerState,
    CircuitBreaker,
    breaker_key,
)
from load_balancer.decisions.concurrency_limit import ConcurrencyLimit
from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.endpoint_state import EndpointState
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    SettingsChanged,
)
from load_balancer.decisions.latency import OVERDUE_LATENCY_FACTOR, RequestClasses
from load_balancer.decisions.request_lifecycle import RequestLifecycle
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from load_balancer.decisions.settings_version import SettingsVersion, next_version

IDEMPOTENT = RequestClass(
    latency_objective_us=200_000,
    client_timeout_us=400_000,
    priority_weight=3.0,
    late_weight_share=0.2,
    idempotency=Idempotency.IDEMPOTENT,
)
WITH_IDEMPOTENCY_KEY = RequestClass(
    latency_objective_us=200_000,
    client_timeout_us=800_000,
    priority_weight=5.0,
    late_weight_share=0.2,
    idempotency=Idempotency.IDEMPOTENCY_KEY,
    deduplication_scope=DeduplicationScope.GROUP,
    deduplication_window_us=150_000,
)
NON_IDEMPOTENT = RequestClass(
    latency_objective_us=300_000,
    client_timeout_us=1_000_000,
    priority_weight=8.0,
    late_weight_share=0.2,
    idempotency=Idempotency.NON_IDEMPOTENT,
)
SETTINGS = Settings(classes=(IDEMPOTENT, WITH_IDEMPOTENCY_KEY, NON_IDEMPOTENT), may_hedge=True)
SLOW_START_SETTINGS = replace(
    SETTINGS,
    slow_start_capacity=0.2,
    slow_start_us=20_000_000,
    overload_multiple=3.0,
    overload_window_us=1_000_000,
    gateways=40,
)
START_US = 50_000_000


class Driver:
    """A balancer with a clock that the test sets.

    Attributes:
        request_count: Number of requests started; the next one's id is made from it.
        timers: All timers that the balancer has set.
    """

    def __init__(self, settings: Settings = SETTINGS, endpoints: int = 3, seed: int = 1) -> None:
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.request_count = 0
        self.timers: list[SetTimer] = []
        if endpoints:
            self.list_endpoints(*(Endpoint(n, group=n % 2) for n in range(endpoints)))

    @property
    def endpoints(self) -> dict[int, EndpointState]:
        return self.balancer.endpoints.by_id

    @property
    def classes(self) -> RequestClasses:
        return self.balancer.context.classes

    @property
    def limit(self) -> ConcurrencyLimit:
        return self.balancer.concurrency_limit

    @property
    def admission(self) -> AdmissionControl:
        return self.balancer.admission

    @property
    def lifecycle(self) -> RequestLifecycle:
        return self.balancer.lifecycle

    def handle(self, event: Event) -> list[Action]:
        """Give the balancer an event at the current time and return its actions."""
        actions = self.balancer.handle(self.now_us, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        return actions

    def change_settings(self, settings: Settings) -> SettingsVersion:
        """Apply new settings and return their version."""
        version = make_next_version(self.balancer.settings_version, settings)
        assert not self.handle(SettingsChanged(version))
        return version

    def subset(self, request_class: int = 0) -> list[EndpointState]:
        """Return the endpoints that a first attempt of a class may go to now."""
        context = self.balancer.context
        overdue_us = OVERDUE_LATENCY_FACTOR * context.classes.slowest.smoothed_us
        by_rank, key = self.balancer.endpoints.by_rank, breaker_key(request_class, 0)
        subset = self.balancer.dispatcher.subset
        return subset.select(by_rank, key, context.now_us, overdue_us, context.settings)

    def list_endpoints(self, *entries: Endpoint, kind: ListKind = ListKind.COMPLETE) -> list[Action]:
        """Deliver an endpoint list and return the balancer's actions."""
        return self.handle(EndpointListReceived(kind, entries))

    def start_request(
        self, request_class: int = 0, timeout_us: int = 400_000, **fields: int | bool
    ) -> tuple[str, list[Action]]:
        """Start a request and return its id with the balancer's actions."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        event = RequestArrived(request_id, request_class, timeout_us)
        return request_id, self.handle(replace(event, **fields))  # type: ignore[arg-type]

    def end_attempt(
        self,
        request_id: str,
        endpoint_id: int,
        outcome: Outcome = Outcome.OK,
        attempt: int = 0,
        latency_us: int = 20_000,
        load: tuple[tuple[str, float], ...] = (),
    ) -> list[Action]:
        """End an attempt and return the balancer's actions."""
        finished = outcome is Outcome.OK
        return self.handle(
            AttemptEnded(request_id, attempt, endpoint_id, outcome, latency_us, finished, load)
        )


def make_next_version(current: SettingsVersion, settings: Settings) -> SettingsVersion:
    """Return the version of the new settings, with all steps of the comparison run at once."""
    steps = next_version(current, settings)
    while True:
        try:
            next(steps)
        except StopIteration as completed:
            version = completed.value
            break
    assert isinstance(version, SettingsVersion)
    return version


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


def final_answers(actions: list[Action]) -> list[Reject | Fail]:
    """Return the balancer's own final answers among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def timers(actions: list[Action]) -> list[SetTimer]:
    return [action for action in actions if isinstance(action, SetTimer)]


def trip(breaker: CircuitBreaker, now_us: int) -> None:
    """Open a new breaker with the fewest failures that open one."""
    for _ in range(MINIMUM_OUTCOMES):
        breaker.record(now_us, True, 0, 0.0)
    assert breaker.state is BreakerState.OPEN
