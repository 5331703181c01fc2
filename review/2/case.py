"""Whether a request that may be repeated only within a window is sent again after it."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

WINDOW_S = 0.8
# On sockets every time limit is 50 ms longer, and a gateway may be held up for 0.15 s before it writes.
SLACK_S = 0.05 + 0.15
FAILS_AFTER_S = 0.3
LATE_S = 0.6  # less than the time after which a system repeats its first packet, about 1 s
CONNECT_TIMEOUT_S = 1.5
TIMEOUT_MS = 3000
REQUEST_ID = "c0ffee0000000001"
KEY = "change-7"


class Servers:
    """Three servers that recognize a repeat within the window, all of them together.

    The first attempt of the request with the key runs and is then answered with an error. With the
    disruption, the connections that are opened after that attempt come up late.
    """

    def __init__(self, record: s.Record, trouble: bool) -> None:
        self.record = record
        self.trouble = trouble
        self.all = [s.StatementServer(record, f"s-{number}", self.answer) for number in range(3)]
        self.effects: list[float] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> list[dict[str, object]]:
        """Begin to listen; return the entries for discovery."""
        for server in self.all:
            await server.start()
        return [s.entry(server.name, server.address) for server in self.all]

    async def answer(
        self, server: s.StatementServer, head: s.Head, _body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request and close the connection."""
        answer = s.plain_answer(b"done", "200 OK", "Connection: close")
        if not head.get("idempotency-key"):
            server.run(head)
        elif not self.effects:
            self.take_effect(server, head)
            await self.fail_later(server)
            self.record.write(f"{server.name} answers 500 to {head.get('request-id')}")
            answer = s.plain_answer(b"error", "500 Error", "Connection: close")
        elif self.record.now() - self.effects[0] <= WINDOW_S + SLACK_S:
            self.record.write(f"{server.name} discards the repeat of {KEY}")
        else:
            self.take_effect(server, head)
        writer.write(answer)
        return False

    def take_effect(self, server: s.StatementServer, head: s.Head) -> None:
        """Run the request with the key."""
        server.run(head)
        self.effects.append(self.record.now())
        since = self.effects[-1] - self.effects[0]
        self.record.write(f"{server.name}: {KEY} takes effect, {since:.3f} s after it first did")

    async def fail_later(self, server: s.StatementServer) -> None:
        """Work for a while; with the disruption, new connections to the other servers come up late."""
        others = [other for other in self.all if other is not server]
        if self.trouble:
            self.tasks.append(asyncio.create_task(self.come_up_late(others)))
        await asyncio.sleep(FAILS_AFTER_S)

    async def come_up_late(self, servers: list[s.StatementServer]) -> None:
        """Accept no connection until some time after the first attempt has failed."""
        for server in servers:
            await server.stop_accepting()
        await asyncio.sleep(FAILS_AFTER_S + LATE_S)
        for server in servers:
            server.accept_again()


async def send_requests(record: s.Record, gateway: s.Gateway) -> None:
    """Send four plain requests, so that one connection in six is late, and then the one with the key."""
    reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
    for number in range(4):
        record.write(f"client sends a{number:015x}")
        writer.write(s.request_bytes("view-statement", f"a{number:015x}", 2000))
        head, _ = await s.read_message(reader)
        record.write(f"client got: {head.first}")
    record.write(f"client sends {REQUEST_ID}")
    key = f"Idempotency-Key: {KEY}"
    writer.write(s.request_bytes("request-change", REQUEST_ID, TIMEOUT_MS, key, body=b"paper copy"))
    head, body = await asyncio.wait_for(s.read_message(reader), TIMEOUT_MS / 1000 + 1)
    record.write(f"client got: {head.first} {body!r}")
    await asyncio.sleep(1)
    writer.close()


async def case(record: s.Record, folder: Path, trouble: bool) -> int:
    """Run the case."""
    servers = Servers(record, trouble)
    discovery = s.Discovery(record, await servers.start())
    await discovery.start()
    classes = [
        s.request_class("view-statement", "free"),
        s.request_class("request-change", "guarded", TIMEOUT_MS * 1000, windowUs=int(WINDOW_S * 1e6)),
    ]
    settings = s.settings(classes, connectTimeoutUs=int(CONNECT_TIMEOUT_S * 1e6))
    gateway = s.Gateway(record, folder, discovery, settings)
    try:
        await gateway.start()
        await send_requests(record, gateway)
    finally:
        await gateway.end()
        record.write(f"log of the gateway: {gateway.log()}")
    if not servers.effects:
        raise s.CaseError("the request reached no server")
    record.write(f"the request took effect {len(servers.effects)} times")
    return s.BROKEN if len(servers.effects) > 1 else s.HELD


if __name__ == "__main__":
    raise SystemExit(s.main(case))
