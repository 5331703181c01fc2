"""Child processes and their memory bound."""

from __future__ import annotations

from pathlib import Path

import pytest

from lab.messages import ReadRegistryStats
from lab.processes import Children, MemoryBoundError
from tests.gateway.event_loop import run_in_event_loop


def test_a_child_over_the_memory_bound_is_ended_and_reported(tmp_path: Path) -> None:
    async def test() -> None:
        async with Children(memory_mb=1, logs=tmp_path) as children:
            child = await children.start("registry", "lab.registry")
            await child.process.wait()
            with pytest.raises(MemoryBoundError, match="registry"):
                await child.execute(ReadRegistryStats())

    run_in_event_loop(test())
