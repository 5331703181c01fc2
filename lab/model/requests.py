"""A request as a gateway sees it, and the attempts that the gateway makes for it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lab.model.job import Job
from lab.model.scenario import TrafficClass
from load_balancer.decisions.events import Outcome


class RequestEnd(Enum):
    """How a client's request ended; results count them under these words."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"  # there was no gateway to answer
    LOST = "lost"  # no answer in time


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to an endpoint."""

    endpoint_index: int
    sent_us: int
    outcome: Outcome | None = None
    connection_epoch: int | None = None  # the endpoint's process that holds the connection
    job: Job | None = None


@dataclass(slots=True, eq=False)
class GatewayRequest:
    """One request at one gateway: a client's retry is another."""

    id: str
    workload_row: int  # its row in the workload
    try_number: int  # 0, or the number of the client's retry
    gateway_index: int  # -1: no gateway was found
    request_class: TrafficClass
    deadline_us: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    answered: bool = False  # by a final answer of the gateway's own
