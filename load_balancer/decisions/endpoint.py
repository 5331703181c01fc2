"""Endpoints as listed by service discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """The state of an endpoint in the list.

    Attributes:
        READY: New requests may be sent to it.
        DRAINING: It finishes its requests; no new ones may be sent to it.
        GONE: It has been removed from the list.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an endpoint list is to be applied to the previous one.

    Attributes:
        DELTA: The list contains only the endpoints that have changed.
        COMPLETE: The list contains every endpoint; one that is missing has been removed.
        CACHED: The list contains every endpoint as stored before this gateway started, and may be stale.
        ERROR: A poll or the subscription failed; the previous list stays in use.
    """

    DELTA = "delta"
    COMPLETE = "complete"
    CACHED = "cached"
    ERROR = "error"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One endpoint of the list.

    Attributes:
        id: Number that is compared and never interpreted.
        status: Whether new requests may be sent to it.
        weight: Relative capacity, above 0.
        zone: Index of its zone in the settings, from 0.
        group: Number of its deduplication group.
        kind: Index of its hardware kind in the settings, from 0.
        started_us: When it started, in microseconds on the caller's clock; 0 if that was long ago.
    """

    id: int
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0
