"""A stand-in for discovery that serves the endpoint list and watches, and plays changes at scheduled times.

It listens on two addresses, for real and for simulated gateways, so that their traffic is counted separately.
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
from lab.child import Handler, Histogram, serve
from lab.messages import (
    AwaitChanges,
    ChangeStatus,
    FetchWrittenChanges,
    ListState,
    PlayChanges,
    ReadRegistryStats,
    RegistryCommand,
    RegistryCounters,
    RegistryStats,
    RestoreEndpoints,
    SetFleet,
    StartDiscovery,
    TimedChange,
    WrittenChange,
)
from lab.registry_connection import DiscoveryConnection, encode_chunk
from load_balancer.gateway.discovery_messages import STATUSES, endpoint_id_of

LIST_PATH = b"/registry/instances"
LISTEN_HOSTS = {"real": "127.0.0.2", "hollow": "127.0.0.3"}
FIRST_INDEX = 41
EMPTY_LINE_INTERVAL_S = 2.0  # between two empty lines that keep a watch alive
CALLS_PER_S = 2_000.0  # capacity; calls are handled one after the other
LIST_ENTRIES_PER_S = 2_000_000.0  # capacity for the entries of lists
MAX_WAIT_S = 1.0  # a call that would wait longer is answered 503


class Registry:
    """The endpoint list, its changes, and the connections of gateways."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.index = FIRST_INDEX
        self.oldest_index = FIRST_INDEX  # a watch from an older index starts with the whole list
        # The entries by the number of the server; a server that has left has none.
        self.entries: dict[int, fleet.EndpointEntry] = {}
        self.initial_entries: list[fleet.EndpointEntry] = []
        # The list's index after the change, the number of the server, and its new entry.
        self.changes: list[tuple[int, int, fleet.EndpointEntry]] = []
        self.written_changes: list[WrittenChange] = []  # since the last FetchWrittenChanges
        self.open_connections: set[DiscoveryConnection] = set()
        self.watches: dict[DiscoveryConnection, None] = {}  # a set in order of insertion
        self.listeners: dict[str, asyncio.Server] = {}
        self.ports = dict.fromkeys(LISTEN_HOSTS, 0)
        self.free_at_s = 0.0  # when all calls accepted so far will have been handled
        self.cached_list: tuple[int, bytes] = (-1, b"")  # the index, and the list encoded at that index
        self.late = Histogram()
        self.stats: dict[str, dict[str, int]] = {
            kind: {"calls": 0, "turned_away": 0, "bytes": 0, "messages": 0} for kind in LISTEN_HOSTS
        }

    async def listen(self) -> dict[str, str]:
        """Start listening; return the addresses by kind of gateway."""
        for kind, host in LISTEN_HOSTS.items():
            create_connection = partial(
                DiscoveryConnection,
                kind,
                self.stats[kind],
                self.open_connections,
                self.watches,
                self.handle_request,
            )
            server = await self.loop.create_server(
                create_connection, host, self.ports[kind], backlog=1024, reuse_address=True
            )
            self.listeners[kind] = server
            self.ports[kind] = server.sockets[0].getsockname()[1]
        return {kind: f"{host}:{self.ports[kind]}" for kind, host in LISTEN_HOSTS.items()}

    def go_down(self) -> None:
        """Stop listening and close all connections."""
        for server in self.listeners.values():
            server.close()
        self.listeners.clear()
        for connection in list(self.open_connections):
            connection.abort()

    def set_fleet(self, servers: int, port: int) -> None:
        """Replace the fleet, discard all changes and close all connections."""
        self.initial_entries = fleet.entries(servers, port)
        self.entries = dict(enumerate(map(dict, self.initial_entries)))
        self.index += 1
        self.oldest_index = self.index
        self.changes.clear()
        self.written_changes.clear()
        for connection in list(self.open_connections):
            connection.abort()

    # Requests

    def handle_request(self, connection: DiscoveryConnection, target: bytes) -> None:
        """Handle a request once those before it have been handled; answer 503 if that would take too long."""
        path, _, query = target.partition(b"?")
        if path != LIST_PATH:
            connection.answer(404)
            return
        self.stats[connection.gateway_kind]["calls"] += 1
        parameters = parse_qs(query.decode("latin-1"))
        now = self.loop.time()
        self.free_at_s = max(now, self.free_at_s) + 1.0 / CALLS_PER_S
        if self.free_at_s - now > MAX_WAIT_S:
            self.free_at_s -= 1.0 / CALLS_PER_S
            self.stats[connection.gateway_kind]["turned_away"] += 1
            self.loop.call_later(MAX_WAIT_S, connection.answer, 503)
            return
        if parameters.get("stream") == ["1"]:
            text = parameters.get("index", [""])[0]
            since = int(text) if text.isascii() and text.isdigit() else -1
            self.loop.call_at(self.free_at_s, self.start_watch, connection, since)
        else:
            self.free_at_s += len(self.entries) / LIST_ENTRIES_PER_S
            self.loop.call_at(self.free_at_s, self.answer_list, connection)

    def answer_list(self, connection: DiscoveryConnection) -> None:
        """Answer with the whole list."""
        connection.answer(200, self.encoded_list())
        self.stats[connection.gateway_kind]["messages"] += 1

    def encoded_list(self) -> bytes:
        """Return the current list, encoded once for each index."""
        if self.cached_list[0] != self.index:
            self.cached_list = (self.index, encode_message(self.index, True, self.entries.values()))
        return self.cached_list[1]

    def start_watch(self, connection: DiscoveryConnection, since: int) -> None:
        """Start a watch with the changes since an index, or with the whole list if these are not known."""
        if connection.transport is None:
            return
        if self.oldest_index <= since <= self.index:
            latest = {number: entry for index, number, entry in self.changes if index > since}
            first = encode_message(self.index, False, latest.values())
        else:
            first = self.encoded_list()
        connection.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encode_chunk(first + b"\n")
        )
        self.stats[connection.gateway_kind]["messages"] += 1
        self.watches[connection] = None

    def send_empty_lines(self) -> None:
        """Send an empty line to all watches at regular intervals."""
        for connection in self.watches:
            connection.write(encode_chunk(b"\n"))
        self.loop.call_later(EMPTY_LINE_INTERVAL_S, self.send_empty_lines)

    # Changes

    def change(self, new_statuses: Iterable[tuple[int, str]], restarted: bool) -> int:
        """Change the status of servers and notify all watches in one message.

        Args:
            new_statuses: Pairs of a server's number and its new status.
            restarted: Whether servers that become active have just started. It is False for the changes of a
                probe, which are not added to `written_changes`.

        Returns:
            The time of the monotonic clock just before the message was written, in nanoseconds.
        """
        self.index += 1
        changed = []
        for number, status in new_statuses:
            entry = dict(self.entries.get(number, self.initial_entries[number]), status=status)
            if status == "active" and restarted:
                entry["since_ms"] = time.time_ns() // 1_000_000
            if status == "left":
                self.entries.pop(number, None)
            else:
                self.entries[number] = entry
            changed.append(entry)
            self.changes.append((self.index, number, entry))
        line = encode_chunk(encode_message(self.index, False, changed) + b"\n")
        written_ns = time.monotonic_ns()
        for connection in self.watches:
            connection.write(line)
            self.stats[connection.gateway_kind]["messages"] += 1
        for entry in changed if restarted else ():  # probes are measured at the endpoints
            endpoint_id, status = endpoint_id_of(entry["name"]), STATUSES[entry["status"]].value
            self.written_changes.append(
                WrittenChange(endpoint_id, status, entry["since_ms"] * 1000, written_ns)
            )
        return written_ns

    def restore(self) -> None:
        """Set all servers that are not active to active, in one change."""
        inactive = [
            n for n in range(len(self.initial_entries)) if self.entries.get(n, {}).get("status") != "active"
        ]
        if inactive:
            self.change(((n, "active") for n in inactive), restarted=True)

    async def play(self, changes: list[TimedChange], start_ns: int) -> None:
        """Make each change at its time, counted from a time of the monotonic clock."""
        for at_s, new_status, numbers in changes:
            wait_s = start_ns / 1e9 + at_s - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.late.record((time.monotonic() - start_ns / 1e9 - at_s) * 1e6)
            if new_status == "down":
                self.go_down()
            elif new_status == "up":
                await self.listen()
            else:
                self.change(
                    ((n, new_status) for n in numbers if n < len(self.initial_entries)), restarted=True
                )

    async def handle(self, command: RegistryCommand) -> Any:
        """Execute a command and return its answer."""
        match command:
            case StartDiscovery():
                self.send_empty_lines()
                return await self.listen()
            case SetFleet():
                self.set_fleet(command.endpoints, command.port)
                return ListState(self.index, len(self.encoded_list()))
            case PlayChanges():
                self.play_task = self.loop.create_task(self.play(command.changes, command.start_ns))
            case AwaitChanges():
                await self.play_task
            case RestoreEndpoints():
                self.restore()
            case ChangeStatus():
                return self.change([(command.endpoint, command.status)], restarted=False)
            case FetchWrittenChanges():
                written_changes, self.written_changes = self.written_changes, []
                return written_changes
            case ReadRegistryStats():
                return self.read_stats()
            case _:
                assert_never(command)
        return None

    def read_stats(self) -> RegistryStats:
        """Return the counters by kind of gateway."""
        watches = dict.fromkeys(LISTEN_HOSTS, 0)
        for connection in self.watches:
            watches[connection.gateway_kind] += 1
        counters = {
            kind: RegistryCounters(**stats, watches=watches[kind]) for kind, stats in self.stats.items()
        }
        return RegistryStats(self.index, self.late.encode(), counters)


def encode_message(index: int, is_snapshot: bool, entries: Iterable[fleet.EndpointEntry]) -> bytes:
    """Encode a list or a change as it is sent to gateways."""
    raw = {"index": index, "snapshot": is_snapshot, "endpoints": list(entries)}
    return json.dumps(raw, separators=(",", ":")).encode()


def create_handler() -> Handler[RegistryCommand]:
    """Return the handler of commands, for the running event loop."""
    return Registry(asyncio.get_running_loop()).handle


if __name__ == "__main__":
    serve(create_handler, RegistryCommand)
