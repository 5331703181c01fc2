"""Instants in which two sides act at once: who is owed what then, held still over real sockets."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest

from load_balancer.decisions.actions import Action, Cancel, Send
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    Outcome,
    RequestArrived,
)
from load_balancer.gateway import client_server as downstream
from load_balancer.gateway import upstream_pool as upstream
from load_balancer.gateway.client_server import BODY_LIMIT
from load_balancer.gateway.discovery import endpoint_id_of
from load_balancer.gateway.proxy import LAST_RESORT_US, Request
from load_balancer.gateway.upstream_pool import Response, UpstreamConnection
from tests.sockets import (
    PATIENCE_S,
    Gateway,
    ask,
    chunk,
    entry,
    gateway,
    hold_connects,
    news,
    run,
    send_now,
    settings,
    until,
)


def decide(it: Gateway, first: list[str], then: str) -> None:
    """The balancer sends a request to the first hosts, and to another after each outcome but a good one."""
    hosts = iter(first)

    def handle(now_us: int, event: Event) -> list[Action]:
        it.events.append(event)
        it.changed.set()
        number = getattr(event, "request_id", "")
        if isinstance(event, RequestArrived):
            return [Send(number, endpoint_id_of(next(hosts)), 20_000_000)]
        if isinstance(event, AttemptEnded) and not event.finished and event.outcome is not Outcome.OK:
            return [Send(number, endpoint_id_of(then), 20_000_000)]
        if isinstance(event, ClientDisconnected):
            return [Cancel(number, 0)]
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
            write, open_before = UpstreamConnection.write, []
            descriptors: list[int] = []

            def noting(connection: UpstreamConnection, exchange: Any) -> None:
                assert connection.transport is not None
                open_before.append([is_open(fd) for fd in descriptors])
                descriptors.append(connection.transport.get_extra_info("socket").fileno())
                write(connection, exchange)

            monkeypatch.setattr(UpstreamConnection, "write", noting)
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
            await it.event(ClientDisconnected)
            free.set()
            ended = await it.event(AttemptEnded)
            assert ended.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) and ended.finished
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
            ended: list[Response | None] = []
            # All in one turn of the loop, which reads nothing in between.
            with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as raw:
                raw.send(late) if late else raw.shutdown(socket.SHUT_RDWR)
            it.proxy.upstream.send(endpoint_id_of("h0"), ask(), 20.0, lambda _, answer: ended.append(answer))
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
            await it.event(EndpointListReceived)
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
            await it.event(EndpointListReceived, lambda e: e.kind is ListKind.DELTA)
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


def test_a_client_that_ends_before_it_has_read_an_earlier_answer_is_gone_at_once() -> None:
    """The transport told of the end only when all that was written before had been read."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask() + ask(Request_Id="left"))
            taken = await it.host.taken.get()
            connection = it.stop_reading(client)
            assert connection.transport is not None
            connection.transport.set_write_buffer_limits(high=2 * BODY_LIMIT)
            taken.answer(body=bytes(BODY_LIMIT))
            assert (await it.host.taken.get()).head["request-id"] == "left"
            assert connection.transport.get_write_buffer_size() > 0
            client.writer.write_eof()
            await it.event(ClientDisconnected)
            assert (await it.event(AttemptEnded, lambda e: e.request_id == "2")).outcome is Outcome.CANCELLED
            assert not it.proxy.requests

    run(test())


def test_a_client_that_leaves_takes_what_waits_for_its_turn_along() -> None:
    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask() + ask(Request_Id="ahead") + b"GET /look")
            taken = await it.host.taken.get()
            client.writer.close()
            await it.event(ClientDisconnected)
            taken.answer()
            await it.host.left.get()
            await it.served(await it.client(), ask(Request_Id="stayed"))
            assert it.host.taken.empty() and it.proxy.taken == 2

    run(test())


