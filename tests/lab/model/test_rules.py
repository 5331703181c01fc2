"""The rules: policies that break one are reported, and what the rules allow is not."""

from __future__ import annotations

import msgspec
import pytest

from lab.model import scenario_files
from lab.model.policies import ReferencePolicy
from tests.lab.model.mutants import (
    AnswersTwice,
    FloodsNewestEndpoint,
    KeepsEveryEndpoint,
    NeverAnswers,
    NeverSubscribes,
    RejectsAfterExecution,
    RepeatsAnywhere,
    ResendsUnsafe,
    SendsAfterEnd,
    SendsToRestartedEndpoints,
    SendsTwice,
)
from tests.lab.model.support import BURST, RELEASE, TINY, parse_tiny, simulate, violated_rules


@pytest.mark.parametrize(
    ("mutant", "rule", "text"),
    [
        (AnswersTwice, 1, "was answered twice"),
        (NeverAnswers, 1, "no final answer at its deadline"),
        (SendsAfterEnd, 1, "was sent after its end"),
        (ResendsUnsafe, 2, "is not idempotent, may have run and was sent again"),
        (RejectsAfterExecution, 2, "may have run and was rejected"),
        (SendsTwice, 2, "two attempts in flight"),
        (KeepsEveryEndpoint, 3, "after the notice of its stop"),
        (NeverSubscribes, 3, "after the notice of its stop"),
        (FloodsNewestEndpoint, 4, "crashed during slow start"),
    ],
)
def test_a_policy_that_breaks_a_rule_is_reported(mutant: type[ReferencePolicy], rule: int, text: str) -> None:
    simulation = simulate(parse_tiny(RELEASE + BURST), mutant)
    assert violated_rules(simulation) == {rule}
    violation = next(broken for broken in simulation.rules.violations if text in broken["what"])
    assert 0.0 < violation["at_s"] < 16.0
    assert violation["gateway"] in (0, 1)


@pytest.mark.parametrize(
    ("terms", "broken"),
    [
        ('scope = "all"', set()),
        ('scope = "zone"', {2}),
        ('scope = "group"', {2}),
        ("window_s = 0.01", {2}),
    ],
)
def test_a_keyed_request_may_be_repeated_only_in_its_scope_and_window(terms: str, broken: set[int]) -> None:
    text = TINY.replace('effect = "unsafe"', f'effect = "keyed", {terms}')
    assert violated_rules(simulate(scenario_files.parse(text, "tiny.toml"), RepeatsAnywhere)) == broken


def test_a_crash_caused_by_gateways_not_notified_of_the_start_breaks_no_rule() -> None:
    """The gateways request no list and `max_poll_interval_s` exceeds the run: none counts as notified."""
    scenario = parse_tiny(RELEASE + BURST)
    discovery = msgspec.structs.replace(scenario.discovery, max_poll_interval_s=100.0)
    simulation = simulate(msgspec.structs.replace(scenario, discovery=discovery), SendsToRestartedEndpoints)
    assert simulation.record.costs["falls"]
    assert violated_rules(simulation) == set()
