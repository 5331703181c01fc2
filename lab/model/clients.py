"""Clients: what they ask and when is drawn before the day begins, so that every policy meets the same."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from lab.model.engine import START_US
from lab.model.scenario import Burst, Class, Scenario, TenantBurst
from lab.model.servers import Job
from lab.schedule import Floats, Ints, arrivals, stream
from load_balancer.decisions.events import Outcome

ATTEMPTS = 8  # for which loss is drawn, before the draws come round again


@dataclass(slots=True, eq=False)
class Attempt:
    server: int  # number
    sent_us: int
    outcome: Outcome | None = None
    connection: int | None = None  # the epoch of the server's process that holds it
    job: Job | None = None


@dataclass(slots=True, eq=False)
class Try:
    """One request as a gateway sees it: a client's further try is another."""

    id: str
    asked: int  # which of the day's requests
    number: int  # of the tries, from 0
    gateway: int
    klass: Class
    deadline_us: int
    attempts: list[Attempt] = field(default_factory=list)
    done: bool = False
    answered: bool = False  # by the gateway's own word


@dataclass(frozen=True, slots=True)
class Day:
    """All that is asked, in order of time; one row a request, and a column a try where there are two axes."""

    times_us: list[int]
    klass: list[int]
    tenant: list[int]
    zone: list[int]  # of the client
    work_us: list[float]
    hint_us: list[int]
    others_us: list[int]
    over: list[bool]  # beyond its tenant's share
    worth: list[float]
    fails: list[bool]
    patience: Floats  # of the give-up time
    wait_us: Floats
    front: Floats
    hasty: Floats  # share of its patience after which a client leaves; 1: it stays
    loss: Floats


def asked_times(scenario: Scenario, seed: int, tenant: int) -> Floats:
    """One tenant's arrivals: a Poisson process whose rate the troubles raise, by thinning."""
    traffic = scenario.traffic
    name, base = traffic.tenants[tenant].name, traffic.rate_per_s * traffic.tenants[tenant].share
    raised: list[Burst | TenantBurst] = [t for t in scenario.troubles if isinstance(t, Burst)]
    raised += [t for t in scenario.troubles if isinstance(t, TenantBurst) and t.tenant == name]
    most = float(np.prod([t.times for t in raised])) if raised else 1.0
    times = arrivals(stream(seed, f"arrivals {name}"), base * most, scenario.seconds)
    rate = np.ones(len(times))
    for trouble in raised:
        rate[(times >= trouble.at_s) & (times < trouble.at_s + trouble.for_s)] *= trouble.times
    kept: Floats = times[stream(seed, f"thinning {name}").random(len(times)) * most < rate]
    return kept


def beyond(times: Floats, quota_per_s: float) -> list[bool]:
    """Which of a tenant's requests are beyond its share: a bucket of one second's quota."""
    left, before, over = quota_per_s, 0.0, []
    for now in times.tolist():
        left = min(quota_per_s, left + (now - before) * quota_per_s)
        before = now
        over.append(quota_per_s > 0.0 and left < 1.0)
        left -= not over[-1]
    return over


def draw_day(scenario: Scenario, seed: int) -> Day:
    traffic, clients = scenario.traffic, scenario.clients
    by_tenant = [asked_times(scenario, seed, n) for n in range(len(traffic.tenants))]
    over = [beyond(t, tenant.quota_per_s) for t, tenant in zip(by_tenant, traffic.tenants, strict=True)]
    times = np.concatenate(by_tenant)
    order = np.argsort(times, kind="stable")
    tenant: Ints = np.repeat(np.arange(len(by_tenant)), [len(t) for t in by_tenant])[order]
    count, tries = len(times), clients.retries + 1
    shares = np.cumsum([c.share for c in traffic.classes])
    picks = stream(seed, "classes").random(count) * shares[-1]
    klass: Ints = np.searchsorted(shares, picks, side="right").clip(0, len(shares) - 1)
    work = stream(seed, "work").random(count)
    others = stream(seed, "others").random(count)
    spans = np.array([(*c.work_ms, *c.others_ms, c.worth) for c in traffic.classes])[klass]
    work_us = (spans[:, 0] + work * (spans[:, 1] - spans[:, 0])) * 1e3
    others_us = (spans[:, 2] + others * (spans[:, 3] - spans[:, 2])) * 1e3
    hint_us = work_us * np.exp(stream(seed, "hints").normal(0.0, traffic.hint_error, count))
    beyond_share = np.concatenate([np.array(o, dtype=bool) for o in over])[order]
    worth = spans[:, 4] * work_us * np.where(beyond_share, traffic.over_share_worth, 1.0)
    homes = min(len(scenario.zones), scenario.fleet.gateways)  # zones with a gateway
    haste = stream(seed, "haste")
    leaves = haste.random((count, tries)) < clients.hasty
    lossy = stream(seed, "loss").random((count, 2 * ATTEMPTS))
    return Day(
        (START_US + times[order] * 1e6).astype(np.int64).tolist(),
        klass.tolist(),
        tenant.tolist(),
        stream(seed, "homes").integers(homes, size=count).tolist(),
        work_us.tolist(),
        np.maximum(1, hint_us).astype(np.int64).tolist(),
        others_us.astype(np.int64).tolist(),
        beyond_share.tolist(),
        worth.tolist(),
        (stream(seed, "errors").random(count) < scenario.fleet.errors).tolist(),
        stream(seed, "patience").uniform(*clients.patience, (count, tries)),
        stream(seed, "waits").uniform(*clients.wait_ms, (count, tries)) * 1e3,
        stream(seed, "front").random((count, tries)),
        np.where(leaves, haste.uniform(0.2, 0.6, (count, tries)), 1.0),
        lossy,
    )
