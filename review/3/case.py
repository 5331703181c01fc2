"""Whether bad clients can bring the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

MEMORY_MB = 64
SOCKETS = 256
BAD_CLIENTS = 40
# A body within the limit of 64 KiB, in small pieces; the piece that would end it never comes.
BAD_BODY = b"2\r\nab\r\n" * 32_000
DAY_S = 8.0
BAD_CLIENTS_COME_S = 2.0
REQUEST_INTERVAL_S = 0.05
SERVICE_S = 0.1
TIMEOUT_MS = 2000


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB of 2^20 bytes; 0 once it has ended."""
    try:
        text = Path(f"/proc/{process_id}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return 0.0
    lines = [line for line in text.splitlines() if line.startswith("VmRSS:")]
    return int(lines[0].split()[1]) / 1024 if lines else 0.0


class Day:
    """One gateway, its clients, and the platform that enforces its memory limit."""

    def __init__(self, record: s.Record, gateway: s.Gateway) -> None:
        self.record = record
        self.gateway = gateway
        self.was_killed = False
        self.peak_mb = 0.0
        self.served = 0
        self.unanswered = 0
        self.bad_outcomes: list[str] = []

    async def enforce_memory_limit(self) -> None:
        """Do as the platform: "Over `memory_mb` the gateway is killed"."""
        process = self.gateway.process
        assert process is not None
        while process.returncode is None:
            used_mb = resident_mb(process.pid)
            if used_mb > self.peak_mb + 5:
                self.record.write(f"platform: the gateway uses {used_mb:.0f} of {MEMORY_MB} MB")
                self.peak_mb = used_mb
            if used_mb > MEMORY_MB:
                self.record.write("platform: over the limit, the gateway is killed")
                self.was_killed = True
                process.kill()
                return
            await asyncio.sleep(0.02)

    async def send_requests(self) -> None:
        """Send proper requests, one every 50 ms, each on a connection of its own."""
        async with asyncio.TaskGroup() as group:
            for number in range(int(DAY_S / REQUEST_INTERVAL_S)):
                group.create_task(self.send_request(f"a{number:015x}"))
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def send_request(self, request_id: str) -> None:
        """Send one proper request and wait for its answer."""
        try:
            reader, writer = await asyncio.open_connection(self.gateway.host, self.gateway.port)
        except OSError:
            self.record.write(f"client: {request_id} finds no gateway")
            return
        self.record.write(f"client sends {request_id}")
        writer.write(s.request_bytes("view-statement", request_id, TIMEOUT_MS, "Connection: close"))
        try:
            head, _ = await asyncio.wait_for(s.read_message(reader), TIMEOUT_MS / 1000 + 0.5)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.unanswered += 1
            self.record.write(f"client: {request_id} has no answer: {error!r}")
        else:
            self.served += " 200 " in head.first
            self.record.write(f"client got for {request_id}: {head.first}")
        writer.close()

    async def send_badly(self, number: int) -> None:
        """Send a request that never ends, and wait for an error or a close."""
        began = self.record.now()
        try:
            reader, writer = await asyncio.open_connection(self.gateway.host, self.gateway.port)
            head = s.request_bytes(
                "request-change", f"bad{number:013x}", 900, "Transfer-Encoding: chunked", body=None
            )
            writer.write(head.replace(b"GET ", b"POST ", 1) + BAD_BODY)
            first = await asyncio.wait_for(reader.read(1000), 8)
            writer.close()
        except (OSError, TimeoutError) as error:
            first = repr(error).encode()
        text = first.split(b"\r\n")[0].decode() or "a close"
        self.bad_outcomes.append(f"{text} after {self.record.now() - began:.1f} s")

    async def play(self, trouble: bool) -> None:
        """Play the day."""
        platform = asyncio.create_task(self.enforce_memory_limit())
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_requests())
            if trouble:
                await asyncio.sleep(BAD_CLIENTS_COME_S)
                kilobytes = BAD_CLIENTS * len(BAD_BODY) // 1024
                self.record.write(f"{BAD_CLIENTS} bad clients send {kilobytes} KB in all")
                for number in range(BAD_CLIENTS):
                    group.create_task(self.send_badly(number))
        platform.cancel()


async def answer(server: s.StatementServer, head: s.Head, _body: bytes, writer: asyncio.StreamWriter) -> bool:
    """Serve a request."""
    server.run(head)
    await asyncio.sleep(SERVICE_S)
    writer.write(s.plain_answer(b"statement"))
    return True


async def case(record: s.Record, folder: Path, trouble: bool) -> int:
    """Run the case."""
    servers = [s.StatementServer(record, f"s-{number}", answer) for number in range(4)]
    for server in servers:
        await server.start()
    discovery = s.Discovery(record, [s.entry(server.name, server.address) for server in servers])
    await discovery.start()
    classes = [
        s.request_class("view-statement", "free"),
        s.request_class("request-change", "single_shot", 1000000),
    ]
    gateway = s.Gateway(record, folder, discovery, s.settings(classes), memory_mb=MEMORY_MB, sockets=SOCKETS)
    try:
        await gateway.start()
        day = Day(record, gateway)
        await day.play(trouble)
        has_ended = gateway.process is None or gateway.process.returncode is not None
    finally:
        await gateway.end()
        record.write(f"log of the gateway: {gateway.log()}")
    for outcome in sorted(set(day.bad_outcomes)):
        record.write(f"bad clients got: {day.bad_outcomes.count(outcome)} times {outcome}")
    record.write(f"peak {day.peak_mb:.0f} MB; {day.served} served, {day.unanswered} without an answer")
    if not day.served:
        raise s.CaseError("no request was served")
    return s.BROKEN if day.was_killed or has_ended else s.HELD


if __name__ == "__main__":
    raise SystemExit(s.main(case))
