"""Why the gateway closes connections, for the log."""

from __future__ import annotations

from enum import Enum


class UpstreamCloseReason(Enum):
    """Why the gateway closed a connection to an endpoint."""

    ATTEMPT_ABANDONED = "its attempt was abandoned"
    BUFFERS_EXHAUSTED = "there is no memory for the response"
    CONNECT_FAILED = "it could not be opened"
    CONNECTION_LIMIT = "another connection needs its place"
    ENDPOINT_DRAINING = "the endpoint drains or has been removed"
    ADDRESS_CHANGED = "the endpoint has a new address"
    IDLE = "it was idle for too long, or the endpoint has closed it"
    LOST = "the endpoint closed or reset it"
    MALFORMED_RESPONSE = "the response is malformed or too long"
    NOT_KEPT = "the response ends the connection"
    REQUEST_OVER = "the request no longer needs it"
    SHUTDOWN = "the gateway ends"
    UNEXPECTED_BYTES = "bytes came without a request"


class ClientCloseReason(Enum):
    """Why the gateway closed a connection of a client."""

    ANSWERED = "its last answer is sent"
    CONNECTION_LIMIT = "there are too many connections"
    IDLE = "it was idle for too long"
    SHUTDOWN = "the gateway ends"
    UNREAD_ANSWER = "its client does not read an answer"
