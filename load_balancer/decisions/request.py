"""Records of the requests that have no final answer yet, or whose attempts are still in flight."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from load_balancer.decisions.endpoint_state import Attempt
from load_balancer.decisions.latency import ClassState
from load_balancer.decisions.settings_version import SettingsVersion

OBJECTIVE_WAIT_SHARE = 0.98  # of the time to the objective, waited for answers that have no value later


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Requests of ordered classes with one key, in order of arrival; the first may be sent.

    Attributes:
        key: The key.
        requests: The requests, the oldest first.
        delayed_until_us: Until then an earlier attempt may still be running, and nothing is sent.
    """

    key: int
    requests: deque[Request] = field(default_factory=deque)
    delayed_until_us: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its arrival until its last attempt has ended.

    Attributes:
        id: The caller's id.
        request_class: Its class.
        settings_version: The version in force when it arrived, used until it ends.
        breaker_key: Key of the breakers for its class and tenant.
        key: Affinity key, None without one.
        deadline_us: When its client gives up.
        objective_us: When its latency objective is over.
        relative_latency: Expected latency over the usual one of its class.
        work_us: Work as hinted, None without a hint.
        is_first_try: Whether the client has not sent it before.
        over_quota: Whether it is beyond its tenant's quota.
        key_queue: The queue of its key, for ordered classes.
        attempts: All its attempts, in the order sent.
        in_flight: Attempts without an outcome.
        answered: Whether it has had its final answer.
        streaming: Whether a streamed answer has begun.
        replacing_attempt: Whether an overdue attempt was cancelled for another, whose retry token has been
            withdrawn.
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
        """Expected latency of an attempt."""
        return self.request_class.smoothed_us * self.relative_latency

    @property
    def unloaded_us(self) -> float:
        """Estimated latency of an attempt where nothing waits."""
        return self.request_class.unloaded_us * self.relative_latency

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have been executed."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def wait_until_us(self, now_us: int) -> int:
        """Return when an attempt that is sent now stops being worth waiting for."""
        if self.request_class.definition.late_weight_share > 0.0:
            return self.deadline_us
        return min(self.deadline_us, now_us + int(OBJECTIVE_WAIT_SHARE * (self.objective_us - now_us)))
