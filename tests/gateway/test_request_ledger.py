"""Each request gets exactly one final answer, whatever fails."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import Action, Reject
from load_balancer.decisions.events import AttemptEnded, Event, Outcome, RequestArrived
from load_balancer.gateway.request_ledger import LAST_RESORT_DELAY_US
from tests.gateway.scripted_balancer import replace_decisions
from tests.sockets import ask, gateway, hold_connects, runs_in_event_loop, settings


@runs_in_event_loop
async def test_a_request_is_forwarded_and_its_response_comes_back_unchanged() -> None:
    async with gateway() as it:
        client = await it.client()
        client.send(ask("pay", body=b"\0\xffcard", X_Trace="t1", X_Hop="h", Connection="X-Hop"))
        taken = await it.host.taken.get()
        assert taken.first == "POST /pay?user=00ff HTTP/1.1"
        assert taken.body == b"\0\xffcard"
        assert taken.head["request-id"] == "0123abcd"
        assert taken.head["idempotency-key"] == "77"
        assert taken.head["x-trace"] == "t1"
        assert not {"x-hop", "connection"} & taken.head.keys()
        assert 0 < int(taken.head["request-timeout-ms"]) <= 30_000
        taken.answer(200, b"\1\xfepaid", Content_Type="application/x-slip")
        status, head, body = await client.answer()
        assert (status, body) == (200, b"\1\xfepaid")
        assert head["content-type"] == "application/x-slip"
        arrived = await it.event(RequestArrived)
        assert (arrived.request_class, arrived.key) == (1, 0xFF)


@runs_in_event_loop
async def test_a_request_that_nothing_answers_gets_504_at_its_deadline(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with gateway() as it:
        replace_decisions(it, lambda _: [])
        assert (await (await it.client()).ask(ask(Request_Timeout_Ms="50")))[0] == 504
        assert "no answer at its deadline" in caplog.text
        assert not it.proxy.ledger.pending


@runs_in_event_loop
async def test_a_rejection_comes_at_once_with_retry_after() -> None:
    async with gateway() as it:

        def reject(event: Event) -> list[Action]:
            return [Reject(event.request_id, 1_250_000)] if isinstance(event, RequestArrived) else []

        replace_decisions(it, reject)
        status, head, _ = await (await it.client()).ask(ask())
        assert status == 503
        assert float(head["retry-after"]) == 1.25


@runs_in_event_loop
async def test_an_exception_in_a_decision_fails_its_request_alone(caplog: pytest.LogCaptureFixture) -> None:
    async with gateway() as it:
        handle = it.proxy.balancer.handle

        def broken(now_us: int, event: Event) -> list[Action]:
            if isinstance(event, RequestArrived):
                raise RuntimeError("a fault")
            return handle(now_us, event)

        client = await it.client()
        it.proxy.balancer.handle = broken  # type: ignore[method-assign]
        assert (await client.ask(ask()))[0] == 500
        assert "a fault" in caplog.text
        assert not it.proxy.ledger.pending
        it.proxy.balancer.handle = handle  # type: ignore[method-assign]
        await it.served(client)


@runs_in_event_loop
async def test_requests_over_the_limit_are_rejected() -> None:
    async with gateway(settings=settings(mostHeld=1)) as it:
        first = await it.client()
        first.send(ask())
        taken = await it.host.taken.get()
        assert (await (await it.client()).ask(ask()))[0] == 503
        taken.answer()
        assert (await first.answer())[0] == 200
        await it.served(first)


@pytest.mark.parametrize("may_cancel", [True, False])
@runs_in_event_loop
async def test_a_request_answered_while_its_connection_comes_up_is_not_forwarded(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last resort answers it; its connection is up only after that."""
    async with gateway(settings=settings(mayCancel=may_cancel)) as it:
        free = hold_connects(it, monkeypatch)
        client = await it.client()
        client.send(ask("buy"))
        await it.event(RequestArrived)
        (request,) = it.proxy.ledger.pending.values()
        it.proxy.ledger.answer_at_last_resort(request)
        assert (await client.answer())[0] == 504
        free.set()
        assert (await it.event(AttemptEnded)).finished
        await it.served(client, ask(Request_Id="next"))
        assert it.host.taken.empty()
        assert not it.proxy.ledger.pending


@runs_in_event_loop
async def test_a_time_out_that_comes_due_with_the_last_resort_is_answered_by_the_balancer() -> None:
    """Its outcome is reported in the loop's next turn, before the last resort answers."""
    async with gateway() as it:
        client = await it.client()
        client.send(ask("buy", Request_Timeout_Ms="300"))
        await it.host.taken.get()
        (request,) = it.proxy.ledger.pending.values()
        while it.proxy.clock.now_us() < request.deadline_us + 2 * LAST_RESORT_DELAY_US:
            pass  # this turn of the loop lasts until both are due
        assert (await client.answer())[0] == 502
        assert (await it.event(AttemptEnded)).outcome is Outcome.TIMEOUT
