"""A gateway's process under spoilt, late, old and missing messages of discovery, and kills; seeded.

`DISCOVERY_FAULT_SEEDS=1-50 python -m pytest tests/gateway/test_discovery_faults.py` plays more seeds.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest
import uvloop

from tests.gateway.discovery_fault_world import World, play, running_world

FIRST_SEED, LAST_SEED = map(int, os.environ.get("DISCOVERY_FAULT_SEEDS", "1-1").split("-"))
FAULTS_S = 30.0
FAULT_SHARE = 0.4
KILLS = 2


def play_world(world: World, path: Path, membership_mode: str) -> None:
    async def run() -> None:
        async with running_world(world):
            await play(world, path, membership_mode, FAULTS_S, KILLS)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


@pytest.mark.parametrize("membership_mode", ["on_request", "pushed"])
@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED + 1))
def test_no_request_is_sent_to_an_unready_endpoint_whatever_discovery_does(
    seed: int, membership_mode: str, tmp_path: Path
) -> None:
    world = World(seed, FAULT_SHARE)
    play_world(world, tmp_path / "config.json", membership_mode)
    assert world.violations() == []
    assert 0 not in world.statuses
    served_in_the_end = world.statuses[world.statuses.index(-1) + 1 :]
    assert served_in_the_end.count(200) > len(served_in_the_end) / 2
    assert len(world.arrivals) > 100
