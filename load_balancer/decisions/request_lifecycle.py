"""The lifecycle of a request: waiting for others with the same key, attempts, retries, final answer."""

from __future__ import annotations

from functools import partial

from load_balancer.decisions.actions import Action, Fail, Reject, UnservedReason
from load_balancer.decisions.admission import AdmissionControl
from load_balancer.decisions.context import Context
from load_balancer.decisions.dispatcher import Dispatcher
from load_balancer.decisions.endpoint_list import EndpointList
from load_balancer.decisions.endpoint_state import Attempt
from load_balancer.decisions.events import MAY_STILL_EXECUTE, AttemptEnded, Outcome
from load_balancer.decisions.latency import OVERDUE_LATENCY_FACTOR
from load_balancer.decisions.ordered_keys import OrderedKeys
from load_balancer.decisions.request import KeyQueue, Request
from load_balancer.decisions.retries import OverdueReaction, RetryBudget, may_reject
from load_balancer.decisions.settings import Idempotency
from load_balancer.decisions.timers import Timers


class RequestLifecycle:
    """The open requests; makes sure that each gets exactly one final answer.

    Attributes:
        requests: The requests without a final answer or with attempts in flight, by id.
        ordered_keys: Queues of the requests that must run one at a time for each key.
    """

    __slots__ = (
        "_actions",
        "_admission",
        "_context",
        "_dispatcher",
        "_endpoints",
        "_retry_budget",
        "_timers",
        "ordered_keys",
        "requests",
    )

    def __init__(
        self,
        actions: list[Action],
        timers: Timers,
        context: Context,
        endpoints: EndpointList,
        admission: AdmissionControl,
        dispatcher: Dispatcher,
        retry_budget: RetryBudget,
    ) -> None:
        """Use `actions` as the list to which final answers are appended."""
        self._actions = actions
        self._timers = timers
        self._context = context
        self._endpoints = endpoints
        self._admission = admission
        self._dispatcher = dispatcher
        self._retry_budget = retry_budget
        self.requests: dict[str, Request] = {}
        self.ordered_keys = OrderedKeys()

    def start(self, request: Request) -> None:
        """Send an admitted request, or queue it behind others with the same key."""
        if not (self._enqueue_if_ordered(request) or self._send(request)):
            self.answer_unserved(request, UnservedReason.NO_ENDPOINT)

    def answer_unserved(self, request: Request, reason: UnservedReason) -> None:
        """Answer a request that gets no further attempt: reject it if a retry is safe, else fail it."""
        if request.answered:
            return
        if may_reject(request):
            self._actions.append(Reject(request.id, self._retry_after_us(request), reason))
        else:
            self._actions.append(Fail(request.id, reason))
        self.finish(request)

    def finish(self, request: Request) -> None:
        """Mark a request as answered, and cancel its attempts in flight unless one streams the answer."""
        request.answered = True
        if request.in_flight == 0:
            self._remove(request)
        elif not request.streaming:
            self._dispatcher.cancel(request)

    def start_stream(self, request: Request, attempt: int) -> None:
        """Mark a request as streaming its answer, and cancel its other attempts."""
        request.streaming = True
        self._dispatcher.cancel(request, kept_attempt=attempt)

    def end_attempt(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Mark an attempt as ended; if it may still be running, delay the requests with its ordered key."""
        self._dispatcher.mark_ended(request, attempt, outcome)
        queue = request.key_queue
        if queue is not None and outcome in MAY_STILL_EXECUTE:
            delay_us = request.settings_version.settings.ordered_key_delay_us
            until_us = self._context.now_us + delay_us
            self.ordered_keys.delay(queue, until_us)
            self._timers.set(until_us, partial(self._advance_queue, queue))

    def after_attempt(self, request: Request, event: AttemptEnded) -> None:
        """Finish or retry a request after one of its attempts has ended."""
        if request.answered:
            if request.in_flight == 0:
                self._remove(request)
        elif event.finished or event.outcome is Outcome.OK:
            self.finish(request)
        elif request.in_flight == 0:
            self._retry(request)

    def advance_released_queues(self) -> None:
        """Send the next requests of the released queues."""
        released = self.ordered_keys.released
        while released:
            self._advance_queue(released.pop())

    def _send(self, request: Request) -> bool:
        """Send an attempt if an endpoint is eligible, and set a timer for when it is overdue."""
        if not self._dispatcher.send(request):
            return False
        overdue_us = self._context.now_us + int(OVERDUE_LATENCY_FACTOR * request.expected_us)
        idempotency = request.request_class.definition.idempotency
        if idempotency is not Idempotency.NON_IDEMPOTENT and overdue_us < request.deadline_us:
            self._timers.set(overdue_us, partial(self._on_overdue, request))
        return True

    def _on_overdue(self, request: Request) -> None:
        """Hedge or replace an overdue attempt at another endpoint, if that is allowed."""
        reaction = self._retry_budget.react_to_overdue(request, self._admission.shed_share)
        if reaction is OverdueReaction.HEDGE:
            if self._send(request):
                self._retry_budget.withdraw()
        elif reaction is OverdueReaction.REPLACE and self._dispatcher.pick(request) is not None:
            request.replacing_attempt = True
            self._retry_budget.withdraw()
            self._dispatcher.cancel(request)

    def _retry(self, request: Request) -> None:
        """Send another attempt or the final answer, after the last attempt in flight has failed."""
        replacing_attempt, request.replacing_attempt = request.replacing_attempt, False
        needs_token = request.may_have_run and not replacing_attempt
        shed_share = self._admission.shed_share
        now_us = self._context.now_us
        may_retry = self._retry_budget.may_retry(request, needs_token, now_us, shed_share)
        if not may_retry:
            self.answer_unserved(request, UnservedReason.NO_RETRY)
        elif not self._send(request):
            self.answer_unserved(request, UnservedReason.NO_ENDPOINT)
        elif needs_token:
            self._retry_budget.withdraw()

    def _enqueue_if_ordered(self, request: Request) -> bool:
        """Queue a request of an ordered class; return False if the request may be sent now.

        A request that could not be served in time after those queued before it is answered immediately, while
        its client still has time for a retry.
        """
        now_us = self._context.now_us
        ready_us = self.ordered_keys.enqueue(request, now_us)
        if ready_us is None:
            return False
        min_latency_us = int(request.unloaded_us)
        wait_until_us = request.wait_until_us(now_us)
        if ready_us + min_latency_us > wait_until_us:
            self.answer_unserved(request, UnservedReason.KEY_QUEUE)
        else:
            self._timers.set(wait_until_us - min_latency_us, partial(self._on_queue_timeout, request))
        return True

    def _on_queue_timeout(self, request: Request) -> None:
        if not request.attempts:
            self.answer_unserved(request, UnservedReason.KEY_QUEUE)

    def _advance_queue(self, queue: KeyQueue) -> None:
        """Send the next request of an ordered key, if it may be sent now."""
        now_us = self._context.now_us
        while (request := self.ordered_keys.next_ready(queue, now_us)) is not None:
            if not self._send(request):
                self.answer_unserved(request, UnservedReason.NO_ENDPOINT)
        self.ordered_keys.drop_if_idle(queue, now_us)

    def _retry_after_us(self, request: Request) -> int:
        """Return the shortest remaining cooldown, or the estimated time until shedding ends if longer."""
        wait_us = max(
            self._endpoints.remaining_cooldown_us(request.breaker_key, self._context.now_us),
            self._admission.remaining_shedding_us(),
        )
        return max(0, min(wait_us, request.settings_version.settings.max_retry_after_us))

    def _remove(self, request: Request) -> None:
        self.requests.pop(request.id, None)
        self.ordered_keys.remove(request)
