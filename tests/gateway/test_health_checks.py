"""Health checks and load reports."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import StartHealthCheck
from load_balancer.decisions.events import AttemptEnded, HealthCheckEnded, Outcome
from load_balancer.gateway.discovery_messages import endpoint_id_of
from tests.sockets import ask, gateway, runs_in_event_loop, settings


@runs_in_event_loop
async def test_load_reports_come_with_responses() -> None:
    reports = {**settings(), "report": {"how": "piggyback", "fields": ["inflight", "util"]}}
    async with gateway(settings=reports) as it:
        client = await it.client()
        client.send(ask())
        (await it.host.taken.get()).answer(Server_Load="inflight=7,util=0.61")
        assert "server-load" not in (await client.answer())[1]
        assert (await it.event(AttemptEnded)).load_report == (("inflight", 7.0), ("util", 0.61))


@pytest.mark.parametrize(("how", "path"), [("silent", "/health/live"), ("pull", "/stats")])
@runs_in_event_loop
async def test_health_checks(how: str, path: str) -> None:
    probing = {**settings(probes=True), "report": {"how": how, "fields": ["queue"]}}
    async with gateway(settings=probing) as it:
        it.proxy.execute(StartHealthCheck(endpoint_id_of("h0")))
        taken = await it.host.taken.get()
        assert taken.first == f"GET {path} HTTP/1.1"
        assert "request-id" not in taken.head
        assert taken.head["host"] == it.host.address
        taken.answer(body=b"queue=3")
        ended = await it.event(HealthCheckEnded)
        assert ended.outcome is Outcome.OK
        assert ended.load_report == ((("queue", 3.0),) if how == "pull" else ())
