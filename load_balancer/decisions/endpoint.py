"""Endpoints as service discovery lists them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """Whether new requests may go to an endpoint."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests; no new ones may be sent to it
    GONE = "gone"  # removed from the list


class ListKind(Enum):
    """How an endpoint list is to be applied to the one before."""

    DELTA = "delta"  # changed endpoints only
    COMPLETE = "complete"  # every endpoint; one that is missing has been removed
    CACHED = "cached"  # every endpoint as this gateway last stored it, possibly stale
    ERROR = "error"  # a poll or the subscription failed; the previous list stays in use


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server as listed.

    Attributes:
        id: Number that is compared and never interpreted.
        status: Whether new requests may go there.
        weight: Relative capacity, above 0.
        zone: Index of its zone in the settings, from 0.
        group: Number of its deduplication group.
        kind: Index of its hardware kind in the settings, from 0.
        started_us: When it started, on the caller's clock in microseconds; 0 for long ago.
    """

    id: int
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0