def test_what_a_client_sends_behind_its_last_request_resets_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Closed at once, the connection was reset by what came then, which can overtake the answer."""
    monkeypatch.setattr(downstream, "LINGER_S", 2 * PATIENCE_S)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client, ask(Connection="close"))
            assert await client.closed()
            for _ in range(2):  # the first would draw the reset, the second would meet it
                client.send(ask())
            assert not client.writer.transport.is_closing()
            client.writer.transport.abort()
            await until(lambda: not it.downstream.connections)

    run(test())


@pytest.mark.parametrize("reads", [True, False])
def test_a_linger_ends_once_the_answer_is_read(reads: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(downstream, "LINGER_S", 0.01)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask(Connection="close"))
            taken = await it.host.taken.get()
            connection = it.stop_reading(client)
            taken.answer(body=bytes(BODY_LIMIT))
            await it.event(AttemptEnded)
            assert connection.transport is not None and connection.transport.get_write_buffer_size() > 0
            for _ in range(5):
                connection.end_linger()
            assert not connection.transport.is_closing()
            if reads:
                client.writer.transport.resume_reading()  # type: ignore[attr-defined]
                assert len((await client.answer())[2]) == BODY_LIMIT
            else:
                client.writer.transport.abort()
            await until(lambda: not it.downstream.connections)

    run(test())


def test_a_request_that_waits_in_the_socket_as_its_connection_is_closed_for_idleness_is_served() -> None:
    """The close went over it: its client had to send it once more on a new connection."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            (connection,) = it.downstream.connections
            connection.quiet_since -= 2 * downstream.IDLE_S
            send_now(client.writer, ask())
            it.downstream.sweep()
            (await it.host.taken.get()).answer()
            assert (await client.answer())[0] == 200
            connection.quiet_since -= 2 * downstream.IDLE_S
            it.downstream.sweep()
            assert await client.closed()

    run(test())


def test_no_end_of_a_drain_closes_over_a_request_whose_turn_has_come(monkeypatch: pytest.MonkeyPatch) -> None:
    """Between the answer to one and the taking up of the next it looked as if nothing was owed."""
    monkeypatch.setattr(downstream, "FINISH_POLL_S", 0.0)
    monkeypatch.setattr(downstream, "HALF_SENT_DRAIN_S", -1.0)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask() + ask())
            taken = await it.host.taken.get()
            it.downstream.draining = True
            finish = asyncio.create_task(it.downstream.finish())
            await asyncio.sleep(0)
            taken.answer()
            assert (await client.answer())[0] == 200
            (await it.host.taken.get()).answer()
            status, head, _ = await client.answer()
            assert status == 200 and head["connection"] == "close"
            assert await client.closed()
            client.writer.close()
            await finish

    run(test())


def test_a_request_half_sent_at_the_end_of_a_drain_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was closed upon, whether or not its last byte had come, and only after more than the rules give."""
    monkeypatch.setattr(downstream, "HALF_SENT_DRAIN_S", -1.0)

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", body=b"12", Content_Length="3"))
            await until(lambda: any(c.reading for c in it.downstream.connections))
            it.downstream.draining = True
            finish = asyncio.create_task(it.downstream.finish())
            status, head, _ = await client.answer()
            assert status == 503 and head["connection"] == "close"
            client.send(b"3")
            assert await client.closed()
            client.writer.close()
            await finish
            assert it.host.taken.empty()

    run(test())


def test_the_first_request_is_timed_from_connecting() -> None:
    """A peer that sent its first byte after 2 s, and no more, heard of it after more than 4 s."""

    async def test() -> None:
        async with gateway() as it:
            peer = await it.client()
            await until(lambda: bool(it.downstream.connections))
            (connection,) = it.downstream.connections
            connection.began_at -= downstream.FIRST_REQUEST_S + 0.1
            peer.send(b"GET /look HTT")
            await until(lambda: connection.reading)
            it.downstream.sweep()
            assert connection.closing
            assert (await peer.answer())[0] == 408
            assert await peer.closed()

    run(test())


def test_line_ends_behind_a_request_begin_no_other() -> None:
    """They were taken for a request that does not end, and its client was told 408 on an idle connection."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            await it.served(client)
            (connection,) = it.downstream.connections
            quiet_since, connection.quiet_since = connection.quiet_since, 0.0
            client.send(b"\r\n\r\n")
            await until(lambda: connection.quiet_since >= quiet_since)
            connection.began_at -= 2 * downstream.HALF_SENT_S
            it.downstream.sweep()
            await it.served(client)

    run(test())


