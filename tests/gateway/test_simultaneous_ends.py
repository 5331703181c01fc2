"""Several ends of an attempt in one iteration of the loop: the first counts, and one copy is in flight."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import pytest

from load_balancer.decisions.actions import Cancel
from load_balancer.decisions.events import AttemptEnded, Outcome
from load_balancer.gateway.request_tracker import PendingRequest
from load_balancer.gateway.upstream_connection import UpstreamConnection
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop, wait_until
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import RunningGateway, running_gateway
from tests.gateway.scripted_balancer import script_decisions, time_out
from tests.gateway.stub_server import send_now

END_CAUSES = ["cancelled", "timed out", "malformed"]


@pytest.mark.parametrize("cause", END_CAUSES)
@runs_in_event_loop
async def test_no_attempt_is_written_while_the_connection_of_the_previous_one_is_open(
    cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An aborted connection closes only in the loop's next iteration.

    An attempt written before that would leave two copies of the request in flight.
    """
    async with running_gateway(endpoint_count=2, settings=settings(maxAttempts=2)) as gateway:
        script_decisions(gateway, ["h0", "h1", "h0"], "h1")
        client = await gateway.client()
        for _ in range(2):  # leaves an idle connection to each endpoint, so that no attempt waits for one
            await gateway.serve_request(client)
        write, earlier_connections_open = UpstreamConnection.write, []
        descriptors: list[int] = []

        def check_and_write(connection: UpstreamConnection, attempt: Any) -> None:
            assert connection.transport is not None
            earlier_connections_open.append([is_open(descriptor) for descriptor in descriptors])
            descriptors.append(connection.transport.get_extra_info("socket").fileno())
            write(connection, attempt)

        monkeypatch.setattr(UpstreamConnection, "write", check_and_write)
        client.send(encode_request())
        received = await gateway.endpoint.requests.get()
        (request,) = gateway.proxy.request_tracker.pending.values()
        (attempt,) = request.attempts
        assert attempt is not None
        if cause == "cancelled":
            gateway.proxy.execute(Cancel(request.id, 0))
        elif cause == "timed out":
            attempt.abandon(Outcome.TIMEOUT)
        else:
            received.respond_raw(b"no HTTP at all\r\n\r\n")
        (await gateway.endpoint.requests.get()).respond()
        assert (await client.read_response())[0] == 200
        assert earlier_connections_open == [[], [False]]


def is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def disconnect(request: PendingRequest, gateway: RunningGateway) -> None:
    gateway.proxy.request_tracker.client_disconnected(request)


def expire(request: PendingRequest, _gateway: RunningGateway) -> None:
    time_out(request)


def cancel(request: PendingRequest, gateway: RunningGateway) -> None:
    gateway.proxy.execute(Cancel(request.id, len(request.attempts) - 1))


EndFunction = Callable[[PendingRequest, RunningGateway], None]
OUTCOMES: dict[EndFunction, Outcome] = {
    disconnect: Outcome.CANCELLED,  # the balancer cancels the attempt at once
    expire: Outcome.TIMEOUT,
    cancel: Outcome.CANCELLED,
}


@pytest.mark.parametrize("response_state", ["not sent", "unread", "read"])
@pytest.mark.parametrize("second", OUTCOMES)
@pytest.mark.parametrize("first", OUTCOMES)
@runs_in_event_loop
async def test_the_first_of_simultaneous_ends_counts_once(
    first: EndFunction, second: EndFunction, response_state: str
) -> None:
    """Two of a time-out, a cancel and a disconnect come in one iteration of the loop, in any order.

    The response has not been sent, has not been read yet, or has been read before them. Without a check,
    each end would report an outcome.
    """
    async with running_gateway(settings=settings(maxAttempts=2)) as gateway:
        script_decisions(gateway, ["h0", "h0"], "h0")
        client = await gateway.client()
        client.send(encode_request(Request_Id="first"))
        received = await gateway.endpoint.requests.get()
        (request,) = gateway.proxy.request_tracker.pending.values()
        (attempt,) = request.attempts
        assert attempt is not None
        if response_state != "not sent":
            send_now(received.writer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        if response_state == "read":
            await wait_until(lambda: attempt.done)
        first(request, gateway)
        second(request, gateway)
        ended = await gateway.wait_for_event(AttemptEnded)
        if response_state == "read":
            assert ended.outcome is Outcome.OK
            assert (await client.read_response())[0] == 200
        else:
            assert ended.outcome is OUTCOMES[first]
            await gateway.endpoint.closed_connections.get()
        if response_state != "read" and disconnect not in (first, second):
            (await gateway.endpoint.requests.get()).respond()
            assert (await client.read_response())[0] == 200
        await gateway.serve_request(await gateway.client(), encode_request(Request_Id="next"))
        assert gateway.endpoint.requests.empty()
        assert not gateway.proxy.request_tracker.pending
        assert gateway.proxy.request_tracker.unanswered == 0
        assert sum(isinstance(e, AttemptEnded) and e.request_id == "1" for e in gateway.events) <= 1
