"""A client's request, parsed and validated."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A request that has been parsed and validated.

    Attributes:
        id: The client's id of it.
        request_class: Index of its class in the settings.
        timeout_us: How long the client waits for an answer, in microseconds.
        waited_us: Time from the reading of its last byte to its parsing, in microseconds.
        headers: The end-to-end headers, encoded as lines.
        key: Affinity key, if the target names one.
        work_us: The client's estimate of the work in microseconds, if it gave one.
        is_retry: Whether the client has sent it before.
        tenant: Index of its tenant in the settings; 0 if they declare none.
        is_write: Whether the client marks it as a write.
    """

    id: bytes
    request_class: int
    timeout_us: int
    waited_us: int
    method: bytes
    target: bytes
    headers: bytes
    body: bytes
    key: int | None = None
    work_us: int | None = None
    is_retry: bool = False
    tenant: int = 0
    is_write: bool = False

    def without_content(self) -> ClientRequest:
        """Return the request without the parts that are only needed to send it: headers and body."""
        return replace(self, headers=b"", body=b"") if self.body else self

    def encode(self, timeout_us: int) -> bytes:
        """Return the bytes for an endpoint.

        Args:
            timeout_us: The remaining time, sent in a header in milliseconds, rounded up.
        """
        has_length = self.body or self.method != b"GET"
        return b"%b %b HTTP/1.1\r\n%bRequest-Timeout-Ms: %d\r\n%b\r\n%b" % (
            self.method,
            self.target,
            self.headers,
            -(-timeout_us // 1000),
            b"Content-Length: %d\r\n" % len(self.body) if has_length else b"",
            self.body,
        )
