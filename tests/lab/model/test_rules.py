"""The rules: mutants that break one are named, and policies that may do a thing are not."""

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
    RefusesAfterExecution,
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
        (AnswersTwice, 1, "answered twice"),
        (NeverAnswers, 1, "no final answer in time"),
        (SendsAfterEnd, 1, "sent on after its end"),
        (ResendsUnsafe, 2, "is unsafe, may have run and was sent again"),
        (RefusesAfterExecution, 2, "may have run and was refused"),
        (SendsTwice, 2, "two attempts out"),
        (KeepsEveryEndpoint, 3, "after it was to stop"),
        (NeverSubscribes, 3, "after it was to stop"),
        (FloodsNewestEndpoint, 4, "fell over, cold"),
    ],
)
def test_a_mutant_that_breaks_a_rule_is_named(mutant: type[ReferencePolicy], rule: int, text: str) -> None:
    world = simulate(parse_tiny(RELEASE + BURST), mutant)
    assert violated_rules(world) == {rule}
    first = next(broken for broken in world.rules.named if text in broken["what"])
    assert 0.0 < first["at_s"] < 16.0
    assert first["gateway"] in (0, 1)


@pytest.mark.parametrize(
    ("terms", "broken"),
    [
        ('scope = "all"', set()),
        ('scope = "zone"', {2}),
        ('scope = "group"', {2}),
        ("window_s = 0.01", {2}),
    ],
)
def test_a_keyed_request_is_repeated_in_its_scope_and_window_only(terms: str, broken: set[int]) -> None:
    text = TINY.replace('effect = "unsafe"', f'effect = "keyed", {terms}')
    assert violated_rules(simulate(scenario_files.parse(text, "tiny.toml"), RepeatsAnywhere)) == broken


def test_a_gateway_that_was_not_told_fells_no_server_by_rule() -> None:
    """It watches no list, and need not ask before the end."""
    it = parse_tiny(RELEASE + BURST)
    discovery = msgspec.structs.replace(it.discovery, max_poll_interval_s=100.0)
    unaware = simulate(msgspec.structs.replace(it, discovery=discovery), SendsToRestartedEndpoints)
    assert unaware.record.costs["falls"]
    assert violated_rules(unaware) == set()
