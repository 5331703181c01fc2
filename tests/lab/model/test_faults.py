"""Faults: discovery, gateways, messages between them, attempts."""

from __future__ import annotations

import pytest

from lab.model import scenario_files, score
from lab.model.engine import START_US
from lab.model.policies import Policy, ReferencePolicy
from load_balancer.decisions.actions import Action, SendPeerMessage
from load_balancer.decisions.endpoint import ListKind
from load_balancer.decisions.events import (
    AttemptEnded,
    EndpointListReceived,
    Event,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
)
from load_balancer.decisions.settings import Settings
from tests.lab.model.support import RELEASE, TINY, parse_tiny, play, violated_rules


def test_a_watch_breaks_while_discovery_is_down_and_the_news_come_after() -> None:
    heard: list[tuple[float, ListKind]] = []

    def make(settings: Settings, seed: int) -> Policy:
        policy = ReferencePolicy(settings, seed)
        inner = policy.on_list

        def on_list(now_us: int, event: EndpointListReceived) -> list[Action]:
            if settings.gateway_index == 0:
                heard.append(((now_us - START_US) / 1e6, event.kind))
            return inner(now_us, event)

        policy.on_list = on_list  # type: ignore[method-assign]
        return policy

    down = '\n[[troubles]]\nkind = "discovery"\nat_s = 1.0\nfor_s = 6.0\n'
    world = play(parse_tiny(RELEASE + down), make)
    errors = [at_s for at_s, kind in heard if kind is ListKind.ERROR]
    deltas = [at_s for at_s, kind in heard if kind is ListKind.DELTA]
    assert errors[0] == 1.0
    assert all(1.0 <= at_s < 8.0 for at_s in errors)
    assert not [at_s for at_s in deltas if 1.0 <= at_s < 7.0]
    assert [at_s for at_s in deltas if at_s >= 7.0]
    assert violated_rules(world) <= {4}


def test_the_front_layer_goes_on_sending_to_a_dead_gateway() -> None:
    roll = '\n[[troubles]]\nkind = "gateways"\nat_s = 3.0\nfor_s = 0.0\npart = 0.5\ndown_s = 6.0\n'
    once = "\n[clients]\nretries = 0\n"
    unreachable = [
        score.compute_result(
            play(parse_tiny(f"[network]\nfront_s = [{s}, {s}]\n{once}{roll}"), ReferencePolicy)
        )["shares"]
        for s in (0.0, 3.0)
    ]
    assert unreachable[0]["unreachable"] < 0.02
    assert 0.10 < unreachable[1]["unreachable"] < 0.25, "half of three seconds in ten"


def test_messages_between_gateways_come_late_and_not_through_a_cut() -> None:
    heard: list[tuple[int, int, int]] = []

    class Talks(ReferencePolicy):
        def handle(self, now_us: int, event: Event) -> list[Action]:
            if isinstance(event, PeerMessageReceived):
                sent_us = int.from_bytes(event.data)
                heard.append((self.settings.gateway_index, event.gateway_index, now_us - sent_us))
                assert not 3e6 <= sent_us - START_US < 7e6
            told = [SendPeerMessage(now_us.to_bytes(8))] if isinstance(event, RequestArrived) else []
            return [*super().handle(now_us, event), *told]

    text = TINY.replace('{west = ["a", "b"]}', '{west = ["a"], east = ["b"]}')
    text += '\n[[troubles]]\nkind = "cut"\nat_s = 3.0\nfor_s = 4.0\nregions = ["east"]\n'
    found = score.compute_result(play(scenario_files.parse(text, "tiny.toml"), Talks))
    assert {pair[:2] for pair in heard} == {(0, 1), (1, 0)}
    assert all(4_800 <= delay_us <= 38_000 for _, _, delay_us in heard)
    assert found["costs"]["peer_bytes"] == 8 * len(heard) > 0


@pytest.mark.parametrize(
    ("trouble", "outcome"),
    [
        ('kind = "silent"\npart = 1.0', Outcome.CONNECT_FAILED),
        ('kind = "silent"\npart = 1.0', Outcome.TIMEOUT),
        ('kind = "loss"\nshare = 0.5', Outcome.RESET),
        ('kind = "cut"\nregions = ["west"]', Outcome.CONNECT_FAILED),
    ],
)
def test_troubles_end_attempts_as_they_would(trouble: str, outcome: Outcome) -> None:
    ends: list[tuple[int, Outcome]] = []

    class Watched(ReferencePolicy):
        def on_attempt_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
            ends.append((now_us - START_US, event.outcome))
            return super().on_attempt_end(now_us, event)

    text = TINY.replace('{west = ["a", "b"]}', '{west = ["a"], east = ["b"]}')
    text += f"\n[[troubles]]\nat_s = 3.0\nfor_s = 4.0\n{trouble}\n"
    play(scenario_files.parse(text, "tiny.toml"), Watched)
    assert any(what is outcome and 3e6 <= at < 8e6 for at, what in ends)
    assert all(what in (Outcome.OK, Outcome.ERROR) for at, what in ends if at < 3e6)
