"""The workload: what clients ask and when, drawn before the run so that all policies meet the same."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from lab.model.engine import START_US
from lab.model.scenario import Burst, Scenario, TenantBurst
from lab.schedule import Floats, Ints, arrivals, stream

DISCONNECT_SHARES = (0.2, 0.6)  # of its patience after which an impatient client disconnects
ATTEMPTS = 8  # for which loss is drawn, before the draws come round again


@dataclass(frozen=True, slots=True)
class Workload:
    """All requests in order of time: one row a request, and a column a try where there are two axes."""

    times_us: list[int]
    request_class: list[int]
    tenant: list[int]
    zone: list[int]  # of the client
    work_us: list[float]
    hint_us: list[int]
    blocked_us: list[int]
    over_quota: list[bool]
    weight: list[float]
    fails: list[bool]
    patience: Floats  # share of the timeout
    backoff_us: Floats
    front: Floats
    disconnect: Floats  # share of its patience after which a client disconnects; 1: it stays
    loss: Floats


def draw_arrivals(scenario: Scenario, seed: int, tenant_index: int) -> Floats:
    """One tenant's arrivals in seconds: a Poisson process whose rate the faults raise, by thinning."""
    traffic = scenario.traffic
    tenant = traffic.tenants[tenant_index]
    raised: list[Burst | TenantBurst] = [f for f in scenario.faults if isinstance(f, Burst)]
    raised += [f for f in scenario.faults if isinstance(f, TenantBurst) and f.tenant == tenant.name]
    most = float(np.prod([f.factor for f in raised])) if raised else 1.0
    base_per_s = traffic.rate_per_s * tenant.share
    times = arrivals(stream(seed, f"arrivals {tenant.name}"), base_per_s * most, scenario.seconds)
    rate = np.ones(len(times))
    for fault in raised:
        rate[(times >= fault.at_s) & (times < fault.at_s + fault.for_s)] *= fault.factor
    thinned: Floats = times[stream(seed, f"thinning {tenant.name}").random(len(times)) * most < rate]
    return thinned


def find_over_quota(times: Floats, quota_per_s: float) -> list[bool]:
    """Which of a tenant's requests are over its quota: a token bucket of one second's quota."""
    tokens, before, over = quota_per_s, 0.0, []
    for now in times.tolist():
        tokens = min(quota_per_s, tokens + (now - before) * quota_per_s)
        before = now
        over.append(quota_per_s > 0.0 and tokens < 1.0)
        tokens -= not over[-1]
    return over


def draw_workload(scenario: Scenario, seed: int) -> Workload:
    """Draw all requests; each concern has a random stream of its own."""
    traffic, clients = scenario.traffic, scenario.clients
    by_tenant = [draw_arrivals(scenario, seed, n) for n in range(len(traffic.tenants))]
    over = [
        find_over_quota(times, tenant.quota_per_s)
        for times, tenant in zip(by_tenant, traffic.tenants, strict=True)
    ]
    times = np.concatenate(by_tenant)
    order = np.argsort(times, kind="stable")
    over_quota = np.concatenate([np.array(o, dtype=bool) for o in over])[order]
    tenant: Ints = np.repeat(np.arange(len(by_tenant)), [len(t) for t in by_tenant])[order]
    count, tries = len(times), clients.retries + 1
    request_class = _draw_classes(scenario, seed, count)
    work = stream(seed, "work").random(count)
    blocked = stream(seed, "others").random(count)
    terms = [(*c.work_ms, *c.blocked_ms, c.priority_weight) for c in traffic.classes]
    spans = np.array(terms)[request_class]
    work_us = (spans[:, 0] + work * (spans[:, 1] - spans[:, 0])) * 1e3
    blocked_us = (spans[:, 2] + blocked * (spans[:, 3] - spans[:, 2])) * 1e3
    hint_us = work_us * np.exp(stream(seed, "hints").normal(0.0, traffic.hint_error, count))
    weight = spans[:, 4] * work_us * np.where(over_quota, traffic.over_quota_weight_share, 1.0)
    homes = min(len(scenario.zones), scenario.fleet.gateways)  # zones with a gateway
    return Workload(
        times_us=(START_US + times[order] * 1e6).astype(np.int64).tolist(),
        request_class=request_class.tolist(),
        tenant=tenant.tolist(),
        zone=stream(seed, "homes").integers(homes, size=count).tolist(),
        work_us=work_us.tolist(),
        hint_us=np.maximum(1, hint_us).astype(np.int64).tolist(),
        blocked_us=blocked_us.astype(np.int64).tolist(),
        over_quota=over_quota.tolist(),
        weight=weight.tolist(),
        fails=(stream(seed, "errors").random(count) < scenario.fleet.errors).tolist(),
        patience=stream(seed, "patience").uniform(*clients.patience, (count, tries)),
        backoff_us=stream(seed, "waits").uniform(*clients.backoff_ms, (count, tries)) * 1e3,
        front=stream(seed, "front").random((count, tries)),
        disconnect=_draw_disconnects(scenario, seed, count),
        loss=stream(seed, "loss").random((count, 2 * ATTEMPTS)),
    )


def _draw_classes(scenario: Scenario, seed: int, count: int) -> Ints:
    shares = np.cumsum([c.share for c in scenario.traffic.classes])
    picks = stream(seed, "classes").random(count) * shares[-1]
    classes: Ints = np.searchsorted(shares, picks, side="right").clip(0, len(shares) - 1)
    return classes


def _draw_disconnects(scenario: Scenario, seed: int, count: int) -> Floats:
    rng, size = stream(seed, "haste"), (count, scenario.clients.retries + 1)
    leaves = rng.random(size) < scenario.clients.early_disconnects
    return np.where(leaves, rng.uniform(*DISCONNECT_SHARES, size), 1.0)
