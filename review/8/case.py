"""Gateways get the list, and obey it, while discovery answers each call some seconds late."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import SOCKET_SLACK_S, Clients, CouldNotRunError, Gateway, World, is_ready, play

QUEUE_S = 4.0  # how long discovery takes to answer a call
READY_WITHIN_S = 30.0
TOLD_WITHIN_S = 6.0  # after discovery had a change and could be reached
HELD_UP_S = 0.15  # a gateway may be held up for so long before it writes
SECONDS = 30.0
OFFERED_PER_S = 15.0


async def await_list(world: World, gateway: Gateway, began: float) -> list[str]:
    """Wait until a gateway that started without a list has one."""
    while world.record.now() - began < READY_WITHIN_S:
        if await is_ready(gateway):
            world.record.write("ready", gateway.name)
            return []
        await asyncio.sleep(0.1)
    return [f"{gateway.name} was not ready within {READY_WITHIN_S:g} s of its start"]


async def case(world: World, with_trouble: bool) -> list[str]:
    """Start two gateways while discovery is slow: one without a list, one with an old list."""

    async def wait_in_queue() -> None:
        await asyncio.sleep(QUEUE_S)

    if with_trouble:
        world.discovery.before_answer = wait_in_queue
    old_list = {"index": 41, "snapshot": True, "endpoints": [server.entry() for server in world.servers]}
    draining = world.servers[0]
    world.discovery.change(draining.entry("leaving"))
    began = world.record.now()
    first = await world.start_gateway(0, wait_ready=False)
    second = await world.start_gateway(1, known=old_list)
    grace_s = world.settings["contract"]["stopSendingWithinUs"] / 1e6 + SOCKET_SLACK_S + HELD_UP_S
    stops_at = world.record.now() + TOLD_WITHIN_S + grace_s
    breaks, sent = await asyncio.gather(
        await_list(world, first, began),
        Clients(world, second).offer(OFFERED_PER_S, SECONDS, [world.lane("free"), world.lane("single_shot")]),
    )
    served = sum(each.status == 200 for each in sent)
    if world.crashed() or served < len(sent) / 2:
        raise CouldNotRunError(f"ended: {world.crashed()}; {served} of {len(sent)} requests served")
    late = [at for at, _ in draining.runs if at > stops_at]
    world.record.write("runs at the draining server", len(draining.runs), "of these too late", len(late))
    if late:
        after_s = max(late) - stops_at + TOLD_WITHIN_S + grace_s
        breaks.append(
            f"{second.name} sent {len(late)} requests too late to a server that drained before it started, "
            f"the last one {after_s:.1f} s after it was ready"
        )
    return breaks


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent, 90.0, seed=9)
