"""The fleet model: equal days, rules that bite, servers as described, scenario errors, runs, comparisons."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from html.parser import HTMLParser
from pathlib import Path
from typing import Any

import msgspec
import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.__main__ import lab
from lab.model import comparison, experiment, scenario_files, score
from lab.model.endpoint import Job, LoadReport, ModelEndpoint, Overload
from lab.model.engine import START_US, Clock
from lab.model.errors import UsageError
from lab.model.policies import POLICIES, OpenRequest, Policy, ReferencePolicy
from lab.model.results import FILE, write
from lab.model.scenario import Scenario
from lab.model.workload import find_over_quota
from lab.model.world import World
from lab.page import document
from load_balancer.decisions import circuit_breaker, outliers
from load_balancer.decisions.actions import Action, Reject, Send, SendPeerMessage
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

TINY = """
name = "tiny"
seconds = 10.0
[fleet]
gateways = 2
servers = 4
errors = 0.1
regions = {west = ["a", "b"]}
machines = [{name = "plain", share = 1.0, speed = [0.9, 1.1]}]
[discovery]
delay_s = [0.1, 0.3]
must_ask_s = 1.0
[traffic]
rate_per_s = 40.0
classes = [
  {name = "view", share = 0.6, work_ms = [20.0, 40.0]},
  {name = "change", share = 0.4, work_ms = [30.0, 50.0], effect = "unsafe", give_up_ms = 1000.0},
]
tenants = [{name = "one", share = 1.0}]
"""
RELEASE = '\n[[troubles]]\nkind = "release"\nat_s = 2.0\nfor_s = 3.0\nwaves = 1\npart = 0.5\ndown_s = 2.0\n'
BURST = '\n[[troubles]]\nkind = "burst"\nat_s = 5.0\nfor_s = 4.0\ntimes = 2.0\n'


def tiny(more: str = "") -> Scenario:
    return scenario_files.parse(TINY + more, "tiny.toml")


def played(it: Scenario, make: Callable[[Settings, int], Policy], seed: int = 1) -> World:
    world = World(it, make, seed)
    world.play()
    return world


def rules(world: World) -> set[int]:
    return {broken["rule"] for broken in world.rules.named}


# Days


@pytest.mark.parametrize("path", sorted(scenario_files.FOLDER.glob("*.toml")), ids=lambda path: path.stem)
def test_each_scenario_file_plays_without_a_broken_rule(path: Path) -> None:
    it = scenario_files.load(path)
    world = played(msgspec.structs.replace(it, seconds=min(it.seconds, 240.0)), POLICIES["rosedeal"])
    assert world.rules.named == []
    found = score.result(world)
    assert 0.3 < found["G"] <= 1.0 and sum(found["shares"].values()) == pytest.approx(1.0)
    assert found["shares"]["lost"] == 0.0


@pytest.mark.parametrize("policy", POLICIES)
def test_equal_seeds_give_equal_days(policy: str) -> None:
    it = tiny(RELEASE)
    first, again, other = (experiment.play(it, policy, seed) for seed in (3, 3, 4))
    assert first == again and first["G"] != other["G"]


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

        played(tiny(RELEASE), make)
        return met

    first = recorded("rosedeal")
    assert len(first) > 300 and all(recorded(policy) == first for policy in ("random", "two-choices"))


def test_more_draws_of_one_concern_change_no_other() -> None:
    calm, loud = (played(tiny(text), ReferencePolicy).workload for text in ("", "[clients]\nretries = 5\n"))
    assert calm.times_us == loud.times_us and calm.work_us == loud.work_us


def test_requests_beyond_a_quota_are_those_that_find_its_bucket_empty() -> None:
    times = np.array([0.0, 0.1, 0.2, 0.3, 1.3, 1.4])
    assert find_over_quota(times, 2.0) == [False, False, True, True, False, False]
    assert find_over_quota(times, 0.0) == [False] * 6


def test_worth_is_what_is_served_in_time() -> None:
    class RefusesAll(ReferencePolicy):
        def handle(self, now_us: int, event: Event) -> list[Action]:
            return [Reject(event.request_id)] if isinstance(event, RequestArrived) else []

    kind = TINY.replace("errors = 0.1\n", "")
    served = score.result(played(scenario_files.parse(kind, "tiny.toml"), ReferencePolicy))
    assert served["G"] == served["worst_window"] == 1.0 and served["shares"]["in_time"] == 1.0
    refused = score.result(played(tiny(), RefusesAll))
    assert refused["G"] == 0.0 and refused["shares"]["refused"] == 1.0 and refused["p99_ms"] is None
    kind = kind.replace("[0.9, 1.1]", "[0.05, 0.05]").replace("rate_per_s = 40.0", "rate_per_s = 2.0")
    late = score.result(played(scenario_files.parse(kind, "tiny.toml"), ReferencePolicy))
    assert late["shares"]["late"] > 0.8 and late["G"] < 0.45, "a quarter of the worth is left"


# Rules


class AnswersTwice(ReferencePolicy):
    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Reject(event.request_id), Reject(event.request_id)]
        return super().handle(now_us, event)


class NeverAnswers(ReferencePolicy):
    def handle(self, now_us: int, event: Event) -> list[Action]:
        return [] if isinstance(event, RequestArrived) else super().handle(now_us, event)


class SendsAfterItsEnd(ReferencePolicy):
    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Reject(event.request_id), Send(event.request_id, self.listed[0], 1_000)]
        return super().handle(now_us, event)


class Resends(ReferencePolicy):
    """What may have run goes out again, whatever it does."""

    def on_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
        case = self.open.get(event.request_id)
        if case is not None and event.outcome is Outcome.ERROR and self.is_unsafe(case):
            return self.send(now_us, event.request_id)
        return super().on_end(now_us, event)

    def is_unsafe(self, case: OpenRequest) -> bool:
        return case.event.request_class == 1


class RefusesWhatRan(Resends):
    def send(self, now_us: int, request: str) -> list[Action]:
        if self.open[request].tried and self.is_unsafe(self.open[request]):
            del self.open[request]
            return [Reject(request)]
        return super().send(now_us, request)


class TwoCopies(ReferencePolicy):
    def send(self, now_us: int, request: str) -> list[Action]:
        return [action for action in super().send(now_us, request) for _ in range(2)]


class NeverLets(ReferencePolicy):
    """Goes on with every server that it has once heard of."""

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        kept = self.listed
        actions = super().on_list(now_us, event)
        self.listed = sorted({*kept, *self.listed})
        return actions


class Deaf(ReferencePolicy):
    """Asks for no list, so that it counts as told."""

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        super().on_list(now_us, event)
        return []


class Floods(ReferencePolicy):
    """All goes to the server that has started last."""

    newest = 0

    def on_list(self, now_us: int, event: EndpointListReceived) -> list[Action]:
        actions = super().on_list(now_us, event)
        started = {entry.started_us: entry.id for entry in event.endpoints if entry.started_us}
        self.newest = started[max(started)] if started else self.newest
        return actions

    def choose(self, servers: list[int]) -> int:
        return self.newest if self.newest in servers else super().choose(servers)


class Deafly(Deaf):
    """All goes to two servers, of which it never hears that they have started anew."""

    def choose(self, servers: list[int]) -> int:
        return servers[self.settings.gateway_index % len(servers)]


@pytest.mark.parametrize(
    ("mutant", "rule", "text"),
    [
        (AnswersTwice, 1, "answered twice"),
        (NeverAnswers, 1, "no final answer in time"),
        (SendsAfterItsEnd, 1, "sent on after its end"),
        (Resends, 2, "is unsafe, may have run and was sent again"),
        (RefusesWhatRan, 2, "may have run and was refused"),
        (TwoCopies, 2, "two attempts out"),
        (NeverLets, 3, "after it was to stop"),
        (Deaf, 3, "after it was to stop"),
        (Floods, 4, "fell over, cold"),
    ],
)
def test_a_mutant_that_breaks_a_rule_is_named(mutant: type[ReferencePolicy], rule: int, text: str) -> None:
    world = played(tiny(RELEASE + BURST), mutant)
    assert rules(world) == {rule}
    first = next(broken for broken in world.rules.named if text in broken["what"])
    assert 0.0 < first["at_s"] < 16.0 and first["gateway"] in (0, 1)


class RepeatsAnywhere(Resends):
    def is_unsafe(self, case: OpenRequest) -> bool:
        return True


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
    assert rules(played(scenario_files.parse(text, "tiny.toml"), RepeatsAnywhere)) == broken


@pytest.mark.parametrize("policy", POLICIES)
def test_the_policies_break_none_of_the_first_three(policy: str) -> None:
    assert rules(played(tiny(RELEASE), POLICIES[policy])) <= {4}


def test_a_gateway_that_was_not_told_fells_no_server_by_rule() -> None:
    """It watches no list, and need not ask before the end."""
    it = tiny(RELEASE + BURST)
    discovery = msgspec.structs.replace(it.discovery, must_ask_s=100.0)
    unaware = played(msgspec.structs.replace(it, discovery=discovery), Deafly)
    assert unaware.record.costs["falls"] and rules(unaware) == set()


# Servers


class Bench:
    """One server, and what it answers."""

    def __init__(self, fleet: str = "") -> None:
        fleet = f"[fleet]\n{fleet}\n"
        it = scenario_files.parse(TINY.replace("[fleet]\n", fleet).replace("errors = 0.1\n", ""), "tiny.toml")
        self.clock = Clock()
        self.endpoint = ModelEndpoint(self.clock, it.fleet, 0, 0, 1.0, 30_000.0)
        self.ends: list[tuple[int, Outcome, LoadReport]] = []

    def job(self, work_us: float = 10_000.0, blocked_us: int = 0, knows_start: bool = True) -> Job:
        def answer(outcome: Outcome, load: LoadReport) -> None:
            self.ends.append((self.clock.now_us - START_US, outcome, load))

        return Job(work_us, 0.0, blocked_us, False, knows_start, 0, answer, lambda: answer(Outcome.RESET, ()))

    def take(self, count: int = 1, **work: Any) -> list[Job]:
        jobs = [self.job(**work) for _ in range(count)]
        for job in jobs:
            self.endpoint.take(job)
        return jobs

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now_us + round(seconds * 1e6))


def test_a_server_works_on_its_cores_in_turn_and_waits_on_others_without_one() -> None:
    bench = Bench()
    bench.take(3, blocked_us=5_000)
    bench.run(1.0)
    assert [at for at, _, _ in bench.ends] == [15_000, 15_000, 25_000]


def test_what_waits_on_others_holds_its_slot_and_a_full_table_takes_capacity() -> None:
    bench = Bench("slots = 1\nconnections = 10")
    bench.take(2, blocked_us=5_000)
    bench.run(1.0)
    assert [at for at, _, _ in bench.ends] == [15_000, 30_000]
    bench.endpoint.connections = 5
    assert bench.endpoint.rate == pytest.approx(0.95)


def test_a_full_server_turns_away_and_a_stopped_one_breaks_what_it_holds() -> None:
    bench = Bench("waiting = 1")
    bench.take(4)
    assert [outcome for _, outcome, _ in bench.ends] == [Outcome.REJECTED]
    bench.endpoint.stop(announced=True)
    assert [outcome for _, outcome, _ in bench.ends[1:]] == [Outcome.RESET] * 3
    bench.run(1.0)
    assert len(bench.ends) == 4


@pytest.mark.parametrize(("stops", "worked_us"), [("true", 4_000.0), ("false", 10_000.0)])
def test_dropped_work_leaves_the_queue_and_stops_running_where_the_day_has_it(
    stops: str, worked_us: float
) -> None:
    bench = Bench(f"cancel_stops = {stops}")
    jobs = bench.take(3)
    bench.endpoint.drop(jobs[2])
    bench.run(0.004)
    bench.endpoint.drop(jobs[0])
    bench.run(1.0)
    assert bench.endpoint.waiting == 0 and bench.endpoint.worked_us == 10_000.0 + worked_us


def test_a_crowd_chokes_a_server_until_it_has_rested() -> None:
    bench = Bench()
    jobs = bench.take(40, work_us=1e6)
    bench.run(2.1)
    assert bench.endpoint.choked and bench.endpoint.rate == pytest.approx(1 / 2.7)
    for job in jobs:
        bench.endpoint.drop(job)
    bench.run(3.4)
    assert bench.endpoint.choked
    bench.run(0.3)
    assert not bench.endpoint.choked


def test_a_crowd_that_leaves_in_time_chokes_nothing() -> None:
    bench = Bench()
    jobs = bench.take(40, work_us=1e6)
    bench.run(1.9)
    for job in jobs:
        bench.endpoint.drop(job)
    bench.run(5.0)
    assert not bench.endpoint.choked


def test_a_cold_server_warms_evenly_and_falls_when_it_is_sent_too_much() -> None:
    bench = Bench()
    falls: list[Overload] = []
    bench.endpoint.on_crash = falls.append
    bench.endpoint.stop(announced=True)
    bench.endpoint.start()
    assert bench.endpoint.rate == pytest.approx(0.13)
    bench.run(11.5)
    assert bench.endpoint.rate == pytest.approx(0.565)
    allowed = 2.5 * 2 * 0.565 * 3e6 / 30_000.0
    most = int(allowed + 2 * allowed**0.5 + 2)
    bench.take(most, work_us=30_000.0)
    assert not falls
    bench.take(1, work_us=30_000.0)
    assert falls == [(1.0, 0)] and not bench.endpoint.up
    bench.endpoint.start()
    assert not bench.endpoint.up, "it stays down"


@given(st.lists(st.tuples(st.sampled_from(["take", "drop", "run", "stop"]), st.integers(1, 60)), max_size=80))
def test_every_job_ends_at_most_once(steps: list[tuple[str, int]]) -> None:
    bench = Bench("waiting = 5")
    jobs: list[Job] = []
    for what, number in steps:
        if what == "take":
            jobs += bench.take(number % 7)
        elif what == "drop" and jobs:
            bench.endpoint.drop(jobs.pop(number % len(jobs)))
        elif what == "run":
            bench.run(number / 1e3)
        elif what == "stop":
            bench.endpoint.stop(announced=number % 2 == 0)
            bench.endpoint.start()
    taken = len(bench.ends)
    bench.run(30.0)
    assert bench.endpoint.waiting == 0 and not bench.endpoint.running and not bench.endpoint.blocked
    assert len(bench.ends) - taken <= len(jobs)


# Network, discovery, front


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
    world = played(tiny(RELEASE + down), make)
    errors = [at_s for at_s, kind in heard if kind is ListKind.ERROR]
    deltas = [at_s for at_s, kind in heard if kind is ListKind.DELTA]
    assert errors[0] == 1.0 and all(1.0 <= at_s < 8.0 for at_s in errors)
    assert not [at_s for at_s in deltas if 1.0 <= at_s < 7.0] and [at_s for at_s in deltas if at_s >= 7.0]
    assert rules(world) <= {4}


def test_the_front_layer_goes_on_sending_to_a_dead_gateway() -> None:
    roll = '\n[[troubles]]\nkind = "gateways"\nat_s = 3.0\nfor_s = 0.0\npart = 0.5\ndown_s = 6.0\n'
    once = "\n[clients]\nretries = 0\n"
    unreachable = [
        score.result(played(tiny(f"[network]\nfront_s = [{s}, {s}]\n{once}{roll}"), ReferencePolicy))[
            "shares"
        ]
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
    found = score.result(played(scenario_files.parse(text, "tiny.toml"), Talks))
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
        def on_end(self, now_us: int, event: AttemptEnded) -> list[Action]:
            ends.append((now_us - START_US, event.outcome))
            return super().on_end(now_us, event)

    text = TINY.replace('{west = ["a", "b"]}', '{west = ["a"], east = ["b"]}')
    text += f"\n[[troubles]]\nat_s = 3.0\nfor_s = 4.0\n{trouble}\n"
    played(scenario_files.parse(text, "tiny.toml"), Watched)
    assert any(what is outcome and 3e6 <= at < 8e6 for at, what in ends)
    assert all(what in (Outcome.OK, Outcome.ERROR) for at, what in ends if at < 3e6)


# Scenario files


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("gateways = 2", 'gateways = "two"', "fleet.gateways: expected int, got str"),
        ("gateways = 2\n", "", "fleet.gateways: expected a value, but there is none"),
        ("servers = 4", "servers = 0", "fleet.servers: expected int >= 1"),
        (
            "servers = 4",
            "servers = 4\nserverz = 4",
            "fleet.serverz: expected one of the keys gateways, servers, regions, machines",
        ),
        ("errors = 0.1", "errors = nan", "fleet.errors: expected a finite number, got nan"),
        (
            "[20.0, 40.0]",
            "[40.0, 20.0]",
            "traffic.classes[0].work_ms: expected [least, most], got [40.0, 20.0]",
        ),
        ("share = 0.6", "share = 0.7", "traffic.classes: expected shares that add up to 1"),
        ('"unsafe"', '"rash"', "traffic.classes[1].effect: expected one of safe, keyed, unsafe"),
        ("seconds = 10.0", "seconds = 3", "seconds: expected at least 10, got 3.0"),
        ('kind = "release"', 'kind = "flood"', "troubles[0].kind: expected one of slow, silent, lost"),
        ("at_s = 2.0", 'at_s = "soon"', "troubles[0].at_s: expected float, got str"),
        ("at_s = 2.0", "at_s = 20.0", "troubles[0].at_s: expected less than seconds, 10.0, got 20.0"),
        ("waves = 1", "wavez = 1", "troubles[0].wavez: expected one of the keys at_s, for_s, part, waves"),
        ("[fleet]", "[fleet", "expected TOML: "),
    ],
)
def test_a_scenario_error_names_the_key_and_what_was_expected(
    old: str, new: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "day.toml"
    assert old in TINY + RELEASE
    path.write_text((TINY + RELEASE).replace(old, new))
    assert called("run", str(path), "--out", str(tmp_path / "out")) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"lab: day.toml: {expected}")


# Runs


def called(*arguments: str) -> int:
    with pytest.raises(SystemExit) as ended:
        lab.main(list(arguments))
    return int(ended.value.code or 0)


@pytest.fixture
def here(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, int]]:
    """Days are played in this process; which ones."""
    days: list[tuple[str, int]] = []

    def in_turn(plan: experiment.Plan, tasks: list[tuple[str, int]], jobs: int) -> Iterator[dict[str, Any]]:
        for task in tasks:
            days.append(task)
            yield experiment.play(plan.scenario, *task)

    monkeypatch.setattr(experiment, "play_all", in_turn)
    return days


def test_results_are_equal_whatever_the_jobs_and_the_order(tmp_path: Path) -> None:
    (tmp_path / "tiny.toml").write_text(TINY)
    texts = []
    for jobs, names in (("1", ("random", "rosedeal")), ("3", ("rosedeal", "random"))):
        policies = [part for name in names for part in ("--policy", name)]
        out = tmp_path / jobs
        arguments = ("--seeds", "2", "--jobs", jobs, "--out", str(out))
        assert called("run", str(tmp_path / "tiny.toml"), *policies, *arguments) == 0
        texts.append((out / FILE).read_bytes())
    assert texts[0] == texts[1] and texts[0].count(b"\n") == 5


def test_a_run_that_was_cut_off_goes_on_from_what_it_has(tmp_path: Path, here: list[tuple[str, int]]) -> None:
    plan = experiment.Plan(tiny(), ("random", "round-robin"), 2)
    heard: list[object] = []
    experiment.run(plan, tmp_path, 1, heard.append)
    path = tmp_path / FILE
    whole = path.read_bytes()
    lines = whole.splitlines(keepends=True)
    assert len(here) == len(heard) == 4
    for cut in (len(lines[0]) // 2, sum(map(len, lines[:3])), sum(map(len, lines[:3])) + 100):
        here.clear()
        path.write_bytes(whole[:cut])
        experiment.run(plan, tmp_path, 1, heard.append)
        assert path.read_bytes() == whole and len(here) == (4 if cut < len(lines[0]) else 2)
    here.clear()
    assert len(experiment.run(plan, tmp_path, 1, heard.append)) == 4 and not here


def test_results_of_other_days_or_knobs_are_not_mixed(tmp_path: Path, here: list[tuple[str, int]]) -> None:
    experiment.run(experiment.Plan(tiny(), ("random",), 1), tmp_path, 1, lambda result: None)
    for plan in (
        experiment.Plan(tiny(RELEASE), ("random",), 1),
        experiment.Plan(tiny(), ("random",), 1, (experiment.parse_knob("choice.STEP=0.5"),)),
    ):
        with pytest.raises(UsageError, match="expected an --out of its own"):
            experiment.run(plan, tmp_path, 1, lambda result: None)


def test_a_policy_that_raises_is_named_and_the_run_goes_on(
    tmp_path: Path, here: list[tuple[str, int]], monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:  # fmt: skip
    monkeypatch.setitem(POLICIES, "random", lambda settings, seed: random.Random(seed))
    (tmp_path / "tiny.toml").write_text(TINY)
    arguments = ("--policy", "random", "--policy", "round-robin", "--seeds", "1", "--out", str(tmp_path))
    assert called("run", str(tmp_path / "tiny.toml"), *arguments) == 1
    assert "random: crashed, 1 named; seed 1: AttributeError" in capsys.readouterr().out
    assert len(here) == 2


def test_a_knob_is_set_wherever_the_constant_is_held(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (outliers, circuit_breaker):
        monkeypatch.setattr(module, "RING_SIZE", circuit_breaker.RING_SIZE)  # put back after the test
    before = experiment.play(tiny(), "rosedeal", 1)
    experiment.turn([experiment.parse_knob("choice.RING=5")])
    assert vars(outliers)["RING_SIZE"] == circuit_breaker.RING_SIZE == 5
    assert experiment.play(tiny(), "rosedeal", 1) != before


@pytest.mark.parametrize(
    ("knob", "expected"),
    [
        ("circuit_breaker.RINGS=5", "load_balancer.decisions.circuit_breaker has no number RINGS"),
        ("choice.RINGS=5", "there is no constant choice.RINGS"),
        ("choice.Balancer=5", "expected MODULE.NAME=NUMBER"),
        ("evidence.RING=2.5", "expected int for RING"),
        ("choice.STEP=nan", "expected a finite number for STEP"),
        ("settings.RING=5", "load_balancer.decisions.settings has no number RING"),
    ],
)
def test_an_unknown_knob_is_one_line(
    knob: str, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert called("run", "ordinary", "--knob", knob, "--out", str(tmp_path)) == 2
    (line,) = capsys.readouterr().err.splitlines()
    assert line.startswith(f"lab: --knob {knob}: ") and expected in line


# Comparisons


def test_an_interval_is_that_of_the_mean() -> None:
    assert comparison.interval([0.25] * 8) == (0.25, 0.25, 0.25)
    values = [0.5 + (1.0 if n % 2 else -1.0) for n in range(400)]  # mean 0.5, deviation 1
    middle, low, high = comparison.interval(values)
    assert middle == pytest.approx(0.5)
    assert low == pytest.approx(0.5 - 1.96 / 20, abs=0.01) and high == pytest.approx(0.598, abs=0.01)
    assert comparison.interval(values) == (middle, low, high)


@pytest.mark.parametrize(
    ("name", "low", "high", "expected"),
    [
        ("G", 0.01, 0.02, "better"),
        ("G", -0.02, -0.01, "worse"),
        ("refused", 0.01, 0.02, "worse"),
        ("p99_ms", -9.0, -1.0, "better"),
        ("G", -0.01, 0.02, "no verdict"),
        ("G", 0.0, 0.02, "no verdict"),
    ],
)
def test_a_verdict_needs_an_interval_without_nought(
    name: str, low: float, high: float, expected: str
) -> None:
    assert comparison.verdict(name, low, high) == expected


def test_folders_are_compared_in_pairs_by_seed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    def fill(name: str, gains: dict[int, float]) -> str:
        folder = tmp_path / name
        folder.mkdir()
        results = [
            {"policy": "random", "seed": seed, "G": seed / 10 + gain, "shares": {"late": 0.1}}
            for seed, gain in gains.items()
        ]
        write(folder / FILE, {"scenario": "x", "digest": "1"}, results)
        return str(folder)

    one = fill("one", dict.fromkeys(range(1, 9), 0.0))
    two = fill("two", {n: 0.02 + n % 2 / 100 for n in range(3, 12)})
    assert called("compare", one, two) == 0
    rows = {line.split()[1]: line.split() for line in capsys.readouterr().out.splitlines()[1:]}
    assert rows["G"][2:4] == ["6", "+0.0250"] and rows["G"][6] == "better"
    assert rows["late"][6:] == ["no", "verdict"] and rows["whole"][6:] == ["too", "few", "pairs"]
    (tmp_path / "none").mkdir()
    assert called("compare", one, str(tmp_path / "none")) == 2
    header = json.loads((tmp_path / "one" / FILE).read_text().splitlines()[0])
    write(tmp_path / "two" / FILE, header | {"digest": "2"}, [])
    assert called("compare", one, two) == 2
    assert capsys.readouterr().err.count("lab: ") == 2


# Reports


class Outline(HTMLParser):
    """Sections, and whether each tag that is opened is closed in its turn."""

    def __init__(self, text: str) -> None:
        super().__init__()
        self.open: list[str] = []
        self.sections: list[str | None] = []
        self.pictures: dict[str | None, int] = {}
        self.ids: list[str | None] = []
        self.feed(text)
        self.close()
        assert self.open == []

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        if tag != "meta":
            self.open.append(tag)
        self.ids += [value for name, value in attrs if name == "id"]
        if tag == "section":
            self.sections.append(dict(attrs)["id"])
        if tag == "svg":
            self.pictures[self.sections[-1]] = self.pictures.get(self.sections[-1], 0) + 1

    def handle_endtag(self, tag: str) -> None:
        assert self.open.pop() == tag

    def handle_startendtag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        pass


def test_a_report_has_a_picture_of_each_part_and_refers_to_nothing_outside(
    tmp_path: Path, here: list[tuple[str, int]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(POLICIES, "random", AnswersTwice)
    plan = experiment.Plan(tiny(RELEASE), ("rosedeal", "random"), 2)
    experiment.run(plan, tmp_path, 1, lambda result: None)
    assert called("report", str(tmp_path)) == 0
    text = (tmp_path / document.NAME).read_text()
    outline = Outline(text)
    assert outline.sections == [
        "policies-side-by-side", "served-worth-over-time", "latency-percentiles", "load-by-server-and-zone",
        "breakers-and-limits-over-time", "broken-rules", "cost-by-kind",
    ]  # fmt: skip
    assert set(outline.pictures) == set(outline.sections) and len(set(outline.ids)) == len(outline.ids)
    assert "answered twice" in text and "the operators' bench is the judge" in text
    assert not any(
        word in text for word in ("mathdefault", "src=", "@import", "<script", "<link", 'href="http')
    )
    assert called("report", str(tmp_path)) == 0 and (tmp_path / document.NAME).read_text() == text


def test_a_report_escapes_names_and_says_what_it_leaves_out(
    tmp_path: Path, here: list[tuple[str, int]], capsys: pytest.CaptureFixture[str]
) -> None:
    name = "<i>$_{&amp;\0"
    path = tmp_path / FILE
    result = experiment.play(tiny(), "random", 1) | {"policy": name, "zones": [name, name]}
    crash = {"policy": name, "seed": 2, "crash": name}
    write(path, {"scenario": name, "knobs": [name], "program": name}, [result, crash])
    path.write_bytes(path.read_bytes() + b'{"policy": "ran')
    assert called("report", str(tmp_path)) == 0
    text = (tmp_path / document.NAME).read_text()
    assert Outline(text).sections and "<i>" not in text and "&lt;i&gt;$_{&amp;amp;" in text
    said = "results.jsonl: the last line is cut off and left out"
    assert capsys.readouterr().err == f"lab: {said}\n" and said in text


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, "expected a folder with results that lab run has written"),
        ('{"scenario": "x"}\n', "expected a folder with results that lab run has written"),
        ('{"scenario": "x"}\n{"poli\n{}\n', "line 2: expected a result as JSON"),
        ('{"scenario": "x"}\n{"policy": "a", "seed": 1}\n', "expected results of this program's form"),
    ],
)
def test_a_report_of_no_results_is_one_line(
    text: str | None, expected: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    if text is not None:
        (tmp_path / FILE).write_text(text)
    assert called("report", str(tmp_path)) == 2 and called("report", str(tmp_path / "none")) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 2 and expected in lines[0] and all(line.startswith("lab: ") for line in lines)
    assert not (tmp_path / document.NAME).exists()


def test_samples_tell_each_second_of_the_day() -> None:
    found = score.result(played(tiny(RELEASE), POLICIES["rosedeal"]))
    assert [len(found["server_load"][kind]) for kind in ("waiting", "work_ms")] == [10, 10]
    for servers, zones in zip(found["server_load"]["waiting"], found["zone_load"]["waiting"], strict=True):
        assert len(servers) == 4 and sum(servers) == sum(zones)
    assert {kind: len(pairs) for kind, pairs in found["guards"].items()} == dict.fromkeys(
        ("open", "half-open", "limit", "shed"), 10
    )
    assert all(0.0 <= middle <= most for pairs in found["guards"].values() for middle, most in pairs)
