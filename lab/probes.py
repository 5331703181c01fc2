"""Measures how soon real gateways close their idle connections to an endpoint that starts to leave."""

from __future__ import annotations

import asyncio
import random
import time

from lab import schedule
from lab.messages import ChangeStatus, ListIdle, ReadCloses, WatchIdle
from lab.records import Probes
from lab.rig import Rig

PROBE_GAP_S = 0.2  # between the end of a probe and the start of the next
PROBE_POLL_S = 0.05  # between two checks of the watched connections
PROBE_TIMEOUT_S = 3.0  # after which connections that are still open are counted as not closed


async def probe_closes(rig: Rig, changes: list[schedule.Change], start_ns: int) -> Probes:
    """Probe random endpoints one after the other until the scenario's time is over.

    The closes are seen from outside, at the stand-in for the endpoints. Only endpoints to which gateways hold
    idle connections are chosen, and none that `changes` change. Where discovery is down at the time of a
    probe's change, the latency still counts from the change, not from the end of the outage.
    """
    rng, probes = random.Random(rig.plan.seed), Probes()
    changing = {number for _, _, numbers in changes for number in numbers}
    end_s = start_ns / 1e9 + rig.plan.seconds
    while time.monotonic() < end_s and rig.real_gateways:
        await asyncio.sleep(PROBE_GAP_S)
        idle = [n for n, _ in await rig.statements.execute(ListIdle()) if n not in changing]
        if idle:
            await probe_endpoint(rig, rng.choice(idle), probes)
    return probes


async def probe_endpoint(rig: Rig, endpoint: int, probes: Probes) -> None:
    """Set an endpoint to leaving and back to active, and add how soon its idle connections were closed."""
    await rig.statements.execute(WatchIdle(endpoint=endpoint))
    since_ns = await rig.registry.execute(ChangeStatus(endpoint=endpoint, status="leaving"))
    deadline_s = time.monotonic() + PROBE_TIMEOUT_S
    while True:
        await asyncio.sleep(PROBE_POLL_S)
        closes = await rig.statements.execute(ReadCloses(endpoint=endpoint, since_ns=since_ns))
        if not closes.standing or time.monotonic() >= deadline_s:
            break
    await rig.registry.execute(ChangeStatus(endpoint=endpoint, status="active"))
    probes.count += 1
    probes.unclosed += closes.standing
    for after_us in closes.after_us:
        probes.latency.record(after_us)
