"""Stand-ins for discovery, statement servers and clients, and the start of real gateways, for review cases.

Everything runs on loopback addresses with the standard library alone. Each stand-in follows the operators'
pages; a case replaces the behaviour that its disruption concerns.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import select
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
# Exit codes of a case's program; run.sh turns BROKEN into 1, and all but HELD and BROKEN into 2.
HELD = 0
BROKEN = 10
COULD_NOT_RUN = 2
READY_TIMEOUT_S = 30.0
ANSWER_GRACE_S = 0.5  # up to this long after its time an answer only earns nothing; later it is lost
SOCKET_SLACK_S = 0.05  # on sockets every time limit is 50 ms longer
DISCOVERY_HOST = "127.0.2.1"
NO_ANSWER = "no answer in its time"


class CouldNotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, one event a line, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def write(self, *parts: object) -> None:
        """Write one event."""
        self._file.write(f"{self.now():9.4f} {' '.join(str(part) for part in parts)}\n")

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer: its first line, its headers by lower-case name, and its body."""

    line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The id of a request; empty without one."""
        return self.headers.get("request-id", "")

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a length or without a body; None if the connection ends before it is whole."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return Message(line, headers, body)


def has_left(writer: asyncio.StreamWriter) -> bool:
    """Return whether the other side has closed its connection or its sending side."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def encode_answer(status: int, body: bytes, *fields: str) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *fields, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


# Statement servers


class StatementServer:
    """A statement server that runs each request for a while and answers it.

    Attributes:
        runs: The ids of the requests that it has run, each with the seconds at which it began.
        answer: Answers a request; a case may replace it. It returns whether the connection stays open.
    """

    def __init__(self, world: World, number: int, service_s: tuple[float, float], zone: str) -> None:
        self.world = world
        self.name = f"s-{number:08x}"
        self.host = f"127.0.3.{number + 1}"
        self.zone = zone
        self.port = 0
        self.service_s = service_s
        self.runs: list[tuple[float, str]] = []
        self.answer: Callable[[StatementServer, Message, asyncio.StreamWriter], Awaitable[bool]] = (
            StatementServer.answer_whole
        )
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, status: str = "active") -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "name": self.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "type": "m1",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while (request := await read_message(reader)) is not None:
                self.runs.append((self.world.record.now(), request.request_id))
                self.world.record.write("run", request.request_id, "at", self.name)
                if not await self.answer(self, request, writer):
                    break
        writer.close()

    async def work(self) -> None:
        """Work on a request."""
        await asyncio.sleep(self.world.random.uniform(*self.service_s))

    def body_for(self, request: Message) -> bytes:
        """Return the body of an answer, which names its request and is unlike any other."""
        number = self.world.next_answer()
        return json.dumps({"made_for": request.request_id, "by": self.name, "answer": number}).encode()

    async def answer_whole(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer 200 with a length, as a sound server does."""
        await self.work()
        writer.write(encode_answer(200, self.body_for(request)))
        self.world.record.write("answered", request.request_id, "by", self.name)
        return True


# Discovery


class Discovery:
    """Discovery: answers calls for the whole list and keeps watches.

    Attributes:
        index: The list's version.
        entries: The listed entries by name.
        before_answer: Awaited before each call is answered; a case may replace it.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.index = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.port = 0
        self.before_answer: Callable[[], Awaitable[None]] | None = None
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Where gateways connect."""
        return f"{DISCOVERY_HOST}:{self.port}"

    async def start(self) -> None:
        """Begin to accept connections."""
        self._server = await asyncio.start_server(self._serve, DISCOVERY_HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def message(self, entries: list[dict[str, Any]], snapshot: bool) -> bytes:
        """Return a list or a change on one line."""
        return json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries, and write the change to every watch."""
        self.index += 1
        for entry in entries:
            self.entries[entry["name"]] = entry
            if entry["status"] == "left":
                del self.entries[entry["name"]]
        self.world.record.write("told", [(entry["name"], entry["status"]) for entry in entries])
        for writer in list(self._watches):
            self._write_chunk(writer, self.message(list(entries), snapshot=False))

    @staticmethod
    def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while (call := await read_message(reader)) is not None:
                self.world.record.write("call", call.line)
                if self.before_answer is not None:
                    await self.before_answer()
                whole = self.message(list(self.entries.values()), snapshot=True)
                if "stream=1" in call.line:
                    await self._watch(writer, whole)
                    break
                writer.write(encode_answer(200, whole))
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, first: bytes) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_chunk(writer, first)
        self._watches.add(writer)
        try:
            while not writer.is_closing():
                await writer.drain()
                await asyncio.sleep(2.0)
                self._write_chunk(writer, b"\n")
        finally:
            self._watches.discard(writer)


