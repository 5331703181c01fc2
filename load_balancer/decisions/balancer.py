"""Dispatches each event to the modules that decide, and returns their actions. Read this module first.

`Balancer` owns one object for each kind of decision. Each of them changes only its own state, apart from the
shared records below. A request passes through them in this order:

1. `request_intake` creates the record of an arriving request; `quotas` decides whether it is over quota.
2. `admission` sheds load, the lowest priority first, when more is in flight than `concurrency_limit` allows.
3. `request_lifecycle` leads the request to its one final answer. `ordered_keys` runs requests of ordered
   classes that share a key one after the other; `retries` decides which requests are retried.
4. `dispatcher` sends an attempt. `subset` selects the eligible endpoints by their rank in `endpoint_list`,
   their status, their `circuit_breaker` and whether they respond; `slow_start` bounds the work sent to an
   endpoint that has just started.
5. `picker` draws one of them at random. Weights depend on the endpoint list, `load_reports`, `locality` and
   the feedback of `weight_controller`.
6. `outliers` records the outcome of the attempt in the breakers, the weight, `latency` and the limit.

Several modules change these records:

- `Request`: `request_lifecycle`, `ordered_keys` (the queue of its key) and `dispatcher`.
- `Attempt`: `dispatcher` and `retries` (whether it is overdue).
- `EndpointState`: `endpoint_list` (the listed fields), `dispatcher` (attempts in flight, time of the last
  answer), `slow_start` (work sent), `load_reports` (reported values) and `outliers` (weight, last outcomes).
- `ClassState`: its own methods and `client_timeouts` (votes).

docs/design.md compares this with a plain count-based circuit breaker.
"""

from __future__ import annotations

import random

from load_balancer.decisions.actions import Action, Fail, UnservedReason
from load_balancer.decisions.admission import AdmissionControl
from load_balancer.decisions.circuit_breaker import BreakerRegistry
from load_balancer.decisions.concurrency_limit import ConcurrencyLimit
from load_balancer.decisions.context import Context
from load_balancer.decisions.demand import ArrivalInterval, Demand
from load_balancer.decisions.dispatcher import Dispatcher
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.endpoint_list import EndpointList
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    EndpointListSkipped,
    Event,
    Outcome,
    RequestArrived,
    SettingsChanged,
    StreamStarted,
    TimerFired,
)
from load_balancer.decisions.list_polling import ListPolling
from load_balancer.decisions.load_reports import LoadReports
from load_balancer.decisions.outliers import OutcomeRecorder
from load_balancer.decisions.picker import Picker
from load_balancer.decisions.quotas import Quotas
from load_balancer.decisions.rate_limited_log import RateLimitedLog
from load_balancer.decisions.request import Request
from load_balancer.decisions.request_intake import RequestIntake
from load_balancer.decisions.request_lifecycle import RequestLifecycle
from load_balancer.decisions.retries import RetryBudget
from load_balancer.decisions.settings import Settings
from load_balancer.decisions.settings_version import SettingsVersion, initial_version
from load_balancer.decisions.timers import Timers


