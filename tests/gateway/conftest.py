"""Runs coroutine tests on the event loop that the gateway uses."""

from __future__ import annotations

import inspect

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
