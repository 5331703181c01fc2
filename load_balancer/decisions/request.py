"""Records of requests that have no final answer yet or have attempts in flight."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from load_balancer.decisions.endpoint_state import Attempt
from load_balancer.decisions.latency import ClassState
from load_balancer.decisions.settings_version import SettingsVersion

# Share of the time left until the latency objective for which an attempt may run, in classes whose answers
# have no value after the objective.
OBJECTIVE_WAIT_SHARE = 0.98


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The queue of requests of ordered classes with one key, of which the first may be sent.

    Attributes:
        key: The affinity key.
        requests: The requests in order of arrival.
        delayed_until_us: Time until which nothing is sent, as an earlier attempt may still be running.
    """

    key: int
    requests: deque[Request] = field(default_factory=deque)
    delayed_until_us: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival until its final answer and the end of its last attempt.

    Attributes:
        id: The id that the caller has given it.
        request_class: State of its class.
        settings_version: The settings version in force when it arrived, which applies until it ends.
        breaker_key: Key of the circuit breakers for its class and tenant.
        key: Affinity key; None if it has none.
        deadline_us: Time of the client's timeout.
        objective_us: Latest time of an answer within its latency objective.
        relative_latency: Its expected latency, divided by the usual latency of its class.
        work_us: The work that the client has hinted; None without a hint.
        is_first_try: Whether this is the client's first try of the request.
        over_quota: Whether it exceeds its tenant's quota.
        key_queue: The queue of its key, for ordered classes.
        attempts: All its attempts, in the order sent.
        in_flight: Number of its attempts without an outcome.
        answered: Whether it has had its final answer.
        streaming: Whether the client is being sent a streamed answer.
        replacing_attempt: Whether an overdue attempt was cancelled so that another one can be sent, whose
            retry token has already been withdrawn.
    """

    id: str
    request_class: ClassState
    settings_version: SettingsVersion
    breaker_key: int
    key: int | None
    deadline_us: int
    objective_us: int
    relative_latency: float
    work_us: int | None
    is_first_try: bool
    over_quota: bool
    key_queue: KeyQueue | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    answered: bool = False
    streaming: bool = False
    replacing_attempt: bool = False

    @property
    def expected_us(self) -> float:
        """Expected latency of an attempt, in microseconds."""
        return self.request_class.smoothed_us * self.relative_latency

    @property
    def unloaded_us(self) -> float:
        """Estimated latency of an attempt at an endpoint without a queue, in microseconds."""
        return self.request_class.unloaded_us * self.relative_latency

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have been executed."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def deduplicated_until_us(self) -> int | None:
        """Time until which a repeat is dropped by its idempotency key; None if no attempt may have run."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt.sent_us + self.request_class.definition.deduplication_window_us
        return None

    def wait_until_us(self, now_us: int) -> int:
        """Return the time until which the answer to an attempt sent now is still of use to the client."""
        if self.request_class.definition.late_weight_share > 0.0:
            return self.deadline_us
        return min(self.deadline_us, now_us + int(OBJECTIVE_WAIT_SHARE * (self.objective_us - now_us)))
