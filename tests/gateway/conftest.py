"""Runs coroutine tests on the event loop that the gateway uses, and fixtures of several modules."""

from __future__ import annotations

import gc
import inspect
from collections.abc import Iterator

import pytest

from tests.gateway.event_loop import run_in_event_loop


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine test to its end, within the time limit; leave other tests to pytest."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    run_in_event_loop(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True


@pytest.fixture
def no_garbage_collection() -> Iterator[None]:
    """Free objects only when nothing refers to them any more."""
    gc.disable()
    yield
    gc.enable()
