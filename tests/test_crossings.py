"""Instants in which two sides act at once: who is owed what then, held still over real sockets."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import pytest

from rosedeal.gateway.discovery import host_id
from rosedeal.gateway import upstream
from rosedeal.gateway.upstream import Answer, HostConnection
from rosedeal.interface import (
    Action,
    AttemptEnded,
    Cancel,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    RequestGone,
    Send,
    ServerList,
)
from tests.sockets import Gateway, ask, chunk, entry, gateway, hold_connects, news, run, settings, until


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


def stop_clock(it: Gateway) -> list[float]:
    """The pool's clock stands still at the one time in the list."""
    clock = [it.proxy.upstream.now()]
    it.proxy.upstream.now = lambda: clock[0]
    return clock


def test_a_late_second_answer_is_not_taken_for_the_next_ones() -> None:
    """A connection was used again at once, so that what came milliseconds late answered another request."""

    async def test() -> None:
        async with gateway(rest_s=upstream.REST_S) as it:
            clock = stop_clock(it)
            client = await it.client()
            client.send(ask())
            first = await it.host.taken.get()
            first.answer()
            assert (await client.answer())[0] == 200
            client.send(ask())
            second = await it.host.taken.get()
            assert second.writer is not first.writer  # the first has to rest
            first.answer(body=b"once more")
            await it.host.left.get()
            second.answer(body=b"its own")
            assert (await client.answer())[2] == b"its own"
            clock[0] += upstream.REST_S
            client.send(ask())
            third = await it.host.taken.get()
            assert third.writer is second.writer
            third.answer()
            assert (await client.answer())[0] == 200

    run(test())


@pytest.mark.parametrize("late", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", b""])
def test_an_idle_connection_is_not_used_over_what_waits_to_be_read_on_it(late: bytes) -> None:
    """The loop had yet to read a second answer, or the host's close, as the next request was written."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            (idle,) = it.proxy.upstream.connections
            (writer,) = it.host.writers
            ended: list[Answer | None] = []
            # All in one turn of the loop, which reads nothing in between.
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as raw:
                raw.send(late) if late else raw.shutdown(socket.SHUT_RDWR)
            it.proxy.upstream.send(host_id("h0"), ask(), 20.0, lambda _, answer: ended.append(answer))
            assert idle not in it.proxy.upstream.connections
            (await it.host.taken.get()).answer(body=b"its own")
            await until(lambda: bool(ended))
            assert ended[0] is not None and ended[0].body == b"its own"

    run(test())


def test_an_idle_connection_past_its_time_is_not_used() -> None:
    """Only the sweep looked at the time, once a second: where hosts close after 2 s it came too late."""

    async def test() -> None:
        async with gateway(settings=settings(keepaliveUs=2_000_000)) as it:
            clock = stop_clock(it)
            client = await it.client()
            await it.served(client)
            clock[0] += 1.9
            await it.served(client)
            assert it.host.connections == 2

    run(test())


@pytest.mark.parametrize("said", ["leaving", "left", "unnamed", "elsewhere"])
def test_what_waits_for_a_connection_hears_of_a_drain_at_once(
    said: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was written if the connection came up within the grace, and else waited for that to fail."""

    async def test() -> None:
        changed = settings(connectTimeoutUs=120_000_000)
        changed["contract"] = {"mustAskInUs": 100_000, "stopSendingWithinUs": 60_000_000}
        async with gateway(settings=changed) as it:
            _, watch = await it.registry.watches.get()
            free = hold_connects(it, monkeypatch)
            client = await it.client()
            client.send(ask("buy"))
            await it.event(RequestArrived)
            if said == "unnamed":
                watch.write(chunk(news(entry("h1", it.host.address), snapshot=True)))
            elif said == "elsewhere":
                watch.write(chunk(news(entry("h0", "127.0.0.1:9"))))
            else:
                watch.write(chunk(news(entry("h0", it.host.address, said))))
            assert (await it.event(AttemptEnded)).outcome is Outcome.CONNECT_FAILED
            assert (await client.answer())[0] == 503
            free.set()
            watch.write(chunk(news(entry("h0", it.host.address), entry("h1", "127.0.0.1:9", "left"))))
            await it.event(ServerList)
            await it.served(client, ask(Request_Id="next"))
            assert it.host.taken.empty()

    run(test())


def test_an_answer_to_a_host_that_drains_meanwhile_still_counts() -> None:
    async def test() -> None:
        async with gateway() as it:
            _, watch = await it.registry.watches.get()
            client = await it.client()
            client.send(ask("buy"))
            taken = await it.host.taken.get()
            watch.write(chunk(news(entry("h0", it.host.address, "leaving"))))
            await it.event(ServerList, lambda e: e.kind is ListKind.DELTA)
            it.proxy.upstream.sweep()
            taken.answer()
            assert (await client.answer())[0] == 200
            await it.host.left.get()  # its connection is not kept
            assert not it.proxy.upstream.connections

    run(test())


ENDLESS = [
    b"HTTP/1.1 200 OK\r\nX: " + b"x" * 1000,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 1000,
    b"HTTP/1.1 102 Processing\r\n\r\n",
]


@pytest.mark.parametrize("begin", ENDLESS, ids=["head", "chunk extension", "interim answers"])
def test_an_answer_that_never_ends_is_cut_off(begin: bytes) -> None:
    """Only whole header values and bodies were counted: the rest grew until the time-out."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy"))
            taken = await it.host.taken.get()
            taken.raw(begin)
            more = begin if begin.endswith(b"\r\n\r\n") else b"x" * 1000
            ended = asyncio.create_task(it.event(AttemptEnded))
            while not ended.done() and not taken.writer.is_closing():
                taken.raw(more)
                await taken.writer.drain()
                await asyncio.sleep(0)
            assert (await ended).outcome is Outcome.RESET
            assert (await client.answer())[0] == 502
            assert not it.proxy.upstream.connections

    run(test())
