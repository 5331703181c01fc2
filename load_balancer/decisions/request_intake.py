"""Creates the record of a request from its arrival event."""

from __future__ import annotations

from load_balancer.decisions.circuit_breaker import breaker_key
from load_balancer.decisions.client_timeouts import elapsed_before_arrival_us
from load_balancer.decisions.demand import Demand
from load_balancer.decisions.events import RequestArrived
from load_balancer.decisions.latency import ClassState
from load_balancer.decisions.quotas import Quotas
from load_balancer.decisions.request import Request
from load_balancer.decisions.retries import RetryBudget
from load_balancer.decisions.settings_version import SettingsVersion


def tenant_index(event: RequestArrived, version: SettingsVersion) -> int:
    """Return the index of a request's tenant; an unknown tenant is treated as the first."""
    return event.tenant if 0 <= event.tenant < len(version.tenant_ids) else 0


class RequestIntake:
    """Creates the records of requests, and counts them in the demand, the quotas and the retry budget."""

    __slots__ = ("_demand", "_quotas", "_retry_budget")

    def __init__(self, quotas: Quotas, demand: Demand, retry_budget: RetryBudget) -> None:
        self._quotas = quotas
        self._demand = demand
        self._retry_budget = retry_budget

    def create_request(
        self, event: RequestArrived, now_us: int, request_class: ClassState, version: SettingsVersion
    ) -> Request:
        """Create the record of a request that has just arrived."""
        elapsed_us = elapsed_before_arrival_us(event, request_class, version.settings.clients_mark_retries)
        is_first_try = not event.is_retry and elapsed_us == 0
        tenant = tenant_index(event, version)
        over_quota = self._quotas.is_over_quota(tenant, is_first_try, now_us, version)
        relative_latency = request_class.add_work_hint(event.work_us) if event.work_us else 1.0
        if is_first_try:
            self._retry_budget.note_first_try()
            self._demand.note_first_try(request_class.class_id, over_quota)
        return Request(
            id=event.request_id,
            request_class=request_class,
            settings_version=version,
            breaker_key=breaker_key(request_class.class_id, version.tenant_ids[tenant]),
            key=event.key,
            deadline_us=now_us + event.remaining_timeout_us,
            objective_us=now_us + max(0, request_class.definition.latency_objective_us - elapsed_us),
            relative_latency=relative_latency,
            work_us=event.work_us,
            is_first_try=is_first_try,
            over_quota=over_quota,
        )
