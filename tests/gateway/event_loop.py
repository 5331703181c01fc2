"""Runs the coroutine of a test on the event loop of the gateway, within a time limit."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

import uvloop

TEST_TIMEOUT_S = 30.0  # reached only by a test that hangs

P = ParamSpec("P")


def run_in_event_loop(test: Coroutine[Any, Any, None]) -> None:
    """Run a test to its end; raises TimeoutError after `TEST_TIMEOUT_S`."""

    async def run_with_time_limit() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # as the gateway uses
        runner.run(run_with_time_limit())


def runs_in_event_loop(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Decorate a coroutine function, so that pytest runs it in an event loop with a time limit."""

    @functools.wraps(test)
    def run_test(*args: P.args, **kwargs: P.kwargs) -> None:
        run_in_event_loop(test(*args, **kwargs))

    return run_test


async def wait_until(condition: Callable[[], bool]) -> None:
    """Yield to the event loop until the condition holds."""
    while not condition():
        await asyncio.sleep(0)
