"""Whether answers that have no length and come whole are forwarded."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

REQUESTS = 60
SERVICE_S = 0.03
TIMEOUT_MS = 1000


class Servers:
    """Four servers whose every third answer has no length with the disruption; all answers come whole.

    Attributes:
        without_length: Requests that were answered 200 without a length, by id with their body.
    """

    def __init__(self, record: s.Record, trouble: bool) -> None:
        self.record = record
        self.trouble = trouble
        self.answers = 0
        self.without_length: dict[str, bytes] = {}
        self.all = [s.StatementServer(record, f"s-{number}", self.answer) for number in range(4)]

    async def answer(
        self, server: s.StatementServer, head: s.Head, _body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request and answer it with a body of its own."""
        server.run(head)
        await asyncio.sleep(SERVICE_S)
        request_id = head.get("request-id")
        body = f"confirmation of {request_id}\n".encode() * 20
        self.answers += 1
        if not self.trouble or self.answers % 3:
            writer.write(s.plain_answer(body))
            return True
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        self.record.write(
            f"{server.name} answers {request_id} whole, with no length, and ends the connection"
        )
        self.without_length[request_id] = body
        return False  # the end of the connection, without a reset, ends the body


async def send_requests(record: s.Record, gateway: s.Gateway) -> dict[str, tuple[str, bytes]]:
    """Send requests that must not run twice, one after the other; return status lines and bodies by id."""
    answers: dict[str, tuple[str, bytes]] = {}
    reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
    for number in range(REQUESTS):
        request_id = f"c{number:015x}"
        writer.write(s.request_bytes("request-change", request_id, TIMEOUT_MS, body=b"correction"))
        head, body = await asyncio.wait_for(s.read_message(reader), TIMEOUT_MS / 1000 + 1)
        answers[request_id] = head.first, body
        record.write(f"client got for {request_id}: {head.first}")
    writer.close()
    return answers


async def case(record: s.Record, folder: Path, trouble: bool) -> int:
    """Run the case."""
    servers = Servers(record, trouble)
    for server in servers.all:
        await server.start()
    discovery = s.Discovery(record, [s.entry(server.name, server.address) for server in servers.all])
    await discovery.start()
    classes = [
        s.request_class("view-statement", "free"),
        s.request_class("request-change", "single_shot", 1000000),
    ]
    gateway = s.Gateway(record, folder, discovery, s.settings(classes))
    try:
        await gateway.start()
        answers = await send_requests(record, gateway)
    finally:
        await gateway.end()
        record.write(f"log of the gateway: {gateway.log()}")
    served = sum(" 200 " in first for first, _ in answers.values())
    record.write(f"{served} of {REQUESTS} requests were served")
    whole = servers.without_length
    forwarded = sum(" 200 " in answers[each][0] and answers[each][1] == body for each, body in whole.items())
    record.write(f"{forwarded} of {len(whole)} whole answers with no length were forwarded")
    if trouble and len(whole) < 10:
        raise s.CaseError("too few answers had no length")
    return s.BROKEN if 2 * forwarded < len(whole) or not served else s.HELD


if __name__ == "__main__":
    raise SystemExit(s.main(case))
