"""Requests that follow one with an offer to upgrade on its connection are answered like any others."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import Clients, CouldNotRunError, World, play, unanswered

# As a client offers HTTP/2 over plain TCP with its first request on a connection; a server may ignore it.
OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__")
OFFERED_PER_S = 15.0  # by each of four groups of clients, two at each of two gateways
SECONDS = 10.0


async def case(world: World, with_trouble: bool) -> list[str]:
    """Let half of the clients offer an upgrade with the first request on each connection."""
    plain = await world.start_gateways()
    offering = [Clients(world, clients.gateway) for clients in plain]
    if with_trouble:
        for clients in offering:
            clients.fields_on_new = OFFER
    lanes = [world.lane("free"), world.lane("guarded"), world.lane("single_shot")]
    await asyncio.gather(*(each.offer(OFFERED_PER_S, SECONDS, lanes) for each in plain + offering))
    served = sum(sent.status == 200 for sent in world.sent)
    if served < OFFERED_PER_S * SECONDS:
        raise CouldNotRunError(f"only {served} of {len(world.sent)} requests were served")
    breaks = unanswered(world)
    world.record.write("requests", len(world.sent), "served", served, "without a final answer", len(breaks))
    return breaks


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent, 60.0, seed=7)
