"""The score of a run, and its samples."""

from __future__ import annotations

from lab.model import scenario_files, score
from lab.model.policies import POLICIES, ReferencePolicy
from load_balancer.decisions.actions import Action, Reject
from load_balancer.decisions.events import Event, RequestArrived
from tests.lab.model.support import RELEASE, TINY, parse_tiny, simulate


def test_score_is_the_share_of_weight_served_in_time() -> None:
    """Answers in time count in full, late answers count a quarter, and rejections count nothing."""

    class RejectsAll(ReferencePolicy):
        def handle(self, _now_us: int, event: Event) -> list[Action]:
            return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []

    text = TINY.replace("errors = 0.1\n", "")
    served = score.compute_result(simulate(scenario_files.parse(text, "tiny.toml"), ReferencePolicy))
    assert served["G"] == served["worst_window"] == 1.0
    assert served["shares"]["in_time"] == 1.0
    rejected = score.compute_result(simulate(parse_tiny(), RejectsAll))
    assert rejected["G"] == 0.0
    assert rejected["shares"]["refused"] == 1.0
    assert rejected["p99_ms"] is None
    text = text.replace("[0.9, 1.1]", "[0.05, 0.05]").replace("rate_per_s = 40.0", "rate_per_s = 2.0")
    late = score.compute_result(simulate(scenario_files.parse(text, "tiny.toml"), ReferencePolicy))
    assert late["shares"]["late"] > 0.8
    assert late["G"] < 0.45, "a late answer keeps a quarter of its weight"


def test_samples_cover_each_second_of_a_run() -> None:
    result = score.compute_result(simulate(parse_tiny(RELEASE), POLICIES["rosedeal"]))
    assert [len(result["server_load"][kind]) for kind in ("waiting", "work_ms")] == [10, 10]
    for servers, zones in zip(result["server_load"]["waiting"], result["zone_load"]["waiting"], strict=True):
        assert len(servers) == 4
        assert sum(servers) == sum(zones)
    assert {kind: len(pairs) for kind, pairs in result["guards"].items()} == dict.fromkeys(
        ("open", "half-open", "limit", "shed"), 10
    )
    assert all(0.0 <= mean <= maximum for pairs in result["guards"].values() for mean, maximum in pairs)
