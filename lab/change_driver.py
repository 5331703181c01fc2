"""Makes changes of one tenant at real gateways, and sees from outside when they are in force."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Iterable
from pathlib import Path

from lab.changes import Change, Document
from lab.child import Histogram
from lab.clients import encode_request
from lab.readiness import fetch
from lab.records import Problems
from lab.rig import RealGateway

IN_FORCE_S = 30.0  # for a change to be in force, at most
POLL_S = 0.001
FIRST_PROBE = 1 << 60  # request ids that no client has


class ChangeDriver:
    """Writes the gateways' files, signals the gateways and asks them for the tenant."""

    def __init__(self, upcoming: Iterable[Change], problems: Problems) -> None:
        self.file_bytes = 0
        self.slowest_s = 0.0  # until a change was in force
        self._upcoming = iter(upcoming)
        self._problems = problems
        self._gateways: list[RealGateway] = []
        self._documents: dict[Path, Document] = {}
        self._probes = 0
        self._renamed_ns = 0

    def add(self, gateway: RealGateway, path: Path) -> None:
        """Change this gateway too, by its configuration file."""
        self._gateways.append(gateway)
        self._documents[path] = Document(json.loads(path.read_text(encoding="utf-8")))

    async def write(self) -> Change:
        """Write the next change to each gateway's file; none has been signalled."""
        change = next(self._upcoming)
        for path, document in self._documents.items():
            document.apply(change)
            self.file_bytes = document.write(path.with_suffix(".new"))
            # Some file systems write the whole file to the disk before they rename it over another.
            await asyncio.to_thread(os.replace, path.with_suffix(".new"), path)
            self._renamed_ns = time.perf_counter_ns()
        return change

    def signal(self, gateway: RealGateway) -> int:
        """Let the gateway read its file; returns when, in nanoseconds."""
        gateway.child.raise_if_ended()
        signalled_ns = time.perf_counter_ns()
        os.kill(gateway.child.process.pid, signal.SIGHUP)
        return signalled_ns

    async def make_change(self, hists: dict[str, Histogram]) -> None:
        """Make one change at every gateway, until it is in force at all."""
        change = await self.write()
        await asyncio.gather(*(self._watch(gateway, change, hists) for gateway in self._gateways))

    async def _watch(self, gateway: RealGateway, change: Change, hists: dict[str, Histogram]) -> None:
        """Ask for the tenant every millisecond from the signal on, on a connection of its own."""
        before, after = (400, 200) if change.added else (200, 400)
        reader, writer = await asyncio.open_connection(*gateway.address)
        try:
            async with asyncio.timeout(IN_FORCE_S):
                if (status := (await self.ask(reader, writer, change))[0]) != before:
                    self._problems.broken.append(f"{before} expected before a change, got {status}")
                signalled_ns = self.signal(gateway)
                while True:
                    status, asked_ns = await self.ask(reader, writer, change)
                    if status == after:
                        break
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            gateway.child.raise_if_ended()
            self._problems.broken.append(f"a change was not in force within {IN_FORCE_S:g} s")
            return
        finally:
            writer.close()
        done_ns = time.perf_counter_ns()
        self.slowest_s = max(self.slowest_s, (done_ns - signalled_ns) / 1e9)
        for what, ns in (
            ("from_rename", done_ns - self._renamed_ns),  # of the last gateway's file
            ("from_signal", done_ns - signalled_ns),
            ("from_signal_to_asked", max(0, asked_ns - signalled_ns)),  # the first that was answered so
            ("added_from_signal" if change.added else "dropped_from_signal", done_ns - signalled_ns),
        ):
            hists.setdefault(what, Histogram()).record(ns / 1e3)

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, change: Change
    ) -> tuple[int, int]:
        """The answer's status to a request of that tenant, and when it was asked."""
        self._probes += 1
        asked_ns = time.perf_counter_ns()
        status, _ = await fetch(
            reader, writer, encode_request(0, change.number, FIRST_PROBE + 2 * self._probes)
        )
        return status, asked_ns
