"""The rules that every decision must keep, asserted on each action of a balancer."""

from __future__ import annotations

from dataclasses import dataclass, field

from load_balancer.decisions.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    MAY_STILL_EXECUTE,
    NEVER_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    SettingsChanged,
    TimerFired,
)
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from tests.decisions.driver import SETTINGS, START_US, make_next_version

GROUP_BY_ENDPOINT = {n: n // 3 for n in range(6)}


@dataclass
class Attempt:
    """An attempt as its endpoint sees it; `outcome` is None while it is in flight."""

    endpoint: int
    sent_us: int
    timeout_us: int
    outcome: Outcome | None = None


@dataclass
class ClientRequest:
    """A request as its client sees it, with the settings that were in force when it arrived."""

    request_class: RequestClass
    settings: Settings
    deadline_us: int
    key: int | None = None
    attempts: list[Attempt] = field(default_factory=list)
    final_answers: list[Action] = field(default_factory=list)
    done: bool = False  # Whether it has its answer or its client has disconnected.


class RuleChecker:
    """Simulates clients, endpoints and timers for a balancer and asserts the rules on each of its actions."""

    def __init__(self, seed: int, settings: Settings = SETTINGS) -> None:
        self.settings = settings
        self.key_delayed_until_us: dict[int, int] = {}
        self.balancer = Balancer(settings, seed)
        self.now_us = START_US
        self.requests: dict[str, ClientRequest] = {}
        self.timers: list[tuple[int, int]] = []  # The due time and the token of each timer.
        self.status_by_endpoint = dict.fromkeys(GROUP_BY_ENDPOINT, EndpointStatus.READY)
        self.handle(
            EndpointListReceived(
                ListKind.COMPLETE, tuple(Endpoint(n, group=g) for n, g in GROUP_BY_ENDPOINT.items())
            )
        )

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now_us, event):
            self.apply(action)

    def apply(self, action: Action) -> None:
        if isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            request = self.requests[action.request_id]
            assert not request.done, "a second final answer"
            assert self.now_us <= request.deadline_us + 8_000
            request.done = True
            request.final_answers.append(action)
            if isinstance(action, Reject):
                self.check_reject(request)
        elif isinstance(action, SetTimer):
            self.timers.append((action.due_us, action.token))
        elif isinstance(action, Cancel):
            assert self.requests[action.request_id].settings.may_cancel
            assert action.attempt < len(self.requests[action.request_id].attempts)

    def never_executed_outcomes(self, request: ClientRequest) -> frozenset[Outcome]:
        return NEVER_EXECUTED - ({Outcome.REJECTED} if request.settings.rejected_may_have_run else set())

    def change_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.handle(SettingsChanged(make_next_version(self.balancer.settings_version, settings)))

    def check_send(self, action: Send) -> None:
        request = self.requests[action.request_id]
        assert not request.done, "sent after the final answer"
        assert self.status_by_endpoint[action.endpoint_id] is EndpointStatus.READY
        assert len(request.attempts) < request.settings.max_attempts
        assert self.now_us < self.now_us + action.timeout_us <= request.deadline_us
        request_class = request.request_class
        possibly_executed = [
            t for t in request.attempts if t.outcome not in self.never_executed_outcomes(request)
        ]
        if not request.settings.may_hedge:
            assert all(t.outcome is not None for t in request.attempts), "two attempts in flight at once"
        if request_class.ordered and request.key is not None:
            self.check_order(request, request.key)
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            assert not possibly_executed, "a non-idempotent request sent again"
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY and possibly_executed:
            assert all(
                GROUP_BY_ENDPOINT[t.endpoint] == GROUP_BY_ENDPOINT[action.endpoint_id]
                for t in possibly_executed
            )
            assert self.now_us - possibly_executed[0].sent_us < request_class.deduplication_window_us
        request.attempts.append(Attempt(action.endpoint_id, self.now_us, action.timeout_us))

    def check_order(self, request: ClientRequest, key: int) -> None:
        for earlier in self.requests.values():
            if earlier is request:
                break
            if earlier.request_class.ordered and earlier.key == key:
                assert earlier.done, "sent before an earlier request of its key was done"
                assert all(t.outcome is not None for t in earlier.attempts), "sent during an earlier attempt"
        if not request.attempts:
            assert self.now_us >= self.key_delayed_until_us.get(key, 0), "sent during the delay of its key"

    def check_reject(self, request: ClientRequest) -> None:
        possibly_executed = [
            t for t in request.attempts if t.outcome not in self.never_executed_outcomes(request)
        ]
        if possibly_executed:
            is_deduplicated = (
                request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and request.request_class.deduplication_scope is DeduplicationScope.ALL
            )
            assert request.request_class.idempotency is Idempotency.IDEMPOTENT or is_deduplicated

    def start_request(self, request_class: int, timeout_us: int) -> None:
        request_id = f"r{len(self.requests)}"
        key = (None, 1, 2, 1)[timeout_us % 4]
        class_settings = self.settings.classes[request_class]
        self.requests[request_id] = ClientRequest(
            class_settings, self.settings, self.now_us + timeout_us, key
        )
        self.handle(RequestArrived(request_id, request_class, timeout_us, key))

    def end_chosen_attempt(self, choice: int, outcome: Outcome) -> None:
        """End one of the attempts in flight, if there are any."""
        in_flight = [
            (n, i) for n, c in self.requests.items() for i, t in enumerate(c.attempts) if t.outcome is None
        ]
        if in_flight:
            self.end_attempt(*in_flight[choice % len(in_flight)], outcome)

    def end_attempt(self, request_id: str, attempt_number: int, outcome: Outcome) -> None:
        request = self.requests[request_id]
        attempt = request.attempts[attempt_number]
        attempt.outcome = outcome
        request.done = request.done or outcome is Outcome.OK
        if request.key is not None and request.request_class.ordered and outcome in MAY_STILL_EXECUTE:
            self.key_delayed_until_us[request.key] = self.now_us + request.settings.ordered_key_delay_us
        event = AttemptEnded(
            request_id,
            attempt_number,
            attempt.endpoint,
            outcome,
            self.now_us - attempt.sent_us,
            finished=request.done,
        )
        self.handle(event)

    def disconnect_chosen_client(self, choice: int) -> None:
        """Disconnect the client of one of the open requests, if there are any."""
        open_requests = [n for n, c in self.requests.items() if not c.done]
        if open_requests:
            request_id = open_requests[choice % len(open_requests)]
            self.requests[request_id].done = True
            self.handle(ClientDisconnected(request_id))

    def set_status(self, endpoint: int, status: EndpointStatus) -> None:
        self.status_by_endpoint[endpoint] = status
        started_us = self.now_us if self.settings.slow_start_us else 0
        entry = Endpoint(endpoint, status, group=GROUP_BY_ENDPOINT[endpoint], started_us=started_us)
        self.handle(EndpointListReceived(ListKind.DELTA, (entry,)))

    def advance(self, duration_us: int) -> None:
        """Advance the clock, stopping at each due timer and at each attempt's timeout on the way."""
        target_us = self.now_us + duration_us
        while True:
            due_times_us = [due_us for due_us, _ in self.timers] + [
                t.sent_us + t.timeout_us
                for c in self.requests.values()
                for t in c.attempts
                if t.outcome is None
            ]
            due_us = min(due_times_us, default=target_us + 1)
            if due_us > target_us:
                break
            self.now_us = max(self.now_us, due_us)
            for request_id, request in self.requests.items():
                for attempt_number, attempt in enumerate(request.attempts):
                    if attempt.outcome is None and attempt.sent_us + attempt.timeout_us <= self.now_us:
                        self.end_attempt(request_id, attempt_number, Outcome.TIMEOUT)
            fired = [token for timer_due_us, token in self.timers if timer_due_us <= self.now_us]
            self.timers = [
                (timer_due_us, token) for timer_due_us, token in self.timers if timer_due_us > self.now_us
            ]
            for token in fired:
                self.handle(TimerFired(token))
        self.now_us = target_us
