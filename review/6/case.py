"""A second answer that comes some milliseconds late is no answer to the next request on the connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import CouldNotRunError, Message, StatementServer, World, encode_answer, play

SHARE_TWICE = 0.05  # of the answers
LATE_S = 0.012
OFFERED_PER_S = 60.0  # through each of two gateways
SECONDS = 40.0


async def case(world: World, with_trouble: bool) -> list[str]:
    """Let one answer in twenty be followed by a second one to the same request, some milliseconds late."""
    tasks: set[asyncio.Task[None]] = set()
    twice: list[str] = []

    async def answer(server: StatementServer, request: Message, writer: asyncio.StreamWriter) -> bool:
        keep = await server.answer_whole(request, writer)
        if with_trouble and world.random.random() < SHARE_TWICE:
            tasks.add(asyncio.create_task(answer_again(server, request, writer)))
        return keep

    async def answer_again(server: StatementServer, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(LATE_S)
        if not writer.is_closing():
            twice.append(request.request_id)
            world.record.write("answered again", request.request_id, "by", server.name)
            writer.write(encode_answer(200, server.body_for(request)))

    for server in world.servers:
        server.answer = answer
    clients = await world.start_gateways()
    lanes = [world.lane("free"), world.lane("guarded"), world.lane("single_shot")]
    await asyncio.gather(*(each.offer(OFFERED_PER_S, SECONDS, lanes) for each in clients))
    served = [sent for sent in world.sent if sent.status == 200]
    if len(served) < OFFERED_PER_S * SECONDS or (with_trouble and len(twice) < 20):
        raise CouldNotRunError(f"only {len(served)} requests were served, {len(twice)} were answered twice")
    foreign = [sent for sent in served if sent.made_for != sent.request_id]
    world.record.write("answered twice", len(twice), "served", len(served), "foreign", len(foreign))
    return [f"{sent.request_id} was served the answer made for {sent.made_for}" for sent in foreign]


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent, 100.0, seed=6)
