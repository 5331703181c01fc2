"""What the log tells of a request that is not served: its id, its attempts, the list, and the reasons."""

from __future__ import annotations

import logging
from typing import Any

import pytest

from load_balancer.gateway import event_log
from tests.gateway.configurations import settings
from tests.gateway.discovery_helpers import gateway_with_watch, next_list
from tests.gateway.http_client import encode_request
from tests.gateway.stub_discovery import encode_chunk, endpoint_entry, watch_event


def logged(caplog: pytest.LogCaptureFixture, name: str) -> list[dict[str, Any]]:
    """Return the fields of the events of a name that were logged or counted so far."""
    event_log.flush()
    events: list[Any] = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    return [event for event in events if event["event"] == name]


async def test_a_request_that_is_not_served_can_be_traced_in_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with gateway_with_watch(endpoint_count=2, settings=settings(maxAttempts=3)) as (gateway, watch):
        client = await gateway.client()
        client.send(encode_request(Request_Id="00c1"))
        first = await gateway.endpoint.requests.get()
        gone = [endpoint_entry(f"h{n}", gateway.endpoint.address, "left") for n in range(2)]
        first.respond(500)
        second = await gateway.endpoint.requests.get()
        watch.write(encode_chunk(watch_event(*gone, index=9)))
        await next_list(gateway)
        second.respond(503, Not_Started="1")
        assert (await client.read_response())[0] == 503
    (listed,) = logged(caplog, "endpoint_list.applied")
    assert listed == {
        "event": "endpoint_list.applied",
        "list_kind": "delta",
        "index": 9,
        "endpoints": 2,
        "ready": 0,
    }
    assert [event["index"] for event in logged(caplog, "endpoint_list.none_ready")] == [9]
    (unserved,) = logged(caplog, "request.unserved")
    assert (unserved["client_request_id"], unserved["status"]) == ("00c1", 503)
    assert unserved["reason"] == "no endpoint is eligible"
    failures = logged(caplog, "attempt.failed")
    assert [(event["attempt"], event["outcome"]) for event in failures] == [(0, "error"), (1, "rejected")]
    assert [event["attempt"] for event in logged(caplog, "attempt.retried")] == [1]
    assert {event["client_request_id"] for event in failures} == {"00c1"}
    reasons = [event["reason"] for event in logged(caplog, "upstream_connection.closed")]
    assert "the endpoint drains or has been removed" in reasons


async def test_a_refusal_without_a_decision_is_logged_with_its_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    async with gateway_with_watch() as (gateway, _):
        client = await gateway.client()
        assert (await client.request(b"NONSENSE\r\n\r\n"))[0] == 400
        assert await client.is_closed()
    (refused,) = logged(caplog, "request.refused")
    assert refused["status"] == 400
    assert [event["reason"] for event in logged(caplog, "client_connection.closed")] == [
        "its last answer is sent"
    ]
