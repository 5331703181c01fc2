"""Whole runs: each scenario plays, and equal seeds give equal runs."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from lab.model import experiment, scenario_files, score
from lab.model.policies import POLICIES, Policy
from load_balancer.decisions.actions import Action
from load_balancer.decisions.events import Event, RequestArrived
from load_balancer.decisions.settings import Settings
from tests.lab.model.support import RELEASE, parse_tiny, play, violated_rules


@pytest.mark.parametrize("path", sorted(scenario_files.FOLDER.glob("*.toml")), ids=lambda path: path.stem)
def test_each_scenario_file_plays_without_a_broken_rule(path: Path) -> None:
    it = scenario_files.load(path)
    world = play(msgspec.structs.replace(it, seconds=min(it.seconds, 240.0)), POLICIES["rosedeal"])
    assert world.rules.violations == []
    found = score.compute_result(world)
    assert 0.3 < found["G"] <= 1.0
    assert sum(found["shares"].values()) == pytest.approx(1.0)
    assert found["shares"]["lost"] == 0.0


@pytest.mark.parametrize("policy", POLICIES)
def test_equal_seeds_give_equal_days(policy: str) -> None:
    it = parse_tiny(RELEASE)
    first, again, other = (experiment.simulate(it, policy, seed) for seed in (3, 3, 4))
    assert first == again
    assert first["G"] != other["G"]


def test_two_policies_meet_the_same_day() -> None:
    def recorded(policy: str) -> list[tuple[object, ...]]:
        met: list[tuple[object, ...]] = []

        def make(settings: Settings, seed: int) -> Policy:
            inner = POLICIES[policy](settings, seed)

            class Recorder:
                def handle(self, now_us: int, event: Event) -> list[Action]:
                    if isinstance(event, RequestArrived) and not event.is_retry:
                        e = event
                        met.append(
                            (
                                now_us,
                                settings.gateway_index,
                                e.request_class,
                                e.tenant,
                                e.work_us,
                                e.remaining_timeout_us,
                            )
                        )
                    return inner.handle(now_us, event)

            return Recorder()

        play(parse_tiny(RELEASE), make)
        return met

    first = recorded("rosedeal")
    assert len(first) > 300
    assert all(recorded(policy) == first for policy in ("random", "two-choices"))


@pytest.mark.parametrize("policy", POLICIES)
def test_the_policies_break_none_of_the_first_three(policy: str) -> None:
    assert violated_rules(play(parse_tiny(RELEASE), POLICIES[policy])) <= {4}
