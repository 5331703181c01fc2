"""Messages between a run and its child processes: a command a line, and its answer."""

from __future__ import annotations

from typing import Any, ClassVar, Generic, TypeVar

import msgspec

AnswerT = TypeVar("AnswerT")
Address = tuple[str, int]
TimedChange = tuple[float, str, list[int]]  # seconds after the start, what, endpoint numbers


class Command(msgspec.Struct, Generic[AnswerT], frozen=True, tag_field="do"):
    """A command; `answer_type` is what its answer is decoded to."""

    answer_type: ClassVar[Any] = None


class Answer(msgspec.Struct, frozen=True):
    """An answer with several parts."""


# Discovery


class StartDiscovery(Command[dict[str, str]], frozen=True, tag="listen"):
    """Answers the addresses, by kind of gateway."""

    answer_type: ClassVar[Any] = dict[str, str]


class ListState(Answer, frozen=True):
    """The index of the list, and its length in bytes."""

    index: int
    bytes: int


class SetFleet(Command[ListState], frozen=True, tag="fleet"):
    """List another fleet."""

    answer_type: ClassVar[Any] = ListState
    endpoints: int
    port: int


class PlayChanges(Command[None], frozen=True, tag="play"):
    """Play changes at their times; answers at once."""

    changes: list[TimedChange]
    start_ns: int


class AwaitChanges(Command[None], frozen=True, tag="played"):
    """Answers once all changes have been played."""


class RestoreEndpoints(Command[None], frozen=True, tag="restore"):
    """Every endpoint is active again."""


class ChangeStatus(Command[int], frozen=True, tag="change"):
    """Change one endpoint's status; answers when the first watch was sent it, monotonic nanoseconds."""

    answer_type: ClassVar[Any] = int
    endpoint: int
    status: str


class WrittenChange(Answer, frozen=True):
    """A change as gateways know it, and when it was written to the watches."""

    endpoint_id: int
    status: str
    started_us: int
    written_ns: int


class FetchWrittenChanges(Command[list[WrittenChange]], frozen=True, tag="written"):
    """Answers the changes written since the last call."""

    answer_type: ClassVar[Any] = list[WrittenChange]


class RegistryCounters(Answer, frozen=True):
    """What discovery has had to do with one kind of gateways."""

    calls: int
    turned_away: int
    bytes: int
    messages: int
    watches: int


class RegistryStats(Answer, frozen=True):
    """Discovery's counters, by kind of gateways; `late` is a histogram's text."""

    index: int
    late: str
    counters: dict[str, RegistryCounters]


class ReadRegistryStats(Command[RegistryStats], frozen=True, tag="stats"):
    """Answers the counters."""

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

# Statement servers


class StartEndpoints(Command[dict[str, int]], frozen=True, tag="listen"):
    """Answers the ports, by target."""

    answer_type: ClassVar[Any] = dict[str, int]
    seed: int


class ListIdle(Command[list[tuple[int, int]]], frozen=True, tag="idle"):
    """Answers the endpoints with idle connections of gateways, and how many."""

    answer_type: ClassVar[Any] = list[tuple[int, int]]


class WatchIdle(Command[int], frozen=True, tag="watch"):
    """Watch the idle connections of an endpoint; answers how many."""

    answer_type: ClassVar[Any] = int
    endpoint: int


class Closes(Answer, frozen=True):
    """Microseconds until watched connections were closed, and how many still stand."""

    after_us: list[float]
    standing: int


class ReadCloses(Command[Closes], frozen=True, tag="closes"):
    """Answers what became of the watched connections since a time."""

    answer_type: ClassVar[Any] = Closes
    endpoint: int
    since_ns: int


class EndpointCounters(Answer, frozen=True):
    """What came from one target's connections."""

    requests: int
    connections: int
    bytes: int
    bad: int


class EndpointStats(Answer, frozen=True):
    """The statement servers' counters; `late` is a histogram's text."""

    late: str
    counters: dict[str, EndpointCounters]


class ReadEndpointStats(Command[EndpointStats], frozen=True, tag="stats"):
    """Answers the counters."""

    answer_type: ClassVar[Any] = EndpointStats


EndpointCommand = StartEndpoints | ListIdle | WatchIdle | ReadCloses | ReadEndpointStats

# Clients


class PlayRequests(Command[None], frozen=True, tag="play"):
    """Send seeded requests; answers at once."""

    seed: int
    rate: float  # a second, through all gateways
    seconds: float
    routes: int
    tenants: int
    first: int  # request id
    warm: float  # seconds that are not counted
    gateways: list[Address]
    direct: list[Address]


class TargetResult(Answer, frozen=True):
    """What came of the requests to a target; `latency` is a histogram's text."""

    counts: dict[str, int]
    latency: str
    bytes: int


class ClientResult(Answer, frozen=True):
    """What came of all requests."""

    late: str
    targets: dict[str, TargetResult]


class AwaitRequests(Command[ClientResult], frozen=True, tag="played"):
    """Answers once all requests have ended."""

    answer_type: ClassVar[Any] = ClientResult


ClientCommand = PlayRequests | AwaitRequests
