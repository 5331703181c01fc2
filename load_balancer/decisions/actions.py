"""Actions: the balancer's outputs, which its caller carries out in the order returned."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order of these actions.

    Attributes:
        request_id: The request to send.
        endpoint_id: Where to send it.
        timeout_us: How long to wait for the answer, in microseconds, at least 1.
    """

    request_id: str
    endpoint_id: int
    timeout_us: int


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: the request was not executed, and retrying it is safe.

    Attributes:
        request_id: The request that is rejected.
        retry_after_us: How long the client should wait before a retry, in microseconds; 0 if unspecified.
    """

    request_id: str
    retry_after_us: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the request may or may not have been executed."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt; its outcome is `CANCELLED` unless it has already ended otherwise."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver `TimerFired` with this token at or after an absolute time in microseconds."""

    due_us: int
    token: int


@dataclass(slots=True, frozen=True)
class SubscribeEndpoints:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class StartHealthCheck:
    """Check an endpoint's health; only where `Settings.may_check_health`."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send up to 256 bytes to one gateway, or to all (None); only where `Settings.may_message_peers`."""

    data: bytes
    gateway_index: int | None = None


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write one of the registered log events, with (name, value) pairs for its fields."""

    event: str
    fields: tuple[tuple[str, object], ...] = ()

    @property
    def line(self) -> str:
        """The event as one line of text."""
        return " ".join((self.event, *(f"{name}={value}" for name, value in self.fields)))


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | SubscribeEndpoints
    | PollEndpoints
    | StartHealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | LogEvent
)
