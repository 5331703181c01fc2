"""Validates the target and headers of a request and converts it to a `ClientRequest`."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from urllib.parse import parse_qs

from load_balancer.config.gateway_config import Config
from load_balancer.config.steps import ITEMS_PER_STEP, Steps
from load_balancer.decisions.settings import Idempotency
from load_balancer.gateway.client_request import ClientRequest
from load_balancer.gateway.http_message import HOP_BY_HOP_HEADERS, Header, HttpRequestError
from load_balancer.gateway.incoming_request import IncomingRequest

REQUEST_TIMEOUT_LIMIT_MS = 3_600_000
REQUEST_ID_LIMIT = 128  # characters
# Headers that may occur only once: the gateway and an endpoint might each use another one of two values.
SINGLETON_HEADERS = frozenset((b"request-id", b"request-class", b"tenant", b"request-timeout-ms"))


@dataclass(frozen=True, slots=True)
class RequestLookup:
    """Tables from the names in requests to indexes in the settings.

    Attributes:
        config: The configuration that the tables were made from.
        classes: Index in the settings by class name.
        tenants: Index in the settings by tenant name.
    """

    config: Config
    classes: dict[bytes, int]
    tenants: dict[bytes, int]


def lookup_steps(config: Config, previous: RequestLookup | None = None) -> Steps[RequestLookup]:
    """Make the tables in steps, between which the event loop may do other work.

    Args:
        config: The configuration to make them from.
        previous: Earlier tables; a table with the same names is reused.
    """
    names = config.names
    if previous is not None and names.classes is previous.config.names.classes:
        classes = previous.classes
    else:
        classes = yield from _index_steps(names.classes)
    if previous is not None and names.tenants is previous.config.names.tenants:
        tenants = previous.tenants
    else:
        tenants = yield from _index_steps(names.tenants)
    return RequestLookup(config, classes, tenants)


def _index_steps(names: tuple[str, ...]) -> Steps[dict[bytes, int]]:
    table: dict[bytes, int] = {}
    for index, name in enumerate(names):
        table[name.encode()] = index
        if index % ITEMS_PER_STEP == 0:
            yield
    return table


def parse_request(incoming: IncomingRequest, lookup: RequestLookup, now: float) -> ClientRequest:
    """Validate a request and return its parsed form.

    Args:
        incoming: The request.
        lookup: Indexes of classes and tenants by name.
        now: The loop's time, in seconds.

    Raises:
        HttpRequestError: The request is malformed, or names an unknown class or tenant.
    """
    headers = _headers_by_name(incoming.headers)
    request_class = _find_request_class(incoming.target, headers, lookup)
    _check_method(incoming, headers, lookup.config.settings.classes[request_class].idempotency)
    _check_request_id(headers.get(b"request-id", b""))
    return ClientRequest(
        id=headers[b"request-id"],
        request_class=request_class,
        timeout_us=_parse_timeout_ms(headers) * 1000,
        waited_us=int((now - incoming.received_at) * 1e6),
        method=incoming.method,
        target=incoming.target,
        headers=_encode_end_to_end_headers(incoming.headers, headers.get(b"connection", b"")),
        body=bytes(incoming.body),
        key=_parse_affinity_key(incoming.target),
        work_us=_parse_integer(headers.get(b"work-hint", b"")),
        is_retry=headers.get(b"client-retry") == b"1",
        tenant=_find_tenant(headers, lookup),
        is_write=b"isWrite=1" in headers.get(b"request-info", b"").split(b","),
    )


def _headers_by_name(headers: list[Header]) -> dict[bytes, bytes]:
    by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in by_name and lower in SINGLETON_HEADERS:
            raise HttpRequestError(400, f"{name.decode('latin-1')} is given twice")
        by_name[lower] = value
    return by_name


def _find_request_class(target: bytes, headers: dict[bytes, bytes], lookup: RequestLookup) -> int:
    first_segment = target.partition(b"?")[0].split(b"/")[1:2]
    name = headers.get(b"request-class", b"")
    if not first_segment or first_segment[0] not in lookup.classes or name not in lookup.classes:
        raise HttpRequestError(404, "unknown path or class")
    if first_segment[0] != name:
        raise HttpRequestError(400, "path and Request-Class name different classes")
    return lookup.classes[name]


def _check_method(incoming: IncomingRequest, headers: dict[bytes, bytes], idempotency: Idempotency) -> None:
    method = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
    if incoming.method != method:
        raise HttpRequestError(405, "the class wants another method", (b"allow", method))
    if idempotency is Idempotency.IDEMPOTENCY_KEY and not headers.get(b"idempotency-key"):
        raise HttpRequestError(400, "Idempotency-Key is missing")


def _check_request_id(request_id: bytes) -> None:
    if not 0 < len(request_id) <= REQUEST_ID_LIMIT or not all(33 <= byte <= 126 for byte in request_id):
        raise HttpRequestError(400, "Request-Id is missing or malformed")


def _parse_timeout_ms(headers: dict[bytes, bytes]) -> int:
    timeout_ms = _parse_integer(headers.get(b"request-timeout-ms", b""))
    if timeout_ms is None or not 0 < timeout_ms <= REQUEST_TIMEOUT_LIMIT_MS:
        raise HttpRequestError(400, "Request-Timeout-Ms is missing or malformed")
    return timeout_ms


def _find_tenant(headers: dict[bytes, bytes], lookup: RequestLookup) -> int:
    tenants = lookup.tenants
    tenant = tenants.get(headers.get(b"tenant", b""), None if tenants else 0)
    if tenant is None:
        raise HttpRequestError(400, "Tenant is missing or unknown")
    return tenant


def _encode_end_to_end_headers(headers: list[Header], connection: bytes) -> bytes:
    """Return the headers as lines, without hop-by-hop headers and those that Connection names."""
    excluded = HOP_BY_HOP_HEADERS.union(name.strip().lower() for name in connection.split(b","))
    return b"".join(b"%b: %b\r\n" % header for header in headers if header[0].lower() not in excluded)


def _parse_integer(text: bytes) -> int | None:
    return int(text) if text.isdigit() and len(text) < 19 else None


def _parse_affinity_key(target: bytes) -> int | None:
    """Return a number for the user that a request concerns, the same at every gateway."""
    query = target.partition(b"?")[2]
    if not query:
        return None
    values = parse_qs(query.decode("latin-1")).get("user")
    if not values:
        return None
    try:
        return int(values[0], 16) & (2**64 - 1)
    except ValueError:
        return int.from_bytes(hashlib.blake2b(values[0].encode(), digest_size=8).digest())
