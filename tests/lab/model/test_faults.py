"""Faults of discovery, gateways, peer messages and attempts."""

from __future__ import annotations

import pytest

from lab.model import scenario_files, score
from lab.model.engine import START_US
from lab.model.policies import Policy, ReferencePolicy
from load_balancer.decisions.actions import Action, SendPeerMessage
from load_balancer.decisions.balancer import Balancer
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
from tests.lab.model.support import RELEASE, TINY, parse_tiny, simulate, violated_rules


def test_a_watch_breaks_while_discovery_is_down_and_changes_arrive_afterwards() -> None:
    """A gateway must receive an error when its watch breaks, and the missed changes after the outage."""
    received: list[tuple[float, ListKind]] = []

    def create_policy(settings: Settings, seed: int) -> Policy:
        policy = ReferencePolicy(settings, seed)
        inner_on_list = policy.on_list

        def on_list(now_us: int, event: EndpointListReceived) -> list[Action]:
            if settings.gateway_index == 0:
                received.append(((now_us - START_US) / 1e6, event.kind))
            return inner_on_list(now_us, event)

        policy.on_list = on_list  # type: ignore[method-assign]
        return policy

    outage = '\n[[troubles]]\nkind = "discovery"\nat_s = 1.0\nfor_s = 6.0\n'
    simulation = simulate(parse_tiny(RELEASE + outage), create_policy)
    errors = [at_s for at_s, kind in received if kind is ListKind.ERROR]
    deltas = [at_s for at_s, kind in received if kind is ListKind.DELTA]
    assert errors[0] == 1.0
    assert all(1.0 <= at_s < 8.0 for at_s in errors)
    assert not [at_s for at_s in deltas if 1.0 <= at_s < 7.0]
    assert [at_s for at_s in deltas if at_s >= 7.0]
    assert violated_rules(simulation) <= {4}


def test_the_ingress_sends_to_a_dead_gateway_until_it_detects_the_failure() -> None:
    """Requests are lost for as long as detection takes, and hardly any if it is immediate."""
    restarts = '\n[[troubles]]\nkind = "gateways"\nat_s = 3.0\nfor_s = 0.0\npart = 0.5\ndown_s = 6.0\n'
    no_retries = "\n[clients]\nretries = 0\n"
    unreachable = [
        score.compute_result(
            simulate(
                parse_tiny(f"[network]\nfront_s = [{detection_s}, {detection_s}]\n{no_retries}{restarts}"),
                ReferencePolicy,
            )
        )["shares"]
        for detection_s in (0.0, 3.0)
    ]
    assert unreachable[0]["unreachable"] < 0.02
    assert 0.10 < unreachable[1]["unreachable"] < 0.25, "half of the requests of three seconds in ten"


def test_peer_messages_are_delayed_and_do_not_cross_a_partition() -> None:
    received: list[tuple[int, int, int]] = []

    class PeerMessagePolicy(ReferencePolicy):
        def handle(self, now_us: int, event: Event) -> list[Action]:
            if isinstance(event, PeerMessageReceived):
                sent_us = int.from_bytes(event.data)
                received.append((self.settings.gateway_index, event.gateway_index, now_us - sent_us))
                assert not 3e6 <= sent_us - START_US < 7e6
            messages = [SendPeerMessage(now_us.to_bytes(8))] if isinstance(event, RequestArrived) else []
            return [*super().handle(now_us, event), *messages]

    text = TINY.replace('{west = ["a", "b"]}', '{west = ["a"], east = ["b"]}')
    text += '\n[[troubles]]\nkind = "cut"\nat_s = 3.0\nfor_s = 4.0\nregions = ["east"]\n'
    result = score.compute_result(simulate(scenario_files.parse(text, "tiny.toml"), PeerMessagePolicy))
    assert {pair[:2] for pair in received} == {(0, 1), (1, 0)}
    assert all(4_800 <= delay_us <= 38_000 for _, _, delay_us in received)
    assert result["costs"]["peer_bytes"] == 8 * len(received) > 0


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        ('kind = "silent"\npart = 1.0', Outcome.CONNECT_FAILED),
        ('kind = "silent"\npart = 1.0', Outcome.TIMEOUT),
        ('kind = "loss"\nshare = 0.5', Outcome.RESET),
        ('kind = "cut"\nregions = ["west"]', Outcome.CONNECT_FAILED),
    ],
)
def test_each_fault_ends_attempts_with_its_outcome(fault: str, outcome: Outcome) -> None:
    """The outcome must occur while the fault lasts; before it, attempts end with an answer."""
    outcomes: list[tuple[int, Outcome]] = []

    class RecordingPolicy(ReferencePolicy):
        def on_attempt_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
            outcomes.append((now_us - START_US, event.outcome))
            return super().on_attempt_end(now_us, event)

    text = TINY.replace('{west = ["a", "b"]}', '{west = ["a"], east = ["b"]}')
    text += f"\n[[troubles]]\nat_s = 3.0\nfor_s = 4.0\n{fault}\n"
    simulate(scenario_files.parse(text, "tiny.toml"), RecordingPolicy)
    assert any(outcome_seen is outcome and 3e6 <= at_us < 8e6 for at_us, outcome_seen in outcomes)
    assert all(outcome_seen in (Outcome.OK, Outcome.ERROR) for at_us, outcome_seen in outcomes if at_us < 3e6)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_fleet_that_drains_goes_and_returns_cold_breaks_no_rule(seed: int) -> None:
    """No request may be sent to it while it is gone, and no endpoint may be overloaded when it returns."""
    scenario = scenario_files.load(scenario_files.FOLDER / "fleet-returns.toml")
    assert violated_rules(simulate(scenario, Balancer, seed)) == set()
