"""Answers with no length that come whole: at least half of them have to be forwarded."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import CouldNotRunError, Message, StatementServer, World, has_left, play

SHARE_WITHOUT_LENGTH = 0.1  # of the answers
OFFERED_PER_S = 15.0  # through each of two gateways
SECONDS = 15.0
LEAST_FORWARDED = 0.5


async def case(world: World, with_trouble: bool) -> list[str]:
    """Let one answer in ten come with no length, whole, its end being the end of the connection."""
    without_length: list[tuple[str, bytes]] = []  # each answer's request and body

    async def answer(server: StatementServer, request: Message, writer: asyncio.StreamWriter) -> bool:
        if not with_trouble or world.random.random() >= SHARE_WITHOUT_LENGTH:
            return await server.answer_whole(request, writer)
        await server.work()
        if has_left(writer):  # the gateway has given up, so that no answer comes
            return False
        body = server.body_for(request)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
        await writer.drain()
        without_length.append((request.request_id, body))
        world.record.write("answered without length, whole", request.request_id, "by", server.name)
        return False  # the connection is closed in order, after the last byte

    for server in world.servers:
        server.answer = answer
    clients = await world.start_gateways()
    lanes = [world.lane("free"), world.lane("single_shot")]
    await asyncio.gather(*(each.offer(OFFERED_PER_S, SECONDS, lanes) for each in clients))
    if len(world.sent) < OFFERED_PER_S * SECONDS:
        raise CouldNotRunError(f"only {len(world.sent)} requests")
    served = [sent for sent in world.sent if sent.status == 200]
    if len(served) < len(world.sent) / 2:
        raise CouldNotRunError(f"only {len(served)} of {len(world.sent)} requests were served")
    if not without_length:
        return []
    # Each answer has a body of its own: one is forwarded if its request's client got that body.
    got = {sent.request_id: sent for sent in world.sent}
    forwarded = [
        each for each in without_length if got[each[0]].status == 200 and got[each[0]].body == each[1]
    ]
    world.record.write("without length", len(without_length), "forwarded", len(forwarded))
    if len(forwarded) >= LEAST_FORWARDED * len(without_length):
        return []
    single = world.lane("single_shot").name
    answered = [got[request_id] for request_id in {each[0] for each in without_length}]
    failed = sum(sent.request_class == single and sent.status != 200 for sent in answered)
    return [
        f"of {len(without_length)} answers with no length that came whole, {len(forwarded)} were forwarded",
        f"{failed} requests that must never run twice had run and were answered as failed",
    ]


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent, 90.0, seed=8)