def test_what_is_sent_ahead_of_its_turn_is_bounded() -> None:
    """Only requests were counted, so that each connection could hold eight bodies."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask() + 9 * ask("buy", body=bytes(BODY_LIMIT // 2)))
            await it.host.taken.get()
            (connection,) = it.downstream.connections
            await until(lambda: connection.closing)
            *ahead, last = connection.waiting
            assert len(ahead) == 3 and last.refusal is not None and last.refusal.answer.status == 503

    run(test())


def leave(request: Request, it: Gateway) -> None:
    it.proxy.leave(request)


def time_out(request: Request, it: Gateway) -> None:
    (exchange,) = request.attempts[-1:]
    assert exchange is not None
    exchange.give_up(Outcome.TIMEOUT)


def cancel(request: Request, it: Gateway) -> None:
    it.proxy.carry_out(Cancel(request.id, len(request.attempts) - 1))


End = Callable[[Request, Gateway], None]
ENDS: dict[End, Outcome] = {
    leave: Outcome.CANCELLED,  # by the balancer, at once
    time_out: Outcome.TIMEOUT,
    cancel: Outcome.CANCELLED,
}


@pytest.mark.parametrize("answered", ["not", "unread", "read"])
@pytest.mark.parametrize("second", ENDS)
@pytest.mark.parametrize("first", ENDS)
def test_of_ends_in_one_instant_the_first_counts_and_once(first: End, second: End, answered: str) -> None:
    """An answer, a time-out, a cancel and the client's leaving, in each order and in one turn of the loop."""

    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=2)) as it:
            decide(it, ["h0", "h0"], "h0")
            client = await it.client()
            client.send(ask(Request_Id="first"))
            taken = await it.host.taken.get()
            (request,) = it.proxy.requests.values()
            (exchange,) = request.attempts
            assert exchange is not None
            if answered != "not":
                send_now(taken.writer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            if answered == "read":
                await until(lambda: exchange.done)
            first(request, it)
            second(request, it)
            ended = await it.event(AttemptEnded)
            if answered == "read":
                assert ended.outcome is Outcome.OK and (await client.answer())[0] == 200
            else:
                assert ended.outcome is ENDS[first]
                await it.host.left.get()
            if answered != "read" and leave not in (first, second):
                (await it.host.taken.get()).answer()
                assert (await client.answer())[0] == 200
            await it.served(await it.client(), ask(Request_Id="next"))
            assert it.host.taken.empty() and not it.proxy.requests and it.proxy.open == 0
            assert sum(isinstance(e, AttemptEnded) and e.request_id == "1" for e in it.events) <= 1

    run(test())


def end_by(how: str, client: socket.socket) -> None:
    """The client's end, in its socket at once."""
    if how == "half":
        client.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


@pytest.mark.parametrize("how", ["closed", "half", "reset"])
@pytest.mark.parametrize("attempt", ["first", "on a new connection", "further"])
def test_no_attempt_begins_once_the_client_has_left_however_late_that_is_read(
    attempt: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop had yet to read the client's end when the attempt came up: it was written."""

    async def test() -> None:
        async with gateway(settings=settings(maxAttempts=2)) as it:
            decide(it, ["h0"] * 4, "h0")
            assert it.downstream.listener is not None
            client = socket.create_connection(it.downstream.listener.sockets[0].getsockname())
            arrive, connected = it.proxy.arrive, UpstreamConnection.connection_made
            handle = it.proxy.balancer.handle

            def last_moment(*given: Any, **named: Any) -> Any:
                end_by(how, client)
                return arrive(*given, **named)

            def comes_up(connection: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                end_by(how, client)
                connected(connection, transport)

            def decides(now_us: int, event: Event) -> list[Action]:
                if isinstance(event, AttemptEnded) and event.outcome is Outcome.TIMEOUT:
                    end_by(how, client)
                return handle(now_us, event)

            warm = [await it.client() for _ in range(0 if attempt == "on a new connection" else 2)]
            for other in warm:  # two connections rest, and need no time to come up
                other.send(ask())
            for taken in [await it.host.taken.get() for _ in warm]:
                taken.answer()
            for other in warm:
                assert (await other.answer())[0] == 200
            it.events.clear()
            if attempt == "first":
                monkeypatch.setattr(it.proxy, "arrive", last_moment)
            elif attempt == "on a new connection":
                monkeypatch.setattr(UpstreamConnection, "connection_made", comes_up)
            else:
                monkeypatch.setattr(it.proxy.balancer, "handle", decides)
            client.send(ask())
            if attempt == "further":
                await it.host.taken.get()
                (request,) = it.proxy.requests.values()
                time_out(request, it)
            await it.event(ClientDisconnected)
            await until(lambda: not it.proxy.requests)
            monkeypatch.undo()
            client.close()
            await it.served(await it.client(), ask(Request_Id="stayed"))
            assert it.host.taken.empty() and it.proxy.open == 0

    run(test())


@pytest.mark.parametrize("draining", [False, True])
def test_clients_that_leave_in_a_burst_while_they_wait_are_not_sent_on(
    draining: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with gateway(settings=settings(mayCancel=False)) as it:
            it.proxy.balancer.concurrency_limit.limit = 100.0  # nothing is shed for what is out
            free = hold_connects(it, monkeypatch)
            clients = [await it.client() for _ in range(20)]
            for client in clients:
                client.send(ask())
                await it.event(RequestArrived)
            it.downstream.draining = draining
            for number, client in enumerate(clients):
                client.writer.transport.abort() if number % 2 else client.writer.close()
            await until(lambda: not it.downstream.connections)
            free.set()
            await until(lambda: not it.proxy.requests)
            assert it.proxy.open == 0 and it.host.taken.empty()
            await it.served(await it.client(), ask(Request_Id="stayed"))
            assert it.host.taken.empty() and len(it.proxy.upstream.connections) <= 1

    run(test())


def test_nothing_is_carried_from_one_request_to_the_next_on_a_connection() -> None:
    async def test() -> None:
        tenants = [{"name": "acme"}, {"name": "zeta"}]
        async with gateway(settings={**settings(), "tenants": tenants}) as it:
            client = await it.client()
            marked = ask("buy", Tenant="zeta", Work_Hint="1200", Client_Retry="1", Request_Info="isWrite=1")
            await it.served(client, marked)
            first = await it.event(RequestArrived)
            assert (first.tenant, first.work_us, first.is_retry, first.is_write) == (1, 1200, True, True)
            assert (await client.ask(ask()))[0] == 400  # without its tenant
            await it.served(client, ask("look", Tenant="acme"))
            then = await it.event(RequestArrived)
            assert (then.request_class, then.tenant, then.work_us, then.is_retry, then.is_write) == (
                0,
                0,
                None,
                False,
                False,
            )

    run(test())


def test_a_trailer_says_nothing_about_what_is_asked() -> None:
    """It was read as one of the request's own headers."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            head = ask("buy", Transfer_Encoding="chunked")
            await it.served(client, head + b"1\r\nx\r\n0\r\nWork-Hint: 7\r\nClient-Retry: 1\r\n\r\n")
            arrived = await it.event(RequestArrived)
            assert (arrived.work_us, arrived.is_retry) == (None, False)

    run(test())


def test_a_time_out_that_comes_due_with_the_last_resort_is_answered_by_the_balancer() -> None:
    """Told of only in the loop's next turn, it found its request answered with 504 on a busy gateway."""

    async def test() -> None:
        async with gateway() as it:
            client = await it.client()
            client.send(ask("buy", Request_Timeout_Ms="300"))
            await it.host.taken.get()
            (request,) = it.proxy.requests.values()
            while it.proxy.clock.now_us() < request.deadline_us + 2 * LAST_RESORT_US:
                pass  # this turn of the loop lasts until both are due
            assert (await client.answer())[0] == 502
            assert (await it.event(AttemptEnded)).outcome is Outcome.TIMEOUT

    run(test())
