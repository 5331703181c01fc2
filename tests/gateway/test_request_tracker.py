"""Each request gets exactly one final answer, whatever fails."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import Action, Reject
from load_balancer.decisions.events import AttemptEnded, Event, Outcome, RequestArrived
from load_balancer.gateway.request_tracker import DEADLINE_TIMER_DELAY_US
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import pause_endpoint_connects, running_gateway
from tests.gateway.scripted_balancer import replace_decisions


@runs_in_event_loop
async def test_a_request_and_its_response_are_forwarded_unchanged() -> None:
    async with running_gateway() as gateway:
        client = await gateway.client()
        headers = {"Request_Id": "0123abcd", "X_Trace": "t1", "X_Hop": "h", "Connection": "X-Hop"}
        client.send(encode_request("pay", body=b"\0\xffcard", **headers))
        received = await gateway.endpoint.requests.get()
        assert received.request_line == "POST /pay?user=00ff HTTP/1.1"
        assert received.body == b"\0\xffcard"
        assert received.headers["request-id"] == "0123abcd"
        assert received.headers["idempotency-key"] == "77"
        assert received.headers["x-trace"] == "t1"
        assert not {"x-hop", "connection"} & received.headers.keys()
        assert 0 < int(received.headers["request-timeout-ms"]) <= 30_000
        received.respond(200, b"\1\xfepaid", Content_Type="application/x-slip")
        status, headers, body = await client.read_response()
        assert (status, body) == (200, b"\1\xfepaid")
        assert headers["content-type"] == "application/x-slip"
        arrived = await gateway.wait_for_event(RequestArrived)
        assert (arrived.request_class, arrived.key) == (1, 0xFF)


@runs_in_event_loop
async def test_a_request_that_nothing_answers_gets_504_at_its_deadline(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with running_gateway() as gateway:
        replace_decisions(gateway, lambda _: [])
        assert (await (await gateway.client()).request(encode_request(Request_Timeout_Ms="50")))[0] == 504
        assert "no answer at its deadline" in caplog.text
        assert not gateway.proxy.request_tracker.pending


@runs_in_event_loop
async def test_a_rejection_is_answered_with_503_and_retry_after() -> None:
    async with running_gateway() as gateway:

        def reject(event: Event) -> list[Action]:
            return [Reject(event.request_id, 1_250_000)] if isinstance(event, RequestArrived) else []

        replace_decisions(gateway, reject)
        status, headers, _ = await (await gateway.client()).request(encode_request())
        assert status == 503
        assert float(headers["retry-after"]) == 1.25


@runs_in_event_loop
async def test_an_exception_in_a_decision_fails_only_its_request(caplog: pytest.LogCaptureFixture) -> None:
    async with running_gateway() as gateway:
        handle = gateway.proxy.balancer.handle

        def handle_with_fault(now_us: int, event: Event) -> list[Action]:
            if isinstance(event, RequestArrived):
                raise RuntimeError("a fault")
            return handle(now_us, event)

        client = await gateway.client()
        gateway.proxy.balancer.handle = handle_with_fault  # type: ignore[method-assign]
        assert (await client.request(encode_request()))[0] == 500
        assert "a fault" in caplog.text
        assert not gateway.proxy.request_tracker.pending
        gateway.proxy.balancer.handle = handle  # type: ignore[method-assign]
        await gateway.serve_request(client)


@runs_in_event_loop
async def test_requests_over_the_limit_on_open_requests_are_rejected() -> None:
    async with running_gateway(settings=settings(mostHeld=1)) as gateway:
        first = await gateway.client()
        first.send(encode_request())
        received = await gateway.endpoint.requests.get()
        assert (await (await gateway.client()).request(encode_request()))[0] == 503
        received.respond()
        assert (await first.read_response())[0] == 200
        await gateway.serve_request(first)


@pytest.mark.parametrize("may_cancel", [True, False])
@runs_in_event_loop
async def test_a_request_answered_while_its_connection_opens_is_not_forwarded(
    may_cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its deadline passes while it waits for a connection; nothing may be sent once that is open."""
    async with running_gateway(settings=settings(mayCancel=may_cancel)) as gateway:
        resume_connects = pause_endpoint_connects(gateway, monkeypatch)
        client = await gateway.client()
        client.send(encode_request("buy"))
        await gateway.wait_for_event(RequestArrived)
        (request,) = gateway.proxy.request_tracker.pending.values()
        gateway.proxy.request_tracker.answer_deadline_exceeded(request)
        assert (await client.read_response())[0] == 504
        resume_connects.set()
        assert (await gateway.wait_for_event(AttemptEnded)).finished
        await gateway.serve_request(client, encode_request(Request_Id="next"))
        assert gateway.endpoint.requests.empty()
        assert not gateway.proxy.request_tracker.pending


@runs_in_event_loop
async def test_the_balancer_answers_a_time_out_that_is_due_with_the_deadline_timer() -> None:
    """Both timers are due in one iteration of the loop.

    If the deadline timer ran first, the client would get its 504 in place of the balancer's answer.
    """
    async with running_gateway() as gateway:
        client = await gateway.client()
        client.send(encode_request("buy", Request_Timeout_Ms="300"))
        await gateway.endpoint.requests.get()
        (request,) = gateway.proxy.request_tracker.pending.values()
        while gateway.proxy.clock.now_us() < request.deadline_us + 2 * DEADLINE_TIMER_DELAY_US:
            pass  # keeps the loop busy until both timers are due
        assert (await client.read_response())[0] == 502
        assert (await gateway.wait_for_event(AttemptEnded)).outcome is Outcome.TIMEOUT
