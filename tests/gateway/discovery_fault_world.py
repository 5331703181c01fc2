"""A deployment of one gateway's process, whose discovery spoils, delays and repeats what it sends.

The stand-ins record what discovery had written whole and when, and each request that reaches an endpoint.
`World.violations` compares the two.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.gateway.configurations import configuration, request_class_settings, settings
from tests.gateway.http_client import encode_request
from tests.gateway.process_helpers import connect, reserved_port, start_process
from tests.gateway.stub_discovery import WATCH_HEAD, encode_chunk, endpoint_entry
from tests.gateway.stub_server import StubServer, read_head, read_message

DRAIN_GRACE_S = 0.5
SOCKET_SLACK_S = 0.05
HOLD_UP_S = 0.15  # how long a gateway may be held up before it writes
CHANGE_DEADLINE_S = 6.0  # after this a change counts as known, whether or not it was received whole
CLIENT_TIMEOUT_S = 1.0
ENDPOINT_COUNT = 6
FIRST_INDEX = 100
STATUSES = ("active", "leaving", "left")

Statuses = dict[str, str]


@dataclass(frozen=True)
class Version:
    """The list at one index: the status of each endpoint, and when it came to be."""

    index: int
    made_at: float
    statuses: Statuses


@dataclass(frozen=True)
class Arrival:
    """A request that reached an endpoint."""

    endpoint: str
    at: float


@dataclass(frozen=True)
class Told:
    """An index up to which everything has been written to the gateway, and when."""

    index: int
    at: float


class RecordingEndpoint(StubServer):
    """An endpoint that answers each request after some milliseconds, whatever discovery says of it."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__()
        self.world = world
        self.name = name

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_message(reader)
            self.world.arrivals.append(Arrival(self.name, time.monotonic()))
            await asyncio.sleep(self.world.random.uniform(0.005, 0.03))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class FaultyDiscovery(StubServer):
    """A discovery whose messages are right, spoilt, late or old, by chance.

    Attributes:
        fault_share: Share of the messages and calls that suffer a fault.
        open_watches: The watches that are told of changes, and the index that each was sent up to.
    """

    def __init__(self, world: World, fault_share: float) -> None:
        super().__init__()
        self.world = world
        self.fault_share = fault_share
        self.open_watches: dict[asyncio.StreamWriter, int] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request_line, _ = await read_head(reader)
            await asyncio.sleep(self.world.random.uniform(0.0, 0.03))
            if self._has_fault(0.5):
                self.world.note_disturbance(f"503 to {request_line}")
                writer.write(b"HTTP/1.1 503 Any\r\nContent-Length: 0\r\n\r\n")
            elif "stream=1" in request_line:
                await self._watch(request_line, writer, reader)
                return
            else:
                self._answer_poll(writer)

    def tell_change(self) -> None:
        """Write what has changed to each open watch, since the index that it was sent up to."""
        for writer, since in list(self.open_watches.items()):
            self._write_line(writer, self.world.change(since), since, can_be_silent=True)

    def _has_fault(self, factor: float = 1.0) -> bool:
        return self.world.random.random() < self.fault_share * factor

    async def _watch(
        self, request_line: str, writer: asyncio.StreamWriter, reader: asyncio.StreamReader
    ) -> None:
        since = int(request_line.split("index=")[1].split()[0])
        writer.write(WATCH_HEAD)
        self.open_watches[writer] = 0
        if FIRST_INDEX <= since <= self.world.latest.index and self.world.random.random() < 0.5:
            self._write_line(writer, self.world.change(since), since)
        else:
            self._write_line(writer, self.world.complete(), 0)
        blank_lines = asyncio.create_task(self._write_blank_lines(writer))
        await reader.read()
        blank_lines.cancel()
        self.open_watches.pop(writer, None)
        writer.close()

    async def _write_blank_lines(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2.0)
            if writer in self.open_watches:  # a silent watch gets none
                writer.write(encode_chunk("\n"))

    def _answer_poll(self, writer: asyncio.StreamWriter) -> None:
        message = self.world.complete()
        text = json.dumps(self._spoil(message) if self._has_fault() else self._whole(message, 0))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text.encode()))

    def _write_line(
        self, writer: asyncio.StreamWriter, message: dict[str, Any], since: int, can_be_silent: bool = False
    ) -> None:
        """Write a message or something else; a change applies to the list at the index `since`."""
        fault = "none"
        if self._has_fault():
            last = "silent" if can_be_silent else "spoilt"
            fault = self.world.random.choice(["spoilt", "spoilt", "ended", last])
        if fault == "ended":
            writer.write(b"0\r\n\r\n")
            writer.close()
        if fault in ("ended", "silent"):
            del self.open_watches[writer]
            self.world.note_disturbance(f"watch {fault}")
            return
        sent = self._spoil(message) if fault == "spoilt" else self._whole(message, since)
        indent = self.world.random.choice([None, None, 1])
        text = sent if isinstance(sent, str) else json.dumps(sent, indent=indent)
        writer.write(encode_chunk(text + "\n"))
        self.open_watches[writer] = message["index"] if isinstance(sent, str) else sent["index"]

    def _whole(self, message: dict[str, Any], since: int) -> dict[str, Any]:
        """Record that a message is written whole; it tells of nothing if it applies to a list never told."""
        if since <= self.world.told_index:
            self.world.told.append(Told(message["index"], time.monotonic()))
        self.world.note("wrote " + json.dumps(message))
        return message

    def _spoil(self, message: dict[str, Any]) -> dict[str, Any] | str:
        """Return a list that is older or can be read in part, or text that cannot be read."""
        spoilt = self._spoilt(message)
        self.world.note_disturbance("spoilt: " + json.dumps(spoilt))
        return spoilt

    def _spoilt(self, message: dict[str, Any]) -> dict[str, Any] | str:
        kind = self.world.random.choice(["cut", "text", "entry", "field", "older"])
        if kind == "older" and self.world.latest.index > FIRST_INDEX:
            back = self.world.random.randint(1, min(3, self.world.latest.index - FIRST_INDEX))
            return self.world.complete(self.world.latest.index - back)
        if kind == "cut":
            text = json.dumps(message)
            return text[: len(text) // 2]
        if kind in ("entry", "field") and message["endpoints"]:
            spoilt = self.world.random.randrange(len(message["endpoints"]))
            entries = list(message["endpoints"])
            entries[spoilt] = 7 if kind == "entry" else {**entries[spoilt], "weight": "heavy"}
            return {**message, "endpoints": entries}
        return "no list"


@dataclass
class World:
    """The stand-ins, what they recorded, and the seeded chance.

    Attributes:
        seed: Of the random draws.
        fault_share: Share of the messages and calls of discovery that suffer a fault.
        versions: The list at each index, the first one first.
        told: What was written whole to the gateway.
        arrivals: The requests that reached endpoints.
        disturbances: When discovery had a fault or the gateway was started.
        record: What discovery did: wall clock, seconds since the start and the event.
        statuses: The status of each client's request, 0 for one without an answer in time.
    """

    seed: int
    fault_share: float
    random: random.Random = field(init=False)
    versions: list[Version] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    endpoints: dict[str, RecordingEndpoint] = field(default_factory=dict)
    record: list[str] = field(default_factory=list)
    disturbances: list[float] = field(default_factory=list)

    def note(self, what: str) -> None:
        """Add a line to the record."""
        self.record.append(f"{time.time():.3f} {time.monotonic() - self.versions[0].made_at:.3f} {what}")

    def note_disturbance(self, what: str) -> None:
        """Add a fault, or a start of the gateway, to the record."""
        self.disturbances.append(time.monotonic())
        self.note(what)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.endpoints = {f"h{n}": RecordingEndpoint(self, f"h{n}") for n in range(ENDPOINT_COUNT)}
        self.discovery = FaultyDiscovery(self, self.fault_share)
        self.versions = [Version(FIRST_INDEX, time.monotonic(), dict.fromkeys(self.endpoints, "active"))]

    @property
    def latest(self) -> Version:
        """The list in force at discovery."""
        return self.versions[-1]

    @property
    def told_index(self) -> int:
        """The index up to which everything has been written to the gateway."""
        return max((told.index for told in self.told), default=FIRST_INDEX)

    def entry(self, name: str, status: str) -> dict[str, object]:
        """Return an endpoint's entry."""
        return endpoint_entry(name, self.endpoints[name].address, status)

    def complete(self, index: int | None = None) -> dict[str, Any]:
        """Return the complete list at an index; the latest one by default."""
        version = self.latest if index is None else self.versions[index - FIRST_INDEX]
        listed = [self.entry(name, status) for name, status in version.statuses.items() if status != "left"]
        return {"index": version.index, "snapshot": True, "endpoints": listed}

    def change(self, since: int) -> dict[str, Any]:
        """Return what has changed since an index."""
        old = self.versions[max(0, since - FIRST_INDEX)].statuses
        changed = [self.entry(n, status) for n, status in self.latest.statuses.items() if status != old[n]]
        return {"index": self.latest.index, "snapshot": False, "endpoints": changed}

    def make_change(self) -> None:
        """Change some endpoints, or all of them, and tell it."""
        statuses = dict(self.latest.statuses)
        whole_fleet = self.random.random() < 0.35
        names = list(statuses) if whole_fleet else self.random.sample(list(statuses), 2)
        status = self.random.choice(STATUSES)
        self.versions.append(
            Version(self.latest.index + 1, time.monotonic(), statuses | dict.fromkeys(names, status))
        )
        self.note(f"index {self.latest.index}: {self.latest.statuses}")
        self.discovery.tell_change()

    def known_list(self) -> dict[str, Any]:
        """Return the list that the gateway was last told of."""
        return self.complete(self.told_index)

    def violations(self) -> list[str]:
        """Return the requests that reached an endpoint which the gateway knew not to be ready.

        A change counts as known once it has been written whole, or after its deadline without a fault or a
        start: a new process is held to its cached list, and faults in a row may take longer.
        Any list from the one that it must know by then up to the latest one permits a request.
        """
        found = []
        for arrival in self.arrivals:
            known_before = arrival.at - DRAIN_GRACE_S - SOCKET_SLACK_S - HOLD_UP_S
            told = [each.index for each in self.told if each.at <= known_before]
            overdue_since = known_before - CHANGE_DEADLINE_S
            is_undisturbed = not any(overdue_since < at <= known_before for at in self.disturbances)
            overdue = [
                each.index for each in self.versions if is_undisturbed and each.made_at <= overdue_since
            ]
            must_know = max([FIRST_INDEX, *told, *overdue])
            permitting = [
                version.index
                for version in self.versions
                if version.index >= must_know
                and version.made_at <= arrival.at
                and version.statuses[arrival.endpoint] == "active"
            ]
            if not permitting:
                found.append(
                    f"{arrival.endpoint} at {arrival.at - self.versions[0].made_at:.2f} s, index {must_know}"
                )
        return found


@asynccontextmanager
async def running_world(world: World) -> AsyncIterator[World]:
    """Start the stand-ins, and stop them in the end."""
    servers: list[StubServer] = [*world.endpoints.values(), world.discovery]
    for server in servers:
        await server.start()
    yield world
    for server in servers:
        server.stop()


def world_configuration(world: World, port: int, membership_mode: str) -> dict[str, Any]:
    """Return the gateway's configuration, whose cached list is the one that it was last told of."""
    raw = {**settings(maxAttempts=4, connectTimeoutUs=300_000), "membershipMode": membership_mode}
    short = {"giveUpUs": int(CLIENT_TIMEOUT_S * 1e6), "aimUs": 200_000}
    effects = {"look": "free", "pay": "guarded", "buy": "single_shot"}
    raw["lanes"] = [request_class_settings(name, effect) | short for name, effect in effects.items()]
    raw["contract"] = {"mustAskInUs": 10_000_000, "stopSendingWithinUs": int(DRAIN_GRACE_S * 1e6)}
    return configuration(
        {}, world.discovery.address, listen=f"127.0.0.1:{port}", settings=raw, known=world.known_list()
    )


async def send_requests(world: World, port: int, interval_s: float) -> None:
    """Send requests of random classes until cancelled; one without an answer in time has status 0."""

    async def send_one(request_class: str) -> None:
        data = encode_request(request_class, Request_Timeout_Ms=str(int(CLIENT_TIMEOUT_S * 1000)))
        try:
            client = await connect(port)
        except ConnectionError:
            return  # the gateway is being started
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S + DRAIN_GRACE_S):
                world.statuses.append((await client.request(data))[0])
        except TimeoutError:
            world.statuses.append(0)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the gateway was killed
        finally:
            client.writer.close()

    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(send_one(world.random.choice(("look", "pay", "buy"))))
            await asyncio.sleep(interval_s)