class Balancer:
    """The load balancer of one gateway.

    The caller passes events to `handle` in order and carries out the actions that it returns.

    Attributes:
        context: The time, the settings in force and the state of their classes.
        random: The source of all random draws.
        timers: Timers that have not fired.
        log: Appends log events to the actions at a limited rate.
        breakers: Totals over all circuit breakers.
        endpoints: The listed endpoints.
        polling: Decides when to subscribe to the endpoint list again.
        arrivals: The mean time between arriving requests.
        demand: Counts of recent requests by class, and of those served in time.
        quotas: Remaining quota of each tenant.
        concurrency_limit: The limit on attempts in flight.
        admission: Decides which requests are shed.
        load_reports: Applies the endpoints' load reports.
        dispatcher: Sends attempts.
        retry_budget: Tokens for retries.
        intake: Creates the records of requests.
        lifecycle: Tracks requests until their final answer.
        outcomes: Records the outcomes of attempts.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = Context(initial_version(settings))
        self.random = random.Random(seed)
        self._actions: list[Action] = []
        self.timers = Timers(self._actions)
        self.log = RateLimitedLog(self._actions)
        self.breakers = BreakerRegistry()
        self.endpoints = EndpointList(self.random, self.breakers)
        self.polling = ListPolling(self._actions, self.timers, self.random, self.context)
        self.arrivals = ArrivalInterval()
        self.demand = Demand()
        self.quotas = Quotas()
        self.concurrency_limit = ConcurrencyLimit()
        self.admission = AdmissionControl(self.random, self.context, self.demand, self.concurrency_limit)
        self.load_reports = LoadReports()
        picker = Picker(self.random, self.context, self.arrivals, self.load_reports)
        self.dispatcher = Dispatcher(
            self._actions, self.context, self.endpoints, self.concurrency_limit, picker
        )
        self.retry_budget = RetryBudget()
        self.intake = RequestIntake(self.quotas, self.demand, self.retry_budget)
        self.lifecycle = RequestLifecycle(
            self._actions,
            self.timers,
            self.context,
            self.endpoints,
            self.admission,
            self.dispatcher,
            self.retry_budget,
        )
        self.outcomes = OutcomeRecorder(self.breakers, self.concurrency_limit, self.demand, self.log)

    @property
    def settings_version(self) -> SettingsVersion:
        """The settings in force, with ids for classes and tenants."""
        return self.context.settings_version

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event.

        Args:
            now_us: The time in microseconds. If it is earlier than that of the previous event, the latter is
                used instead.
            event: The event to handle.

        Returns:
            The actions to carry out, in order.
        """
        now_us = self.context.now_us = max(now_us, self.context.now_us)
        self._actions.clear()
        self.breakers.expire(now_us)
        if isinstance(event, AttemptEnded):
            self._on_attempt_ended(event)
        elif isinstance(event, RequestArrived):
            self._on_request(event)
        elif isinstance(event, TimerFired):
            self.timers.fire(event.token)
        else:
            self._on_other_event(event)
        self.lifecycle.advance_released_queues()
        return self._actions.copy()

    def _on_other_event(self, event: Event) -> None:
        if isinstance(event, ClientDisconnected):
            self._on_client_disconnected(event)
        elif isinstance(event, EndpointListReceived):
            self._on_endpoint_list(event)
        elif isinstance(event, EndpointListSkipped):
            self.polling.note_skipped()
        elif isinstance(event, StreamStarted):
            self._on_stream_started(event)
        elif isinstance(event, SettingsChanged):
            self._on_settings_changed(event.version)

    def _on_request(self, event: RequestArrived) -> None:
        context = self.context
        requests = self.lifecycle.requests
        if event.request_id in requests:
            self.log.write(context.now_us, "request.duplicate_id", request_id=event.request_id)
            return
        if not 0 <= event.request_class < len(context.classes):
            self.log.write(context.now_us, "request.unknown_class", request_id=event.request_id)
            self._actions.append(Fail(event.request_id))
            return
        request_class = context.classes[event.request_class]
        request = self.intake.create_request(event, context.now_us, request_class, context.settings_version)
        requests[request.id] = request
        self.arrivals.note_arrival(context.now_us)
        if self.admission.should_shed(request, self.endpoints.any_breaker_closed):
            self.lifecycle.answer_unserved(request, UnservedReason.LOAD_SHED)
        else:
            self.lifecycle.start(request)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        request = self.lifecycle.requests.get(event.request_id)
        if request is None or request.answered:
            return
        for attempt in request.attempts[-1:]:
            # If the client waited longer than an unloaded endpoint takes, this counts as a time-out.
            # Otherwise clients that disconnect early would hide an overload.
            if not attempt.ended and self.context.now_us - attempt.sent_us > request.unloaded_us:
                self.concurrency_limit.step(True)
        self.lifecycle.finish(request)

    def _on_stream_started(self, event: StreamStarted) -> None:
        request = self.lifecycle.requests.get(event.request_id)
        if request is not None and not request.answered and 0 <= event.attempt < len(request.attempts):
            self.lifecycle.start_stream(request, event.attempt)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.lifecycle.requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.ended:
            return
        now_us = self.context.now_us
        self.lifecycle.end_attempt(request, attempt, event.outcome)
        self.load_reports.apply(attempt.endpoint, event.load_report, now_us)
        self.outcomes.record(request, attempt, event, now_us)
        if event.outcome is Outcome.OK and not request.answered:
            self._note_served(request)
        self.lifecycle.after_attempt(request, event)

    def _note_served(self, request: Request) -> None:
        counted = (
            request.is_first_try
            and not request.over_quota
            and request.request_class.current_classes is not None
        )
        if counted and self.context.now_us <= request.objective_us:
            self.demand.note_served(request.request_class.class_id)

    def _on_settings_changed(self, version: SettingsVersion) -> None:
        """Apply new settings to requests that arrive from now on; those in flight keep their version."""
        context = self.context
        if version.number <= context.settings_version.number:
            return
        self.breakers.purge((context.settings_version, version))
        context.change_settings(version, context.classes.by_id)
        self.demand.retain(context.classes.by_id)
        self.admission.invalidate_order()

    def _on_endpoint_list(self, event: EndpointListReceived) -> None:
        context = self.context
        endpoints = self.endpoints
        if event.kind is ListKind.ERROR:
            self.log.write(context.now_us, "endpoint_list.unavailable")
            self.polling.note_failure()
            return
        self.polling.note_list(event.kind, event.is_partial)
        budget_us = self.dispatcher.overload_budget_us()
        max_initial_work_us = max(context.classes.slowest.smoothed_us, budget_us / 2)
        endpoints.apply(event, context.now_us, max_initial_work_us, context.settings)
        if context.settings.load_dependent_weights and endpoints.by_id:
            self.admission.apply_load_dependent_weights(endpoints.estimated_in_flight, len(endpoints.by_id))
