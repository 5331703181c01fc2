"""HTTP responses, their encoding, and the limits and headers that both sides of the gateway share."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from load_balancer.decisions.events import Outcome
from load_balancer.errors import LoadBalancerError

BODY_LIMIT = 64 * 1024  # bytes
HEAD_LIMIT = 16 * 1024  # bytes
HEADER_COUNT_LIMIT = 100  # headers of a message
# What a header takes in memory beyond its bytes on the wire: a tuple and two objects.
HEADER_OVERHEAD_BYTES = 150

# Headers that concern a single connection, or that the gateway writes itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"request-timeout-ms",
        b"not-started",
        b"server-load",
    )
)
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}

# Headers that tell where the body of a response ends.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: The status code.
        headers: Names in lower case and values, in order.
        body: The content, without any transfer coding.
    """

    status: int = 0
    headers: list[Header] = field(default_factory=list)
    body: bytes = b""

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header by its lower-case name; empty if it is missing."""
        return next((value for key, value in self.headers if key == name), b"")

    @property
    def has_framing(self) -> bool:
        """Whether the headers tell where the body ends; otherwise the connection's orderly end does."""
        return any(name in FRAMING_HEADERS for name, _ in self.headers)

    def outcome(self) -> Outcome:
        """Return the outcome of an attempt that received this response."""
        if self.status == 200:
            return Outcome.OK
        if self.status in (503, 504) and self.header(b"not-started").strip() == b"1":
            return Outcome.REJECTED
        return Outcome.ERROR

    def encode(self, *, close: bool, without_body: bool = False) -> bytes:
        """Return the bytes for the client.

        Args:
            close: Whether the connection ends with this response.
            without_body: Whether only the head is sent, as in reply to HEAD.
        """
        lines = [b"HTTP/1.1 %d %b" % (self.status, REASON_PHRASES.get(self.status, b""))]
        lines += [b"%b: %b" % header for header in self.headers if header[0] not in HOP_BY_HOP_HEADERS]
        lines.append(b"content-length: %d" % len(self.body))
        if close:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if without_body else self.body)


def text_response(status: int, text: str, *headers: Header) -> Response:
    """Return a response that the gateway makes itself, with one line of plain text."""
    return Response(status, [(b"content-type", b"text/plain"), *headers], text.encode() + b"\n")


class HttpRequestError(LoadBalancerError):
    """A request that the gateway answers itself with an error status.

    Attributes:
        response: The response for the client.
    """

    def __init__(self, status: int, reason: str, *headers: Header) -> None:
        super().__init__(reason)
        self.response = text_response(status, reason, *headers)


class HttpResponseError(LoadBalancerError):
    """A response of an endpoint that violates HTTP or exceeds a limit."""