async def play(world: World, path: Path, membership_mode: str, seconds: float, kills: int) -> None:
    """Run a gateway while discovery changes the list and has faults; kill it some times.

    In the last seconds there are no faults and the fleet is ready, so that requests are served again.

    Args:
        world: The stand-ins.
        path: Where the gateway's configuration is written.
        membership_mode: Whether the list is pushed or asked for.
        seconds: How long the faults last.
        kills: How often the gateway is killed meanwhile.
    """
    with reserved_port() as port:
        logs: list[bytes] = []
        clients = asyncio.create_task(send_requests(world, port, 0.01))
        for starts in range(kills + 1):
            path.write_text(json.dumps(world_configuration(world, port, membership_mode)))
            world.note_disturbance("gateway started")
            child, stderr = await start_process(path)
            log = asyncio.create_task(stderr.read())
            ends = time.monotonic() + seconds / (kills + 1)
            while time.monotonic() < ends:
                world.make_change()
                await asyncio.sleep(world.random.choice((0.2, 1.0, 2.5)))
            if starts < kills:
                child.send_signal(signal.SIGKILL)
                await child.wait()
                logs.append(await log)
        world.discovery.fault_share = 0.0
        ready = dict.fromkeys(world.endpoints, "active")
        world.versions.append(Version(world.latest.index + 1, time.monotonic(), ready))
        world.discovery.tell_change()
        await asyncio.sleep(CHANGE_DEADLINE_S + 1.0)
        world.statuses.append(-1)  # what follows must be served
        await asyncio.sleep(1.0)
        clients.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await clients
        assert child.returncode is None
        child.send_signal(signal.SIGKILL)
        await child.wait()
        logs.append(await log)
        (path.parent / "gateway.log").write_bytes(b"".join(logs))
        (path.parent / "world.txt").write_text("\n".join(world.record))
