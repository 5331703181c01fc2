"""The workload: all requests of a run, drawn before it so that every policy receives the same ones."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from lab.model.engine import START_US
from lab.model.scenario import Burst, Scenario, TenantBurst
from lab.schedule import Floats, Ints, arrivals, stream

DISCONNECT_SHARES = (0.2, 0.6)  # range of the share of a try's timeout after which a client disconnects early
LOSS_DRAWS_PER_REQUEST = 8  # attempts of a request with their own draws; later ones use them again


@dataclass(frozen=True, slots=True)
class Workload:
    """All requests in order of arrival.

    There is one row for each request; arrays with two axes have a column for each try, `loss_draws` two for
    each attempt.

    Attributes:
        times_us: Arrival of the first try.
        request_class: Index of the request class.
        tenant: Index of the tenant.
        zone: Index of the client's zone.
        work_us: Work on a core of speed 1.
        hint_us: Work that the client states, with an error.
        blocked_us: Time for which the request waits on other services.
        over_quota: Whether the request is over its tenant's quota.
        weight: Weight in the score.
        fails: Whether its execution ends in an error.
        try_timeout_share: Timeout of a try, as a share of the class's timeout.
        backoff_us: Time between the end of a try and the next one.
        gateway_draws: Random number in [0, 1) by which the ingress chooses a gateway.
        disconnect_shares: Share of a try's timeout after which the client disconnects; 1: it does not.
        loss_draws: Random numbers in [0, 1) that decide whether a request or its answer is lost.
    """

    times_us: list[int]
    request_class: list[int]
    tenant: list[int]
    zone: list[int]
    work_us: list[float]
    hint_us: list[int]
    blocked_us: list[int]
    over_quota: list[bool]
    weight: list[float]
    fails: list[bool]
    try_timeout_share: Floats
    backoff_us: Floats
    gateway_draws: Floats
    disconnect_shares: Floats
    loss_draws: Floats


def draw_arrivals(scenario: Scenario, seed: int, tenant_index: int) -> Floats:
    """Draw a tenant's arrival times in seconds: a Poisson process with bursts, by thinning."""
    traffic = scenario.traffic
    tenant = traffic.tenants[tenant_index]
    bursts: list[Burst | TenantBurst] = [f for f in scenario.faults if isinstance(f, Burst)]
    bursts += [f for f in scenario.faults if isinstance(f, TenantBurst) and f.tenant == tenant.name]
    max_factor = float(np.prod([f.factor for f in bursts])) if bursts else 1.0
    base_per_s = traffic.rate_per_s * tenant.share
    times = arrivals(stream(seed, f"arrivals {tenant.name}"), base_per_s * max_factor, scenario.seconds)
    factors = np.ones(len(times))
    for fault in bursts:
        factors[(times >= fault.start_s) & (times < fault.start_s + fault.duration_s)] *= fault.factor
    thinned: Floats = times[stream(seed, f"thinning {tenant.name}").random(len(times)) * max_factor < factors]
    return thinned


def find_over_quota(times: Floats, quota_per_s: float) -> list[bool]:
    """Return whether each request is over its tenant's quota, by a token bucket of one second's quota."""
    tokens, previous, over = quota_per_s, 0.0, []
    for now in times.tolist():
        tokens = min(quota_per_s, tokens + (now - previous) * quota_per_s)
        previous = now
        over.append(quota_per_s > 0.0 and tokens < 1.0)
        tokens -= not over[-1]
    return over


def draw_workload(scenario: Scenario, seed: int) -> Workload:
    """Draw all requests; each property has its own random stream, so that one does not change the others."""
    traffic, clients = scenario.traffic, scenario.clients
    times_by_tenant = [draw_arrivals(scenario, seed, n) for n in range(len(traffic.tenants))]
    over = [
        find_over_quota(times, tenant.quota_per_s)
        for times, tenant in zip(times_by_tenant, traffic.tenants, strict=True)
    ]
    times = np.concatenate(times_by_tenant)
    order = np.argsort(times, kind="stable")
    over_quota = np.concatenate([np.array(o, dtype=bool) for o in over])[order]
    tenant: Ints = np.repeat(np.arange(len(times_by_tenant)), [len(t) for t in times_by_tenant])[order]
    count, max_tries = len(times), clients.retries + 1
    request_class = _draw_classes(scenario, seed, count)
    work_draws = stream(seed, "work").random(count)
    blocked_draws = stream(seed, "others").random(count)
    class_terms = [(*c.work_ms, *c.blocked_ms, c.priority_weight) for c in traffic.classes]
    request_terms = np.array(class_terms)[request_class]
    work_us = (request_terms[:, 0] + work_draws * (request_terms[:, 1] - request_terms[:, 0])) * 1e3
    blocked_us = (request_terms[:, 2] + blocked_draws * (request_terms[:, 3] - request_terms[:, 2])) * 1e3
    hint_us = work_us * np.exp(stream(seed, "hints").normal(0.0, traffic.hint_error, count))
    weight = request_terms[:, 4] * work_us * np.where(over_quota, traffic.over_quota_weight_share, 1.0)
    gateway_zones = min(len(scenario.zones), scenario.fleet.gateways)  # number of zones with a gateway
    return Workload(
        times_us=(START_US + times[order] * 1e6).astype(np.int64).tolist(),
        request_class=request_class.tolist(),
        tenant=tenant.tolist(),
        zone=stream(seed, "homes").integers(gateway_zones, size=count).tolist(),
        work_us=work_us.tolist(),
        hint_us=np.maximum(1, hint_us).astype(np.int64).tolist(),
        blocked_us=blocked_us.astype(np.int64).tolist(),
        over_quota=over_quota.tolist(),
        weight=weight.tolist(),
        fails=(stream(seed, "errors").random(count) < scenario.fleet.error_share).tolist(),
        try_timeout_share=stream(seed, "patience").uniform(*clients.try_timeout_share, (count, max_tries)),
        backoff_us=stream(seed, "waits").uniform(*clients.backoff_ms, (count, max_tries)) * 1e3,
        gateway_draws=stream(seed, "front").random((count, max_tries)),
        disconnect_shares=_draw_disconnects(scenario, seed, count),
        loss_draws=stream(seed, "loss").random((count, 2 * LOSS_DRAWS_PER_REQUEST)),
    )


def _draw_classes(scenario: Scenario, seed: int, count: int) -> Ints:
    shares = np.cumsum([c.share for c in scenario.traffic.classes])
    draws = stream(seed, "classes").random(count) * shares[-1]
    classes: Ints = np.searchsorted(shares, draws, side="right").clip(0, len(shares) - 1)
    return classes


def _draw_disconnects(scenario: Scenario, seed: int, count: int) -> Floats:
    rng, size = stream(seed, "haste"), (count, scenario.clients.retries + 1)
    disconnects = rng.random(size) < scenario.clients.early_disconnects
    return np.where(disconnects, rng.uniform(*DISCONNECT_SHARES, size), 1.0)
