"""The score of a run, and its samples."""

from __future__ import annotations

from lab.model import scenario_files, score
from lab.model.policies import POLICIES, ReferencePolicy
from load_balancer.decisions.actions import Action, Reject
from load_balancer.decisions.events import Event, RequestArrived
from tests.lab.model.support import RELEASE, TINY, parse_tiny, simulate


def test_worth_is_what_is_served_in_time() -> None:
    class RefusesAll(ReferencePolicy):
        def handle(self, _now_us: int, event: Event) -> list[Action]:
            return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []

    kind = TINY.replace("errors = 0.1\n", "")
    served = score.result(simulate(scenario_files.parse(kind, "tiny.toml"), ReferencePolicy))
    assert served["G"] == served["worst_window"] == 1.0
    assert served["shares"]["in_time"] == 1.0
    refused = score.result(simulate(parse_tiny(), RefusesAll))
    assert refused["G"] == 0.0
    assert refused["shares"]["refused"] == 1.0
    assert refused["p99_ms"] is None
    kind = kind.replace("[0.9, 1.1]", "[0.05, 0.05]").replace("rate_per_s = 40.0", "rate_per_s = 2.0")
    late = score.result(simulate(scenario_files.parse(kind, "tiny.toml"), ReferencePolicy))
    assert late["shares"]["late"] > 0.8
    assert late["G"] < 0.45, "a quarter of the weight is left"


def test_samples_tell_each_second_of_the_day() -> None:
    found = score.result(simulate(parse_tiny(RELEASE), POLICIES["rosedeal"]))
    assert [len(found["server_load"][kind]) for kind in ("waiting", "work_ms")] == [10, 10]
    for servers, zones in zip(found["server_load"]["waiting"], found["zone_load"]["waiting"], strict=True):
        assert len(servers) == 4
        assert sum(servers) == sum(zones)
    assert {kind: len(pairs) for kind, pairs in found["guards"].items()} == dict.fromkeys(
        ("open", "half-open", "limit", "shed"), 10
    )
    assert all(0.0 <= middle <= most for pairs in found["guards"].values() for middle, most in pairs)