# Gateways


@dataclass
class Gateway:
    """A real gateway, started by the line `run` of the deploy file."""

    name: str
    host: str
    port: int
    config_path: Path
    process: asyncio.subprocess.Process

    @property
    def address(self) -> tuple[str, int]:
        """Where clients connect."""
        return self.host, self.port


# Clients


@dataclass
class Sent:
    """A request of a client and what came back: the status, 0 for nothing, and the body.

    It is taken once its last byte is written to a connection that the gateway's machine accepted.
    """

    request_id: str
    request_class: str
    timeout_s: float
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    end: str = ""
    taken: bool = False

    @property
    def took_s(self) -> float:
        """The time from sending to the last byte of the answer or the end of waiting."""
        return self.ended_at - self.sent_at

    @property
    def made_for(self) -> str:
        """The id of the request that the body was made for; empty if it names none."""
        try:
            return str(json.loads(self.body)["made_for"])
        except (ValueError, KeyError, TypeError):
            return ""


@dataclass
class Lane:
    """How clients send requests of one class."""

    name: str
    method: str
    timeout_s: float
    has_key: bool


class Clients:
    """Clients of one gateway, which keep their connections and send one request at a time on each."""

    def __init__(self, world: World, gateway: Gateway) -> None:
        self.world = world
        self.gateway = gateway
        self.fields_on_new: tuple[str, ...] = ()  # further header fields of the first request on a connection
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        world.clients.append(self)

    def close(self) -> None:
        """Close the kept connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

    def encode(self, lane: Lane, request_id: str, body: bytes = b"", fields: tuple[str, ...] = ()) -> bytes:
        """Return the bytes of a request, with further header fields."""
        lines = [
            f"{lane.method} /{lane.name}/x?user={request_id[-4:]} HTTP/1.1",
            "Host: service.internal",
            *fields,
            f"Request-Id: {request_id}",
            f"Request-Class: {lane.name}",
            f"Tenant: {self.world.tenant}",
            f"Request-Timeout-Ms: {int(lane.timeout_s * 1000)}",
        ]
        if lane.has_key:
            lines.append(f"Idempotency-Key: {request_id}")
        if lane.method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def send(self, lane: Lane, body: bytes = b"") -> Sent:
        """Send one request and wait for its answer until half a second after its time."""
        world = self.world
        sent = Sent(world.next_id(), lane.name, lane.timeout_s, world.record.now())
        world.sent.append(sent)
        world.record.write("sent", sent.request_id, lane.name, "to", self.gateway.name)
        try:
            async with asyncio.timeout(lane.timeout_s + ANSWER_GRACE_S + SOCKET_SLACK_S):
                answer = await self._exchange(lane, body if lane.method != "GET" else b"", sent)
            if answer is not None:
                sent.status, sent.body = answer.status, answer.body
        except TimeoutError:
            sent.end = NO_ANSWER
        except ConnectionError:
            sent.end = "unreachable"
        sent.ended_at = world.record.now()
        world.record.write(
            "got", sent.request_id, sent.status, sent.body[:80].decode("latin-1").strip(), sent.end
        )
        return sent

    async def _exchange(self, lane: Lane, body: bytes, sent: Sent) -> Message | None:
        while True:
            is_reused = bool(self._idle)
            reader, writer = self._idle.pop() if is_reused else await self.connect()
            answer = None
            try:
                fields = () if is_reused else self.fields_on_new
                writer.write(self.encode(lane, sent.request_id, body, fields))
                await writer.drain()
                sent.taken = True
                answer = await read_message(reader)
            finally:
                if answer is None:
                    writer.close()
            if answer is not None:
                if answer.headers.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self._idle.append((reader, writer))
                return answer
            if not is_reused:  # a closing that crosses a request on a kept connection: sent once more
                sent.end = "closed without an answer"
                return None

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(*self.gateway.address)

    async def offer(self, rate: float, seconds: float, lanes: list[Lane]) -> list[Sent]:
        """Send requests at random times for some seconds, and wait until all have ended."""
        world = self.world
        tasks = []
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            lane = world.random.choice(lanes)
            tasks.append(asyncio.create_task(self.send(lane, b"x" * 64)))
            await asyncio.sleep(world.random.expovariate(rate))
        return list(await asyncio.gather(*tasks))


# A deployment


@dataclass
class World:
    """A small deployment: discovery, statement servers and gateways, all on loopback."""

    folder: Path
    seed: int = 1
    server_count: int = 5
    gateway_count: int = 2
    service_s: tuple[float, float] = (0.03, 0.05)
    overrides: dict[str, Any] = field(default_factory=dict)
    record: Record = field(init=False)
    random: random.Random = field(init=False)
    servers: list[StatementServer] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)
    clients: list[Clients] = field(default_factory=list)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    tenant: str = ""

    def __post_init__(self) -> None:
        self.record = Record(self.folder / "record.txt")
        self.random = random.Random(self.seed)
        self.discovery = Discovery(self)
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        example = json.loads((ROOT / "deploy" / "example.json").read_text(encoding="utf-8"))
        self.config = example
        self.settings = example["settings"]
        for key, value in self.overrides.items():
            if isinstance(value, dict):
                self.settings[key] = {**self.settings[key], **value}
            else:
                self.settings[key] = value
        self.settings["balancers"] = self.gateway_count
        self.tenant = self.settings["tenants"][0]["name"]
        self._next_id = 0
        self._next_answer = 0

    def lane(self, effect: str, timeout_s: float | None = None) -> Lane:
        """Return how clients send requests of the class with an effect."""
        raw = next(lane for lane in self.settings["lanes"] if lane["effect"] == effect)
        method = "GET" if effect == "free" else "POST"
        return Lane(raw["name"], method, timeout_s or raw["giveUpUs"] / 1e6, effect == "guarded")

    def next_answer(self) -> int:
        """Return a fresh number for an answer."""
        self._next_answer += 1
        return self._next_answer

    def next_id(self) -> str:
        """Return a fresh request id."""
        self._next_id += 1
        return f"{self.seed:08x}{self._next_id:08x}"

    async def __aenter__(self) -> World:
        await self.discovery.start()
        zones = self.settings["zones"]
        for number in range(self.server_count):
            server = StatementServer(self, number, self.service_s, zones[number % len(zones)])
            await server.start()
            self.servers.append(server)
            self.discovery.entries[server.name] = server.entry()
        return self

    async def __aexit__(self, *_: object) -> None:
        for gateway in self.gateways:
            await self.end(gateway)
        for clients in self.clients:
            clients.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.1)  # the stand-ins read the ends of their connections
        self.record.close()
        shutil.rmtree(self.scratch, ignore_errors=True)

    async def end(self, gateway: Gateway) -> None:
        """Kill a gateway if it still runs, and wait for its end."""
        with contextlib.suppress(ProcessLookupError):
            gateway.process.kill()
        await gateway.process.wait()

    def write_config(self, number: int, listen: str, **changes: Any) -> Path:
        """Write the configuration file of a gateway."""
        path = self.scratch / f"gateway-{number}.json"
        document = {
            **self.config,
            "name": f"gateway-{number}",
            "listen": listen,
            "discovery": self.discovery.address,
            "seed": f"{self.random.getrandbits(64):016x}",
            "settings": {**self.settings, "index": number},
            **changes,
        }
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    async def start_gateway(self, number: int, wait_ready: bool = True, **changes: Any) -> Gateway:
        """Start a gateway as the operators do, with changes to its file, and wait until it is ready."""
        host = f"127.0.1.{number + 1}"
        with socket.create_server((host, 0)) as reserved:
            port = reserved.getsockname()[1]
        path = self.write_config(number, f"{host}:{port}", **changes)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
        environ |= {"ROUTER_CONFIG": str(path), "ROUTER_LOG": "json", "TMPDIR": str(self.scratch)}
        with (self.scratch / f"gateway-{number}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )
        gateway = Gateway(f"gateway-{number}", host, port, path, process)
        self.gateways.append(gateway)
        if wait_ready:
            await self.await_ready(gateway, READY_TIMEOUT_S)
        return gateway

    def log_of(self, number: int) -> str:
        """Return the log of a gateway."""
        return (self.scratch / f"gateway-{number}.log").read_text(encoding="utf-8", errors="replace")

    async def await_ready(self, gateway: Gateway, timeout_s: float) -> None:
        """Wait until the readiness check of a gateway answers 200."""
        ends = time.monotonic() + timeout_s
        while not await is_ready(gateway):
            if gateway.process.returncode is not None or time.monotonic() > ends:
                raise CouldNotRunError(f"{gateway.name} is not ready")
            await asyncio.sleep(0.05)
        self.record.write("ready", gateway.name)

    async def start_gateways(self) -> list[Clients]:
        """Start all gateways, and return clients for each."""
        gateways = await asyncio.gather(*(self.start_gateway(n) for n in range(self.gateway_count)))
        return [Clients(self, gateway) for gateway in gateways]

    def crashed(self) -> list[str]:
        """Return the names of the gateways that have ended."""
        return [each.name for each in self.gateways if each.process.returncode is not None]


async def is_ready(gateway: Gateway) -> bool:
    """Return whether a readiness check answers 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*gateway.address)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
    except (OSError, TimeoutError):
        return False
    return answer is not None and answer.status == 200


