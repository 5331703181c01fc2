"""Actions: the outputs of the balancer, which its caller carries out in the order returned."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class UnservedReason(Enum):
    """Why a request is answered without having been served.

    Attributes:
        UNKNOWN: The decision names none.
        LOAD_SHED: Load is shed.
        NO_ENDPOINT: No endpoint is eligible.
        NO_RETRY: Its last attempt failed, and it may not be retried or has no time left for a retry.
        KEY_QUEUE: Requests with its key take too long.
    """

    UNKNOWN = "unknown"
    LOAD_SHED = "load is shed"
    NO_ENDPOINT = "no endpoint is eligible"
    NO_RETRY = "it may not be retried"
    KEY_QUEUE = "requests with its key take too long"


@dataclass(slots=True, frozen=True)
class Send:
    """Send a request to an endpoint; its attempts are numbered from 0 in the order of these actions.

    Attributes:
        request_id: The request to send.
        endpoint_id: The endpoint to send it to.
        timeout_us: How long to wait for the answer, in microseconds; at least 1.
        write_by_us: Time by which the request's last byte has to be written, or else the attempt is not sent:
            later it could take effect a second time. None if any time until the timeout is safe.
    """

    request_id: str
    endpoint_id: int
    timeout_us: int
    write_by_us: int | None = None


@dataclass(slots=True, frozen=True)
class Reject:
    """Answer a request finally: it was rejected, and retrying it is safe.

    Attributes:
        request_id: The request that is rejected.
        retry_after_us: How long the client should wait before a retry, in microseconds; 0 if unspecified.
        reason: For the log; actions that differ in it alone are equal.
    """

    request_id: str
    retry_after_us: int = 0
    reason: UnservedReason = field(default=UnservedReason.UNKNOWN, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Answer a request finally: it failed, and may or may not have been executed.

    Attributes:
        request_id: The request that fails.
        reason: For the log; actions that differ in it alone are equal.
    """

    request_id: str
    reason: UnservedReason = field(default=UnservedReason.UNKNOWN, compare=False)


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt; its outcome is `Outcome.CANCELLED` unless it has already ended."""

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
    """Check an endpoint's health, if `Settings.may_check_health` is set; no decision returns this yet."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this gateway's idle connections to an endpoint; no decision returns this yet."""

    endpoint_id: int


@dataclass(slots=True, frozen=True)
class SendPeerMessage:
    """Send up to 256 bytes to another gateway, if `Settings.may_message_peers` is set.

    No decision returns this yet.

    Attributes:
        data: The message.
        gateway_index: The gateway to send it to; None for all gateways.
    """

    data: bytes
    gateway_index: int | None = None


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Write one of the registered log events.

    Attributes:
        event: The name of the event.
        fields: Names and values of its fields.
    """

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
