"""Requests at a gateway, and the attempts that the gateway makes for them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from lab.model.job import Job
from lab.model.scenario import TrafficClass
from load_balancer.decisions.events import Outcome


class RequestEnd(Enum):
    """How a client's request ended; stored results count requests under these values."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHABLE = "unreachable"  # no gateway was found, or it ended before its answer
    LOST = "lost"  # no final answer by the deadline


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint.

    Attributes:
        endpoint_index: Index of the endpoint.
        sent_us: Time at which it was sent.
        outcome: How it ended; None while it is in flight.
        connection_epoch: Epoch of the endpoint process that holds its connection; None without one.
        job: The job at the endpoint; None if none was sent.
    """

    endpoint_index: int
    sent_us: int
    outcome: Outcome | None = None
    connection_epoch: int | None = None
    job: Job | None = None


@dataclass(slots=True, eq=False)
class GatewayRequest:
    """One try of a client's request at a gateway; each retry is a new one.

    Attributes:
        id: Id of the request at the gateway.
        workload_row: Row of the client's request in the workload.
        try_number: 0 for the first try, then the number of the retry.
        gateway_index: Index of the gateway; -1 if none was found.
        request_class: Request class.
        deadline_us: Time by which the client needs an answer.
        attempts: Attempts so far.
        finished: Whether the try has ended.
        answered: Whether the gateway has rejected or failed the request.
    """

    id: str
    workload_row: int
    try_number: int
    gateway_index: int
    request_class: TrafficClass
    deadline_us: int
    attempts: list[Attempt] = field(default_factory=list)
    finished: bool = False
    answered: bool = False
