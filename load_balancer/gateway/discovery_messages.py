"""Discovery's JSON and its translation into typed watch events; its field names are used only here."""

from __future__ import annotations

import hashlib
import json
import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from load_balancer.config.addresses import Address, parse_address
from load_balancer.config.errors import ConfigError
from load_balancer.config.gateway_config import NameTable
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus, ListKind
from load_balancer.decisions.events import EndpointListReceived
from load_balancer.errors import LoadBalancerError
from load_balancer.gateway.event_log import log_event

LOGGED_ENTRY_CHARACTERS = 200
STATUSES = {"active": EndpointStatus.READY, "leaving": EndpointStatus.DRAINING, "left": EndpointStatus.GONE}
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class DiscoveryFormatError(LoadBalancerError, ValueError):
    """A message of discovery, or an entry of one, does not have the expected form."""


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One entry of an endpoint list.

    Attributes:
        name: The endpoint's name at discovery.
        endpoint: The endpoint as passed to the balancer.
        address: Where it accepts connections.
    """

    name: str
    endpoint: Endpoint
    address: Address


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One message of discovery, or the failure of a call.

    Attributes:
        kind: Whether `endpoints` is a complete list, a cached one or a change; ERROR for a failed call.
        endpoints: The entries that could be read.
        index: Position in discovery's log of changes, from which a later watch continues.
        is_partial: Whether some entries could not be read.
    """

    kind: ListKind
    endpoints: tuple[DiscoveredEndpoint, ...] = ()
    index: int = 0
    is_partial: bool = False

    def to_balancer_event(self) -> EndpointListReceived:
        """Return the event that passes this list to the balancer."""
        return EndpointListReceived(
            self.kind, tuple(entry.endpoint for entry in self.endpoints), self.is_partial
        )


def endpoint_id_of(name: str) -> int:
    """Return a 64-bit number for a name, the same at every gateway and after every restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest())


def parse_entry(raw: Any, names: NameTable) -> DiscoveredEndpoint:
    """Read one entry of a list.

    Args:
        raw: The entry as decoded from JSON.
        names: The names of zones and endpoint kinds that the settings declare. Where they declare no zones,
            or no kinds, that field of the entry is ignored.

    Raises:
        DiscoveryFormatError: If a field is missing, unknown or out of range.
    """
    try:
        return _parse_fields(raw, names)
    except KeyError as error:
        raise DiscoveryFormatError(f"field or value {error} is missing or unknown") from None
    except (AttributeError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise DiscoveryFormatError(str(error)) from None


def _parse_fields(raw: Any, names: NameTable) -> DiscoveredEndpoint:
    weight = float(raw.get("weight", 1.0))
    started_ms = int(raw.get("since_ms", 0))
    if not 0.0 < weight < math.inf or started_ms < 0:
        raise DiscoveryFormatError("weight or since_ms is out of range")
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise DiscoveryFormatError("name is not a string or is empty")
    endpoint = Endpoint(
        id=endpoint_id_of(name),
        status=STATUSES[raw["status"]],
        weight=weight,
        zone=names.zones.index(raw["zone"]) if names.zones else 0,
        group=int(raw.get("group", 0)),
        kind=names.endpoint_kinds.index(raw["type"]) if names.endpoint_kinds else 0,
        started_us=started_ms * 1000,
    )
    return DiscoveredEndpoint(name, endpoint, parse_address(raw["address"]))


def parse_list(
    raw: Any,
    names: NameTable,
    complete_kind: ListKind = ListKind.COMPLETE,
    cached: Mapping[str, DiscoveredEndpoint] | None = None,
) -> WatchEvent:
    """Read one message of discovery.

    An entry that cannot be read in full is applied as far as it can: an endpoint that it names gets no new
    requests unless its status is active. Otherwise an endpoint that a complete list names stays as it is
    cached, and one that it does not name is removed.

    Args:
        raw: The message as decoded from JSON.
        names: The names that the settings declare.
        complete_kind: The kind of a list that is complete, as opposed to a change.
        cached: The endpoints known so far, by name.

    Raises:
        DiscoveryFormatError: If the message is not a list, or is a complete list of entries without names
            while endpoints are known. Without entries it is valid: every endpoint has been removed.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("endpoints"), list):
        raise DiscoveryFormatError("a list without endpoints")
    cached = cached or {}
    items = raw["endpoints"]
    is_complete = bool(raw.get("snapshot", True))
    if is_complete and cached and items and not any(map(_entry_name, items)):
        raise DiscoveryFormatError("a complete list without a readable endpoint")
    entries: list[DiscoveredEndpoint] = []
    is_partial = False
    for item in items:
        try:
            entries.append(parse_entry(item, names))
        except DiscoveryFormatError as error:
            is_partial |= not _is_understood(item, error)
            known = cached.get(_entry_name(item))
            if known is not None:
                entries.extend(_with_readable_status(known, item, is_complete))
    kind = complete_kind if is_complete else ListKind.DELTA
    return WatchEvent(kind, tuple(entries), _parse_index(raw), is_partial)