def unanswered(world: World) -> list[str]:
    """Return a line for each request that was taken and had no answer half a second after its time.

    One whose connection could not be opened was not taken, and one whose connection was ended may not have
    been read: neither counts.
    """
    return [
        f"{sent.request_id} ({sent.request_class}, {sent.timeout_s:g} s): {sent.end} ({sent.took_s:.2f} s)"
        for sent in world.sent
        if sent.taken and sent.status == 0 and sent.end == NO_ANSWER
    ]


def play(
    case: Callable[[World, bool], Awaitable[list[str]]], folder: Path, limit_s: float, **world: Any
) -> None:
    """Play a case and exit with BROKEN if it returns breaks of its rule, else with HELD or COULD_NOT_RUN.

    Args:
        case: Plays a deployment, with or without the disruption, and returns the breaks that it saw.
        folder: The case's folder, for its record.
        limit_s: The longest time that it may take.
        world: Arguments of the deployment.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s), World(folder, **world) as deployment:
            breaks = await case(deployment, with_trouble)
            for line in breaks or ["the rule held"]:
                deployment.record.write("result", line)
            return breaks

    try:
        breaks = asyncio.run(run())
    except (CouldNotRunError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    except Exception as error:  # a fault of the case itself is no break of a rule
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    for line in breaks[:10]:
        print(f"broken: {line}")
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(BROKEN if breaks else HELD)
