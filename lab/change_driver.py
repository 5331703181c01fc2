"""Makes changes of one tenant at real gateways and measures, by requests, when they are in force."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Iterable
from pathlib import Path

from lab.changes import ConfigDocument, TenantChange
from lab.child import Histogram
from lab.clients import encode_request
from lab.readiness import fetch
from lab.records import Problems
from lab.rig import RealGateway

IN_FORCE_TIMEOUT_S = 30.0  # a change that takes longer is reported as a problem
POLL_S = 0.001  # pause between two probes
FIRST_PROBE_ID = 1 << 60  # request ids of probes are above those of the clients


class ChangeDriver:
    """Changes the gateways' configuration files, signals the gateways and probes them for the tenant.

    Attributes:
        file_bytes: Length of the file written last.
        slowest_s: Longest time from the signal until a change was in force.
    """

    def __init__(self, upcoming: Iterable[TenantChange], problems: Problems) -> None:
        self.file_bytes = 0
        self.slowest_s = 0.0
        self._upcoming = iter(upcoming)
        self._problems = problems
        self._gateways: list[RealGateway] = []
        self._documents: dict[Path, ConfigDocument] = {}
        self._probe_count = 0
        self._renamed_ns = 0

    def add_gateway(self, gateway: RealGateway, path: Path) -> None:
        """Add a gateway to change, with the path of its configuration file."""
        self._gateways.append(gateway)
        self._documents[path] = ConfigDocument(json.loads(path.read_text(encoding="utf-8")))

    async def write_next_change(self) -> TenantChange:
        """Write the next change to the file of each gateway, without signalling any."""
        change = next(self._upcoming)
        for path, document in self._documents.items():
            document.apply(change)
            self.file_bytes = document.write(path.with_suffix(".new"))
            # Some file systems write the whole file to the disk before they rename it over another.
            await asyncio.to_thread(os.replace, path.with_suffix(".new"), path)
            self._renamed_ns = time.perf_counter_ns()
        return change

    def signal_reload(self, gateway: RealGateway) -> int:
        """Signal a gateway to reload its file, and return the time of the signal in nanoseconds."""
        gateway.child.raise_if_ended()
        signalled_ns = time.perf_counter_ns()
        os.kill(gateway.child.process.pid, signal.SIGHUP)
        return signalled_ns

    async def make_change(self, histograms: dict[str, Histogram]) -> None:
        """Make one change at all gateways and wait until it is in force at each."""
        change = await self.write_next_change()
        await asyncio.gather(
            *(self._measure_change(gateway, change, histograms) for gateway in self._gateways)
        )

    async def _measure_change(
        self, gateway: RealGateway, change: TenantChange, histograms: dict[str, Histogram]
    ) -> None:
        """Signal a gateway, and probe it for the tenant on one connection until the change is in force."""
        status_before, status_after = (400, 200) if change.added else (200, 400)
        reader, writer = await asyncio.open_connection(*gateway.address)
        try:
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                if (status := (await self.send_probe(reader, writer, change))[0]) != status_before:
                    self._problems.broken.append(
                        f"{status_before} expected as status before a change, got {status}"
                    )
                signalled_ns = self.signal_reload(gateway)
                while True:
                    status, sent_ns = await self.send_probe(reader, writer, change)
                    if status == status_after:
                        break
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            gateway.child.raise_if_ended()
            self._problems.broken.append(f"a change was not in force within {IN_FORCE_TIMEOUT_S:g} s")
            return
        finally:
            writer.close()
        done_ns = time.perf_counter_ns()
        self.slowest_s = max(self.slowest_s, (done_ns - signalled_ns) / 1e9)
        for label, duration_ns in (
            # The file of the last gateway is the last one renamed.
            ("from_rename", done_ns - self._renamed_ns),
            ("from_signal", done_ns - signalled_ns),
            # Until the first probe that got the new status was sent.
            ("from_signal_to_asked", max(0, sent_ns - signalled_ns)),
            ("added_from_signal" if change.added else "dropped_from_signal", done_ns - signalled_ns),
        ):
            histograms.setdefault(label, Histogram()).record(duration_ns / 1e3)

    async def send_probe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, change: TenantChange
    ) -> tuple[int, int]:
        """Send a request of the change's tenant; return the status and when it was sent, in nanoseconds."""
        self._probe_count += 1
        sent_ns = time.perf_counter_ns()
        status, _ = await fetch(
            reader, writer, encode_request(0, change.tenant_number, FIRST_PROBE_ID + 2 * self._probe_count)
        )
        return status, sent_ns
