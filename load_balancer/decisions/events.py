"""Events: the inputs of the balancer.

Absolute times are readings of the caller's clock in whole microseconds, which only moves forward; everything
else ending in `_us` is a duration. Requests, endpoints, classes and tenants are identifiers that are compared
and never interpreted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from load_balancer.decisions.endpoint import Endpoint, ListKind
from load_balancer.decisions.settings_version import SettingsVersion


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # not accepted; never ran, but see Settings.rejected_may_have_run
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # the connection broke with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not_sent"  # abandoned before a byte was written; never ran


NEVER_EXECUTED = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
MAY_STILL_EXECUTE = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})  # after its outcome

LoadReport = tuple[tuple[str, float], ...]
"""Names and values that an endpoint reports of its load; `LoadReportSettings.fields` lists the names."""


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Requests that arrive from now on fall under this version; those in flight keep theirs to their end."""

    version: SettingsVersion


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """Service discovery has answered or pushed a change."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client's request has arrived; it is pending until its one final answer.

    Attributes:
        request_id: Unique for the lifetime of the balancer.
        request_class: Index of its class in the settings, from 0.
        remaining_timeout_us: Time until the client abandons this try.
        key: Affinity key; requests with one key belong together.
        work_us: Expected work on a standard core; None where nothing is known.
        is_retry: Whether the client marked it as a retry.
        tenant: Index of its tenant in the settings, from 0.
        is_write: Whether it changes data; not used yet.
    """

    request_id: str
    request_class: int
    remaining_timeout_us: int
    key: int | None = None
    work_us: int | None = None
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The one outcome of an attempt.

    Attributes:
        request_id: The request that the attempt was made for.
        attempt: Its number, from 0 in the order of the request's `Send` actions.
        endpoint_id: Where it was sent.
        outcome: How it ended.
        latency_us: Time since it was sent.
        finished: Whether the request has had its final answer, through this outcome or before.
        load_report: The endpoint's load report, empty if none came along.
    """

    request_id: str
    attempt: int
    endpoint_id: int
    outcome: Outcome
    latency_us: int
    finished: bool = False
    load_report: LoadReport = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer any more."""

    request_id: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed answer has begun; the attempt is tied to its client and has no deadline."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the balancer set has come due."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """The result of one health check."""

    endpoint_id: int
    outcome: Outcome
    latency_us: int
    load_report: LoadReport = ()


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """Another gateway of the tier has sent a message."""

    gateway_index: int
    data: bytes


Event = (
    SettingsChanged
    | EndpointListReceived
    | RequestArrived
    | AttemptEnded
    | ClientDisconnected
    | StreamStarted
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
)
