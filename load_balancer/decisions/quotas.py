"""Token buckets for this gateway's share of the tenants' quotas."""

from __future__ import annotations

from collections import OrderedDict

from load_balancer.decisions.settings_version import SettingsVersion

QUOTA_BURST_S = 1.0  # A burst of as many requests as the quota allows in this time is still within quota.


class Quotas:
    """The remaining quota of each tenant.

    Attributes:
        remaining_by_tenant: For each tenant id, the remaining requests and when they were last updated, in
            microseconds, the oldest update first. A tenant without an entry has its full burst remaining.
    """

    __slots__ = ("remaining_by_tenant",)

    def __init__(self) -> None:
        self.remaining_by_tenant: OrderedDict[int, tuple[float, int]] = OrderedDict()

    def is_over_quota(
        self, tenant_index: int, is_first_try: bool, now_us: int, version: SettingsVersion
    ) -> bool:
        """Return whether a request is over its tenant's quota, and deduct a first try that is within it."""
        settings = version.settings
        if not settings.tenants:
            return False
        quota_per_s = settings.tenants[tenant_index].quota_per_s / settings.gateways
        if not quota_per_s:
            return False
        tenant_id = version.tenant_ids[tenant_index]
        remaining = self._remaining(tenant_id, now_us, quota_per_s)
        over = remaining < 1.0
        self._store(tenant_id, now_us, remaining - (is_first_try and not over))
        return over

    def _remaining(self, tenant_id: int, now_us: int, quota_per_s: float) -> float:
        burst = quota_per_s * QUOTA_BURST_S
        remaining, updated_us = self.remaining_by_tenant.get(tenant_id, (burst, now_us))
        return min(burst, remaining + quota_per_s * (now_us - updated_us) / 1e6)

    def _store(self, tenant_id: int, now_us: int, remaining: float) -> None:
        """Store the remaining requests, and drop entries so old that their buckets are full again."""
        self.remaining_by_tenant[tenant_id] = (remaining, now_us)
        self.remaining_by_tenant.move_to_end(tenant_id)
        while now_us - next(iter(self.remaining_by_tenant.values()))[1] > QUOTA_BURST_S * 1e6:
            self.remaining_by_tenant.popitem(last=False)