def _is_understood(item: Any, error: DiscoveryFormatError) -> bool:
    """Return whether an entry with errors says all that matters; log it if not."""
    if _stopping_status(item) is not None and item["status"] in STATUSES:
        return True
    log_event("discovery.entry_skipped", error=error, entry=f"{item!r:.{LOGGED_ENTRY_CHARACTERS}}")
    return False


def _with_readable_status(
    known: DiscoveredEndpoint, item: Any, is_complete: bool
) -> tuple[DiscoveredEndpoint, ...]:
    """Return what an entry with errors says of a known endpoint: its status, or that it is still listed."""
    stopping_status = _stopping_status(item)
    if stopping_status is not None:
        return (replace(known, endpoint=replace(known.endpoint, status=stopping_status)),)
    return (known,) if is_complete else ()


def _entry_name(item: Any) -> str:
    """Return the name of an entry, or an empty string if it has none."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else ""


def _stopping_status(item: Any) -> EndpointStatus | None:
    """Return the status of an entry by which its endpoint gets no new requests; None if it has another.

    Nothing else that an entry says matters for such an endpoint. Only `active` permits new requests, so that
    a status that is not known forbids them.
    """
    status = item.get("status") if isinstance(item, dict) else None
    if not isinstance(status, str) or not _entry_name(item):
        return None
    known_status = STATUSES.get(status, EndpointStatus.DRAINING)
    return None if known_status is EndpointStatus.READY else known_status


def _parse_index(raw: dict[str, Any]) -> int:
    index = raw.get("index", 0)
    return index if isinstance(index, int) else 0


def decode_list(data: bytes, names: NameTable, cached: Mapping[str, DiscoveredEndpoint]) -> WatchEvent:
    """Read one message of discovery from its JSON text; arguments and errors as of `parse_list`."""
    try:
        raw = json.loads(data)
    except ValueError as error:
        raise DiscoveryFormatError(str(error)) from None
    return parse_list(raw, names, cached=cached)


class JsonStreamSplitter:
    """A splitter of a stream into its JSON objects, each on one line or indented over several.

    Attributes:
        completed: How many objects, malformed lines and empty lines have ended so far.
    """

    def __init__(self) -> None:
        self.completed = 0
        self._partial_line: list[bytes] = []
        self._partial_line_bytes = 0
        self._message_lines: list[bytes] = []
        self._message_bytes = 0
        self._depth = 0  # number of braces and brackets that are not closed yet

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete lines and objects, without newlines."""
        return self._partial_line_bytes + self._message_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects that end in this piece; the pieces of a line are joined once, when it ends."""
        *lines, rest = data.split(b"\n")
        if lines:
            lines[0] = b"".join((*self._partial_line, lines[0]))
            self._partial_line = []
            self._partial_line_bytes = 0
        if rest:
            self._partial_line.append(rest)
            self._partial_line_bytes += len(rest)
        return [message for line in lines for message in self._add_line(line)]

    def finish(self) -> list[bytes]:
        """Return what the stream ends with, if it is whole although its line has no end."""
        line = b"".join(self._partial_line)
        self._partial_line = []
        self._partial_line_bytes = 0
        return self._add_line(line) if line.strip() else []

    def _add_line(self, line: bytes) -> list[bytes]:
        """Return the objects that end with this line, and malformed text that ends before it."""
        depth = _count_unclosed(line)
        is_empty = not line.strip()
        # Neither a complete list on one line nor an empty line occurs within another object: an object that
        # is open before such a line was cut off.
        is_list = depth == 0 and line.startswith(b"{") and b'"endpoints"' in line
        if self._message_lines and (is_list or is_empty):
            return [self._pop_message(), *self._add_line(line)]
        if is_empty:
            self.completed += 1
            return []
        self._message_lines.append(line)
        self._message_bytes += len(line)
        self._depth += depth
        if self._depth > 0:
            return []
        self.completed += 1
        return [self._pop_message()]

    def _pop_message(self) -> bytes:
        message = b"\n".join(self._message_lines)
        self._message_lines = []
        self._message_bytes = 0
        self._depth = 0
        return message


def _count_unclosed(line: bytes) -> int:
    """Return how many more braces and brackets a line opens than it closes, outside of its strings."""
    outside = JSON_STRING.sub(b"", line)
    opened = outside.count(b"{") + outside.count(b"[")
    closed = outside.count(b"}") + outside.count(b"]")
    return opened - closed
