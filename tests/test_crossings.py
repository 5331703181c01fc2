"""Instants in which two sides act at once: who is owed what then, held still over real sockets."""

from __future__ import annotations

import os
from typing import Any

import pytest

from rosedeal.gateway.discovery import host_id
from rosedeal.gateway.upstream import HostConnection
from rosedeal.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    Outcome,
    RequestArrived,
    Send,
)
from tests.sockets import Gateway, ask, gateway, run, settings


def decide(it: Gateway, first: list[str], then: str) -> None:
    """The balancer sends a request to the first hosts, and to another after each outcome but a good one."""
    hosts = iter(first)

    def handle(now_us: int, event: Event) -> list[Action]:
        it.events.append(event)
        it.changed.set()
        number = getattr(event, "request", "")
        if isinstance(event, RequestArrived):
            return [Send(number, host_id(next(hosts)), 20_000_000)]
        if isinstance(event, AttemptEnded) and not event.finished and event.outcome is not Outcome.OK:
            return [Send(number, host_id(then), 20_000_000)]
        return []

    it.proxy.balancer.handle = handle  # type: ignore[method-assign]


ENDINGS = ["cancelled", "timed out", "spoilt"]


@pytest.mark.parametrize("ending", ENDINGS)
def test_no_attempt_is_written_while_the_one_before_has_an_open_connection(
    ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The outcome was told first and the connection closed after it: for an instant there were two copies."""

    async def test() -> None:
        async with gateway(hosts=2, settings=settings(maxAttempts=2)) as it:
            decide(it, ["h0", "h1", "h0"], "h1")
            client = await it.client()
            for _ in range(2):  # one idle connection to each, so that the second attempt has not to wait
                await it.served(client)
            write, open_before = HostConnection.write, []
            descriptors: list[int] = []

            def noting(connection: HostConnection, exchange: Any) -> None:
                assert connection.transport is not None
                open_before.append([is_open(fd) for fd in descriptors])
                descriptors.append(connection.transport.get_extra_info("socket").fileno())
                write(connection, exchange)

            monkeypatch.setattr(HostConnection, "write", noting)
            client.send(ask())
            taken = await it.host.taken.get()
            (request,) = it.proxy.requests.values()
            (exchange,) = request.attempts
            assert exchange is not None
            if ending == "cancelled":
                it.proxy.carry_out(Cancel(request.id, 0))
            elif ending == "timed out":
                exchange.give_up(Outcome.TIMEOUT)
            else:
                taken.raw(b"no HTTP at all\r\n\r\n")
            (await it.host.taken.get()).answer()
            assert (await client.answer())[0] == 200
            assert open_before == [[], [False]]

    run(test())


def is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
