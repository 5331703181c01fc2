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
    RequestGone,
    Send,
)
from tests.sockets import Gateway, ask, gateway, hold_connects, run, settings


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


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("leave", ["ends", "resets", "resets over unread bytes"])
def test_a_client_that_leaves_while_its_connection_comes_up_is_not_sent_on(
    leave: str, may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where attempts may not be cancelled, the request was written once the connection was up."""

    async def test() -> None:
        async with gateway(settings=settings(mayCancel=may_cancel)) as it:
            free = hold_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask(Request_Id="left") + (b"more" if "unread" in leave else b""))
            await it.event(RequestArrived)
            if leave == "ends":
                client.writer.close()
            else:
                client.writer.transport.abort()
            await it.event(RequestGone)
            free.set()
            ended = await it.event(AttemptEnded)
            assert ended.outcome in (Outcome.CANCELLED, Outcome.MOOT) and ended.finished
            good = await it.client()
            good.send(ask(Request_Id="stayed"))
            taken = await it.host.taken.get()
            assert taken.head["request-id"] == "stayed"
            taken.answer()
            assert (await good.answer())[0] == 200
            assert not it.proxy.requests and it.proxy.open == 0

    run(test())


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_request_answered_while_its_connection_comes_up_is_not_sent_on(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last resort answers it; its connection is up only after that."""

    async def test() -> None:
        async with gateway(settings=settings(mayCancel=may_cancel)) as it:
            free = hold_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask("buy"))
            await it.event(RequestArrived)
            (request,) = it.proxy.requests.values()
            it.proxy.answer_at_last(request)
            assert (await client.answer())[0] == 504
            free.set()
            assert (await it.event(AttemptEnded)).finished
            await it.served(client, ask(Request_Id="next"))
            assert it.host.taken.empty() and not it.proxy.requests

    run(test())
