"""A stand-in for discovery: the list and the watch, calls handled in turn, changes played at seeded times.

It listens twice, for real and for simulated gateways, so that what goes to each is counted apart.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable
from functools import partial
from typing import Any, assert_never
from urllib.parse import parse_qs

from lab import fleet
from lab.child import Handler, Hist, serve
from lab.messages import (
    AwaitChanges,
    ChangeStatus,
    ListenForCalls,
    ListState,
    PlayChanges,
    ReadRegistryStats,
    RegistryCommand,
    RegistryCounters,
    RegistryStats,
    RestoreEndpoints,
    SetFleet,
    TakeWritten,
    TimedChange,
    WrittenChange,
)
from lab.registry_connection import Call, chunk
from load_balancer.gateway.discovery_messages import STATUSES, endpoint_id_of

PATH = b"/registry/instances"
LISTEN_HOSTS = {"real": "127.0.0.2", "hollow": "127.0.0.3"}
FIRST_INDEX = 41
EMPTY_LINE_S = 2.0
CALLS_PER_S = 2_000.0  # what it handles in turn
LINES_PER_S = 2_000_000.0  # of lists
MAX_WAIT_S = 1.0  # a call that would wait for longer ends with 503


class Registry:
    """The list, its changes, and the connections that ask for it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.index = FIRST_INDEX
        self.oldest = FIRST_INDEX  # changes after this index are kept
        self.entries: dict[int, fleet.EndpointEntry] = {}  # by number; one that has left is not there
        self.template: list[fleet.EndpointEntry] = []
        self.changes: list[tuple[int, int, fleet.EndpointEntry]] = []  # index, number, entry as changed
        self.written: list[WrittenChange] = []  # since the last look
        self.open_calls: set[Call] = set()
        self.watches: dict[Call, None] = {}  # in order
        self.listeners: dict[str, asyncio.Server] = {}
        self.ports = dict.fromkeys(LISTEN_HOSTS, 0)
        self.free_at = 0.0  # when the calls taken by now are handled
        self.whole: tuple[int, bytes] = (-1, b"")
        self.late = Hist()
        self.stats: dict[str, dict[str, int]] = {
            kind: {"calls": 0, "turned_away": 0, "bytes": 0, "messages": 0} for kind in LISTEN_HOSTS
        }

    async def listen(self) -> dict[str, str]:
        """Listen; returns the addresses by kind of gateways."""
        for kind, host in LISTEN_HOSTS.items():
            create_call = partial(
                Call, kind, self.stats[kind], self.open_calls, self.watches, self.handle_call
            )
            server = await self.loop.create_server(
                create_call, host, self.ports[kind], backlog=1024, reuse_address=True
            )
            self.listeners[kind] = server
            self.ports[kind] = server.sockets[0].getsockname()[1]
        return {kind: f"{host}:{self.ports[kind]}" for kind, host in LISTEN_HOSTS.items()}

    def go_down(self) -> None:
        """Stop listening and close all connections."""
        for server in self.listeners.values():
            server.close()
        self.listeners.clear()
        for call in list(self.open_calls):
            call.abort()

    def set_fleet(self, servers: int, port: int) -> None:
        """Another fleet: what was known of the old one is over."""
        self.template = fleet.entries(servers, port)
        self.entries = dict(enumerate(map(dict, self.template)))
        self.index += 1
        self.oldest = self.index
        self.changes.clear()
        self.written.clear()
        for call in list(self.open_calls):
            call.abort()

    # Calls

    def handle_call(self, call: Call, target: bytes) -> None:
        """Handle a request in its turn, or turn it away."""
        path, _, query = target.partition(b"?")
        if path != PATH:
            call.answer(404)
            return
        self.stats[call.gateway_kind]["calls"] += 1
        parameters = parse_qs(query.decode("latin-1"))
        now = self.loop.time()
        self.free_at = max(now, self.free_at) + 1.0 / CALLS_PER_S
        if self.free_at - now > MAX_WAIT_S:
            self.free_at -= 1.0 / CALLS_PER_S
            self.stats[call.gateway_kind]["turned_away"] += 1
            self.loop.call_later(MAX_WAIT_S, call.answer, 503)
            return
        if parameters.get("stream") == ["1"]:
            text = parameters.get("index", [""])[0]
            since = int(text) if text.isascii() and text.isdigit() else -1
            self.loop.call_at(self.free_at, self.start_watch, call, since)
        else:
            self.free_at += len(self.entries) / LINES_PER_S
            self.loop.call_at(self.free_at, self.answer_list, call)

    def answer_list(self, call: Call) -> None:
        """Answer the whole list."""
        call.answer(200, self.whole_list())
        self.stats[call.gateway_kind]["messages"] += 1

    def whole_list(self) -> bytes:
        """The list of now; made once for each index."""
        if self.whole[0] != self.index:
            self.whole = (self.index, message(self.index, True, self.entries.values()))
        return self.whole[1]

    def start_watch(self, call: Call, since: int) -> None:
        """Begin a watch with what has changed since an index, or with the whole list."""
        if call.transport is None:
            return
        if self.oldest <= since <= self.index:
            latest = {number: entry for index, number, entry in self.changes if index > since}
            first = message(self.index, False, latest.values())
        else:
            first = self.whole_list()
        call.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first + b"\n"))
        self.stats[call.gateway_kind]["messages"] += 1
        self.watches[call] = None

    def keep_alive(self) -> None:
        """Send an empty line to all watches, now and again."""
        for call in self.watches:
            call.write(chunk(b"\n"))
        self.loop.call_later(EMPTY_LINE_S, self.keep_alive)

    # Changes

    def change(self, numbers: Iterable[tuple[int, str]], restarted: bool) -> int:
        """Notify all watches in one message; returns when the first was written: nanoseconds, monotonic."""
        self.index += 1
        changed = []
        for number, status in numbers:
            entry = dict(self.entries.get(number, self.template[number]), status=status)
            if status == "active" and restarted:
                entry["since_ms"] = time.time_ns() // 1_000_000
            if status == "left":
                self.entries.pop(number, None)
            else:
                self.entries[number] = entry
            changed.append(entry)
            self.changes.append((self.index, number, entry))
        line = chunk(message(self.index, False, changed) + b"\n")
        at_ns = time.monotonic_ns()
        for call in self.watches:
            call.write(line)
            self.stats[call.gateway_kind]["messages"] += 1
        for entry in changed if restarted else ():  # a probe's are seen at the stand-ins
            known_id, status = endpoint_id_of(entry["name"]), STATUSES[entry["status"]].value
            self.written.append(WrittenChange(known_id, status, entry["since_ms"] * 1000, at_ns))
        return at_ns

    def restore(self) -> None:
        """Every server is active again, at once."""
        away = [n for n in range(len(self.template)) if self.entries.get(n, {}).get("status") != "active"]
        if away:
            self.change(((n, "active") for n in away), restarted=True)

    async def play(self, changes: list[TimedChange], start_ns: int) -> None:
        """Carry out (seconds after the start, what, servers), each at its time."""
        for at_s, what, numbers in changes:
            wait_s = start_ns / 1e9 + at_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.late.add((time.monotonic() - start_ns / 1e9 - at_s) * 1e6)
            if what == "down":
                self.go_down()
            elif what == "up":
                await self.listen()
            else:
                self.change(((n, what) for n in numbers if n < len(self.template)), restarted=True)

    async def handle(self, command: RegistryCommand) -> Any:
        """Carry out a command; returns its answer."""
        match command:
            case ListenForCalls():
                self.keep_alive()
                return await self.listen()
            case SetFleet():
                self.set_fleet(command.endpoints, command.port)
                return ListState(self.index, len(self.whole_list()))
            case PlayChanges():
                self.playing = self.loop.create_task(self.play(command.changes, command.start_ns))
            case AwaitChanges():
                await self.playing
            case RestoreEndpoints():
                self.restore()
            case ChangeStatus():
                return self.change([(command.endpoint, command.status)], restarted=False)
            case TakeWritten():
                written, self.written = self.written, []
                return written
            case ReadRegistryStats():
                return self.read_stats()
            case _:
                assert_never(command)
        return None

    def read_stats(self) -> RegistryStats:
        """The counters, by kind of gateways."""
        watches = dict.fromkeys(LISTEN_HOSTS, 0)
        for call in self.watches:
            watches[call.gateway_kind] += 1
        counters = {
            kind: RegistryCounters(**stats, watches=watches[kind]) for kind, stats in self.stats.items()
        }
        return RegistryStats(self.index, self.late.text(), counters)


def message(index: int, whole: bool, entries: Iterable[fleet.EndpointEntry]) -> bytes:
    """A list or a change as gateways are sent it."""
    raw = {"index": index, "snapshot": whole, "endpoints": list(entries)}
    return json.dumps(raw, separators=(",", ":")).encode()


def create_handler() -> Handler[RegistryCommand]:
    """The handler of commands, on the running event loop."""
    return Registry(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, RegistryCommand)
