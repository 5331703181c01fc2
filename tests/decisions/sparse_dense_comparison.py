"""Random events for the balancer and its dense reference, whose actions must be equal."""

from __future__ import annotations

import random

from load_balancer.decisions.actions import Send, SetTimer
from load_balancer.decisions.balancer import Balancer
from load_balancer.decisions.circuit_breaker import (
    BREAKER_EXPIRY_US,
)
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from load_balancer.decisions.settings import (
    DeduplicationScope,
    Idempotency,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)
from tests.decisions.dense_balancer import DenseBalancer
from tests.decisions.driver import START_US


class BalancerComparison:
    """Drives both balancers with the same random events and asserts that their actions are equal."""

    def __init__(self, seed: int, classes: int = 3, tenants: int = 3) -> None:
        self.random = random.Random(seed)
        self.settings = self.draw_settings(classes, tenants)
        self.sparse, self.dense = Balancer(self.settings, seed), DenseBalancer(self.settings, seed)
        self.now_us, self.request_count = START_US, 0
        self.attempt_counts: dict[str, int] = {}  # Number of attempts by request id.
        # Endpoint and time of sending, by request id and attempt number.
        self.in_flight: dict[tuple[str, int], tuple[int, int]] = {}
        self.timers: list[tuple[int, int]] = []  # The due time and the token of each timer.
        self.actions: list[object] = []
        self.endpoint_count, self.tenants = self.random.choice((2, 6, 12)), max(1, tenants)
        self.handle(
            EndpointListReceived(
                ListKind.CACHED, tuple(self.draw_endpoint(n) for n in range(self.endpoint_count))
            )
        )

    def draw_settings(self, classes: int, tenants: int) -> Settings:
        rng = self.random
        return Settings(
            tuple(
                RequestClass(
                    latency_objective_us=rng.choice((100_000, 300_000)),
                    client_timeout_us=400_000,
                    priority_weight=rng.choice((1.0, 3.0, 8.0)),
                    late_weight_share=rng.choice((0.0, 0.2)),
                    idempotency=rng.choice(list(Idempotency)),
                    deduplication_scope=rng.choice(list(DeduplicationScope)),
                    deduplication_window_us=150_000,
                )
                for _ in range(classes)
            ),
            objective=ObjectiveWeights(0.7, 0.1, 0.1, 0.1),
            prices=Prices(cross_zone=0.01),
            zones=2,
            clients_mark_retries=rng.random() < 0.5,
            may_hedge=rng.random() < 0.3,
            weight_by_work=rng.random() < 0.5,
            slow_start_capacity=0.2,
            slow_start_us=10_000_000,
            overload_multiple=2.5,
            overload_window_us=3_000_000,
            tenants=tuple(Tenant(rng.choice((0.0, 5.0, 50.0))) for _ in range(tenants)),
            over_quota_weight_share=0.1,
        )

    def draw_endpoint(self, number: int, status: EndpointStatus = EndpointStatus.READY) -> Endpoint:
        started_us = self.random.choice((0, 0, self.now_us - 1_000_000, self.now_us))
        return Endpoint(number, status, zone=number % 2, group=number % 3, started_us=started_us)

    def handle(self, event: Event) -> None:
        actions = self.sparse.handle(self.now_us, event)
        assert actions == self.dense.handle(self.now_us, event), f"the balancers differ at {event}"
        for action in actions:
            self.actions.append(action)
            if isinstance(action, Send):
                attempt_number = self.attempt_counts.get(action.request_id, 0)
                self.attempt_counts[action.request_id] = attempt_number + 1
                self.in_flight[action.request_id, attempt_number] = (action.endpoint_id, self.now_us)
            elif isinstance(action, SetTimer):
                self.timers.append((action.due_us, action.token))

    def end_attempt(self, attempt: tuple[str, int], outcome: Outcome) -> None:
        endpoint, sent_us = self.in_flight.pop(attempt)
        load = self.random.choice(((), (("queue", 2.0), ("eps", 0.1), ("latency_ms", 8.0))))
        finished = outcome is Outcome.OK
        self.handle(AttemptEnded(*attempt, endpoint, outcome, self.now_us - sent_us, finished, load))

    def step(self, gap_us: float) -> None:
        """Advance the clock by a random time, fire due timers and give both balancers a random event."""
        rng = self.random
        self.now_us += int(rng.expovariate(1 / gap_us))
        if rng.random() < 0.002:
            self.now_us += BREAKER_EXPIRY_US * 2 // 3  # some breakers expire, others do not
        for timer in sorted(self.timers):
            if timer[0] <= self.now_us:
                self.timers.remove(timer)
                self.handle(TimerFired(timer[1]))
        event_choice = rng.random()
        if event_choice < 0.5:
            self.request_count += 1
            request_class, tenant = (
                rng.randrange(len(self.settings.classes)),
                rng.randrange(max(1, len(self.settings.tenants))),
            )
            timeout_us, key = rng.choice((50_000, 400_000)), rng.choice((None, 1, 2))
            request_id, is_retry = f"r{self.request_count}", rng.random() < 0.1
            self.handle(RequestArrived(request_id, request_class, timeout_us, key, 9_000, is_retry, tenant))
        elif event_choice < 0.96 and self.in_flight:
            attempt = rng.choice(list(self.in_flight))
            is_faulty = rng.random() < (0.8 if self.in_flight[attempt][0] % 3 == 0 else 0.05)
            self.end_attempt(attempt, rng.choice(list(Outcome)) if is_faulty else Outcome.OK)
        elif event_choice < 0.98:
            self.handle(ClientDisconnected(f"r{rng.randrange(self.request_count + 1)}"))
        elif event_choice < 0.995:
            statuses = [EndpointStatus.READY] * 3 + list(EndpointStatus)
            endpoint_ids = [rng.randrange(self.endpoint_count + 2) for _ in range(rng.choice((1, 2, 5)))]
            self.handle(
                EndpointListReceived(
                    ListKind.DELTA, tuple(self.draw_endpoint(n, rng.choice(statuses)) for n in endpoint_ids)
                )
            )
        else:
            remaining = [n for n in range(self.endpoint_count) if rng.random() < 0.9]
            self.handle(EndpointListReceived(ListKind.COMPLETE, tuple(map(self.draw_endpoint, remaining))))
