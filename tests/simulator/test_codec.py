"""The simulator's text protocol: lines parsed to events, and actions formatted as lines."""

from __future__ import annotations

import pytest

from load_balancer.decisions.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    LogEvent,
    PollEndpoints,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    StartHealthCheck,
    SubscribeEndpoints,
)
from load_balancer.decisions.endpoint import Endpoint, EndpointStatus
from load_balancer.decisions.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from load_balancer.simulator.codec import PARSERS, format_action, parse_endpoint, split_line
from load_balancer.simulator.vocabulary import OUTCOMES


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "incoming requestId=t/a affinity=ff costUs=12 customer=2 graceUs=240 priority=1 retry=1"
            " isWrite=1",
            RequestArrived("t/a", 1, 240, 255, 12, True, 2, True),
        ),
        ("incoming requestId=t/a graceUs=240", RequestArrived("t/a", 0, 240)),
        (
            "outcome requestId=t/a shot=1 host=9 verdict=502 durationUs=7 pressure=eps:0.1,inflight:3.5",
            AttemptEnded("t/a", 1, 9, Outcome.ERROR, 7, False, (("eps", 0.1), ("inflight", 3.5))),
        ),
        ("dropped requestId=t/a", ClientDisconnected("t/a")),
        ("streaming requestId=t/a durationUs=9 host=5 shot=0", StreamStarted("t/a", 0)),
        ("reminder keyBack=77", TimerFired(77)),
        (
            "pong host=9 verdict=200 durationUs=3 pressure=queue:4,util:odd",
            HealthCheckEnded(9, Outcome.OK, 3, (("queue", 4.0),)),
        ),
        ("inbox src=1 bytes=aGkgNw==", PeerMessageReceived(1, b"hi 7")),
        ("inbox src=1 bytes=-", PeerMessageReceived(1, b"")),
    ],
)
def test_events_are_parsed(line: str, event: Event) -> None:
    name, fields = split_line(line)
    assert PARSERS[name](fields) == event


def test_every_outcome_has_a_code() -> None:
    assert set(OUTCOMES.values()) == set(Outcome)


def test_endpoint_entries_are_parsed() -> None:
    _, fields = split_line(
        "host campus=1 host=7 heft=1.5 group=3 sinceUs=61 status=Terminating classOfHost=2"
    )
    assert parse_endpoint(fields) == Endpoint(7, EndpointStatus.DRAINING, 1.5, 1, 3, 2, 61)


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (Send("t/a", 7, 90), "pass_on requestId=t/a maxWaitUs=90 host=7"),
        (Reject("t/a", 5), "bounce requestId=t/a comeBackUs=5"),
        (Fail("t/a"), "surrender requestId=t/a"),
        (Cancel("t/a", 1), "retract requestId=t/a shot=1"),
        (SetTimer(9, 4), "notify_me dueAtUs=9 keyBack=4"),
        (SubscribeEndpoints(), "track on=1"),
        (SubscribeEndpoints(active=False), "track on=0"),
        (PollEndpoints(), "snapshot"),
        (StartHealthCheck(7), "ask_load host=7"),
        (CloseIdleConnections(7), "hang_up host=7"),
        (SendPeerMessage(b"hi 7"), "broadcast_to dest=-1 bytes=aGkgNw=="),
        (SendPeerMessage(b"", 3), "broadcast_to dest=3 bytes=-"),
        (LogEvent("two words"), "journal_line line=two words"),
    ],
)
def test_actions_are_formatted(action: Action, line: str) -> None:
    assert format_action(action) == line
