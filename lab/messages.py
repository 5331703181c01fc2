"""Messages between a run and its child processes: commands, one on a line, and their answers."""

from __future__ import annotations

from typing import Any, ClassVar, Generic, TypeVar

import msgspec

AnswerT = TypeVar("AnswerT")
Address = tuple[str, int]
# Seconds after the start; the endpoints' new status, or "down" or "up" for discovery; the endpoints' numbers.
TimedChange = tuple[float, str, list[int]]


class Command(msgspec.Struct, Generic[AnswerT], frozen=True, tag_field="do"):
    """A command; its answer is decoded as `answer_type`."""

    answer_type: ClassVar[Any] = None


class Answer(msgspec.Struct, frozen=True):
    """An answer with several fields."""


# Commands to the stand-in for discovery


class StartDiscovery(Command[dict[str, str]], frozen=True, tag="listen"):
    """Start listening; the answer is the address for each kind of gateway."""

    answer_type: ClassVar[Any] = dict[str, str]


class ListState(Answer, frozen=True):
    """The state of the endpoint list.

    Attributes:
        index: The list's index.
        bytes: The length of the encoded list.
    """

    index: int
    bytes: int


class SetFleet(Command[ListState], frozen=True, tag="fleet"):
    """Replace the listed fleet.

    Attributes:
        endpoints: The number of endpoints.
        port: The port of every endpoint.
    """

    answer_type: ClassVar[Any] = ListState
    endpoints: int
    port: int


class PlayChanges(Command[None], frozen=True, tag="play"):
    """Play changes at their times; the answer comes at once.

    Attributes:
        changes: The changes in the order of their times.
        start_ns: The time of the monotonic clock from which the changes' times count.
    """

    changes: list[TimedChange]
    start_ns: int


class AwaitChanges(Command[None], frozen=True, tag="played"):
    """Wait until all changes have been played."""


class RestoreEndpoints(Command[None], frozen=True, tag="restore"):
    """Set every endpoint to active again."""


class ChangeStatus(Command[int], frozen=True, tag="change"):
    """Change one endpoint's status; the answer is the monotonic time in ns just before it is sent."""

    answer_type: ClassVar[Any] = int
    endpoint: int
    status: str


class WrittenChange(Answer, frozen=True):
    """A change of an endpoint, in the form that gateways receive.

    Attributes:
        endpoint_id: The endpoint's id at the gateways.
        status: The endpoint's new status at the gateways.
        started_us: When the endpoint started, in microseconds since the epoch.
        written_ns: The time of the monotonic clock just before the change was written to the watches.
    """

    endpoint_id: int
    status: str
    started_us: int
    written_ns: int


class FetchWrittenChanges(Command[list[WrittenChange]], frozen=True, tag="written"):
    """Return the changes that were written to the watches since the previous command of this kind."""

    answer_type: ClassVar[Any] = list[WrittenChange]


class RegistryCounters(Answer, frozen=True):
    """Discovery's counters for one kind of gateway.

    Attributes:
        calls: Requests for the list or a watch.
        turned_away: Requests that were answered 503 because the queue was too long.
        bytes: Bytes sent.
        messages: Lists and changes sent.
        watches: Watches that are open now.
    """

    calls: int
    turned_away: int
    bytes: int
    messages: int
    watches: int


class RegistryStats(Answer, frozen=True):
    """Discovery's counters.

    Attributes:
        index: The list's index.
        late: How late changes were played, as an encoded histogram.
        counters: The counters by kind of gateway.
    """

    index: int
    late: str
    counters: dict[str, RegistryCounters]


class ReadRegistryStats(Command[RegistryStats], frozen=True, tag="stats"):
    """Return the counters."""

    answer_type: ClassVar[Any] = RegistryStats


RegistryCommand = (
    StartDiscovery
    | SetFleet
    | PlayChanges
    | AwaitChanges
    | RestoreEndpoints
    | ChangeStatus
    | FetchWrittenChanges
    | ReadRegistryStats
)

# Commands to the stand-in for endpoints


class StartEndpoints(Command[dict[str, int]], frozen=True, tag="listen"):
    """Start listening; the answer is the port for each target.

    Attributes:
        seed: The seed of the service times.
    """

    answer_type: ClassVar[Any] = dict[str, int]
    seed: int


class ListIdle(Command[list[tuple[int, int]]], frozen=True, tag="idle"):
    """Return the numbers of endpoints that have idle connections from gateways, each with their count."""

    answer_type: ClassVar[Any] = list[tuple[int, int]]


class WatchIdle(Command[int], frozen=True, tag="watch"):
    """Watch the idle connections to an endpoint; the answer is their count."""

    answer_type: ClassVar[Any] = int
    endpoint: int


class Closes(Answer, frozen=True):
    """When watched connections were closed.

    Attributes:
        after_us: For each connection closed since the given time, the microseconds from then to the close.
        standing: The number of connections that are still open.
    """

    after_us: list[float]
    standing: int


class ReadCloses(Command[Closes], frozen=True, tag="closes"):
    """Return which watched connections of an endpoint were closed since a time of the monotonic clock."""

    answer_type: ClassVar[Any] = Closes
    endpoint: int
    since_ns: int


class EndpointCounters(Answer, frozen=True):
    """The counters of one target's connections.

    Attributes:
        requests: Requests with a valid id.
        connections: Connections accepted.
        bytes: Bytes received and sent.
        bad: Requests with an invalid id, and requests sent before the previous answer.
    """

    requests: int
    connections: int
    bytes: int
    bad: int


class EndpointStats(Answer, frozen=True):
    """The endpoints' counters.

    Attributes:
        late: How late answers were sent, as an encoded histogram.
        counters: The counters by target.
    """

    late: str
    counters: dict[str, EndpointCounters]


class ReadEndpointStats(Command[EndpointStats], frozen=True, tag="stats"):
    """Return the counters."""

    answer_type: ClassVar[Any] = EndpointStats


EndpointCommand = StartEndpoints | ListIdle | WatchIdle | ReadCloses | ReadEndpointStats

# Commands to the clients


class PlayRequests(Command[None], frozen=True, tag="play"):
    """Send seeded requests; the answer comes at once.

    Attributes:
        seed: The seed of the requests.
        rate: Requests per second through all gateways together; as many are sent directly to endpoints.
        seconds: How long requests are sent.
        routes: The number of routes.
        tenants: The number of tenants.
        first: The id of the first request.
        warm: Seconds from the start in which requests are not counted.
        gateways: The addresses of the gateways.
        direct: The addresses of the endpoints to which requests are sent directly; none if empty.
    """

    seed: int
    rate: float
    seconds: float
    routes: int
    tenants: int
    first: int
    warm: float
    gateways: list[Address]
    direct: list[Address]


class TargetResult(Answer, frozen=True):
    """The results of the requests to one target.

    Attributes:
        counts: The number of requests by outcome.
        latency: The latency of the requests with status 200, as an encoded histogram.
        bytes: Bytes sent and received.
    """

    counts: dict[str, int]
    latency: str
    bytes: int


class ClientResult(Answer, frozen=True):
    """The results of all requests.

    Attributes:
        late: How late requests were sent, as an encoded histogram.
        targets: The results by target.
    """

    late: str
    targets: dict[str, TargetResult]


class AwaitRequests(Command[ClientResult], frozen=True, tag="played"):
    """Wait until all requests have ended, and return their results."""

    answer_type: ClassVar[Any] = ClientResult


ClientCommand = PlayRequests | AwaitRequests
