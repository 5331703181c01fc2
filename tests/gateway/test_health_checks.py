"""Health checks and load reports."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import StartHealthCheck
from load_balancer.decisions.events import AttemptEnded, HealthCheckEnded, Outcome
from load_balancer.gateway.discovery_messages import endpoint_id_of
from tests.gateway.configurations import settings
from tests.gateway.event_loop import runs_in_event_loop
from tests.gateway.http_client import encode_request
from tests.gateway.running_gateway import running_gateway


@runs_in_event_loop
async def test_load_reports_are_read_from_responses() -> None:
    report_settings = {**settings(), "report": {"how": "piggyback", "fields": ["inflight", "util"]}}
    async with running_gateway(settings=report_settings) as gateway:
        client = await gateway.client()
        client.send(encode_request())
        (await gateway.endpoint.requests.get()).respond(Server_Load="inflight=7,util=0.61")
        assert "server-load" not in (await client.read_response())[1]
        assert (await gateway.wait_for_event(AttemptEnded)).load_report == (("inflight", 7.0), ("util", 0.61))


@pytest.mark.parametrize(("how", "path"), [("silent", "/health/live"), ("pull", "/stats")])
@runs_in_event_loop
async def test_a_health_check_requests_the_path_of_its_settings(how: str, path: str) -> None:
    check_settings = {**settings(probes=True), "report": {"how": how, "fields": ["queue"]}}
    async with running_gateway(settings=check_settings) as gateway:
        gateway.proxy.execute(StartHealthCheck(endpoint_id_of("h0")))
        received = await gateway.endpoint.requests.get()
        assert received.request_line == f"GET {path} HTTP/1.1"
        assert "request-id" not in received.headers
        assert received.headers["host"] == gateway.endpoint.address
        received.respond(body=b"queue=3")
        ended = await gateway.wait_for_event(HealthCheckEnded)
        assert ended.outcome is Outcome.OK
        assert ended.load_report == ((("queue", 3.0),) if how == "pull" else ())
