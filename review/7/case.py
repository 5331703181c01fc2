"""Answers with no length that come whole: at least half of them have to be forwarded."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import CouldNotRunError, Message, StatementServer, World, play

SHARE_WITHOUT_LENGTH = 0.1  # of the answers
OFFERED_PER_S = 15.0  # through each of two gateways
SECONDS = 15.0
LEAST_FORWARDED = 0.5


async def case(world: World, with_trouble: bool) -> list[str]:
    """Let one answer in ten come with no length, whole, its end being the end of the connection."""
    without_length: set[str] = set()

    async def answer(server: StatementServer, request: Message, writer: asyncio.StreamWriter) -> bool:
        if not with_trouble or world.random.random() >= SHARE_WITHOUT_LENGTH:
            return await server.answer_whole(request, writer)
        await server.work()
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + server.body_for(request))
        await writer.drain()
        without_length.add(request.request_id)
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
        return [f"only {len(served)} of {len(world.sent)} requests were served"]
    if not without_length:
        return []
    # A class that may be repeated hides a dropped answer by a second run: the first run's answer is meant.
    once = [sent for sent in world.sent if sent.request_id in without_length]
    runs = [run_id for server in world.servers for _, run_id in server.runs]
    forwarded = [sent for sent in once if sent.status == 200 and runs.count(sent.request_id) == 1]
    world.record.write("without length", len(once), "forwarded", len(forwarded))
    if len(forwarded) >= LEAST_FORWARDED * len(once):
        return []
    single = world.lane("single_shot").name
    failed = sum(sent.request_class == single and sent.status != 200 for sent in once)
    return [
        f"of {len(once)} answers with no length that came whole, {len(forwarded)} were forwarded",
        f"{failed} requests that must never run twice had run and were answered as failed",
    ]


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent, 90.0, seed=8)
