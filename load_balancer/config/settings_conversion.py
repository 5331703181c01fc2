"""Conversion of the settings models to the `Settings` that the balancer uses."""

from __future__ import annotations

import msgspec
from msgspec import UNSET

from load_balancer.config.models import (
    DEDUPLICATION_SCOPES,
    ENDPOINTS_ARE_PUSHED,
    IDEMPOTENCY,
    LOAD_DEPENDENT_WEIGHTS,
    LOAD_REPORT_MODES,
    WEIGHT_BY_WORK,
    LoadReportModel,
    ObjectiveModel,
    PricesModel,
    RequestClassModel,
    SettingsModel,
    TenantModel,
)
from load_balancer.decisions.settings import (
    LoadReportSettings,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)


def to_class(model: RequestClassModel, previous: RequestClass | None) -> RequestClass:
    """Return the request class that a model describes, or `previous` if the two are equal."""
    client_timeout_us = int(model.client_timeout_us)
    objective_us = model.latency_objective_us
    request_class = RequestClass(
        latency_objective_us=client_timeout_us if objective_us is UNSET else int(objective_us),
        client_timeout_us=client_timeout_us,
        priority_weight=model.priority_weight,
        late_weight_share=model.late_weight_share,
        idempotency=IDEMPOTENCY[model.idempotency],
        deduplication_scope=DEDUPLICATION_SCOPES[model.deduplication_scope],
        deduplication_window_us=int(model.deduplication_window_us),
        ordered=bool(model.ordered),
        streamed=bool(model.streamed),
        latency_objective_stretch=model.latency_objective_stretch,
        name=model.name,
    )
    return previous if previous is not None and previous == request_class else request_class


def to_tenant(model: TenantModel, previous: Tenant | None) -> Tenant:
    """Return the tenant that a model describes, or `previous` if the two are equal."""
    if (
        previous is not None
        and previous.quota_per_s == model.quota_per_s
        and previous.share == model.share
        and previous.name == model.name
    ):
        return previous
    return Tenant(model.quota_per_s, model.share, model.name)


def to_settings(
    model: SettingsModel, classes: tuple[RequestClass, ...], tenants: tuple[Tenant, ...]
) -> Settings:
    """Return the settings that a model describes, with its converted request classes and tenants.

    Raises:
        SettingsError: The values are out of range or contradict each other.
    """
    capabilities = model.capabilities
    contract = model.contract
    return Settings(
        classes=classes,
        objective=_to_objective(model.objective),
        prices=_to_prices(model.prices),
        weight_by_work=model.weight_basis == WEIGHT_BY_WORK,
        gateways=int(model.gateways),
        gateway_index=int(model.gateway_index),
        zone=int(model.zone),
        zones=max(1, len(model.zones)),
        endpoint_kinds=max(1, len(model.endpoint_kinds)),
        tier=int(model.tier),
        tiers=max(1, len(model.tiers)),
        clients_mark_retries=bool(model.clients.mark_retries),
        max_attempts=int(capabilities.max_attempts),
        may_cancel=bool(capabilities.may_cancel),
        may_hedge=bool(capabilities.may_hedge),
        load_dependent_weights=model.weights == LOAD_DEPENDENT_WEIGHTS,
        key_affinity=bool(model.endpoint_features.key_affinity),
        endpoints_propagate_deadlines=bool(model.endpoint_features.propagate_deadlines),
        endpoints_are_pushed=model.endpoint_list_mode == ENDPOINTS_ARE_PUSHED,
        max_poll_interval_us=int(contract.max_poll_interval_us),
        max_retry_after_us=int(capabilities.max_retry_after_us) if capabilities.sends_retry_after else 0,
        slow_start_capacity=contract.slow_start_capacity,
        slow_start_us=int(contract.slow_start_us),
        overload_multiple=contract.overload_multiple,
        overload_window_us=int(contract.overload_window_us),
        rejected_may_have_run=bool(contract.rejected_may_have_run),
        ordered_key_delay_us=int(contract.ordered_key_delay_us),
        drain_grace_us=int(contract.drain_grace_us),
        answer_slack_us=int(contract.answer_slack_us),
        tenants=tenants,
        over_quota_weight_share=model.over_quota_weight_share,
        load_reports=_to_load_reports(model.load_reports),
        may_check_health=bool(capabilities.may_check_health),
        may_message_peers=bool(capabilities.may_message_peers),
        requests_per_connection=int(capabilities.requests_per_connection),
        connect_timeout_us=int(capabilities.connect_timeout_us),
        idle_connection_timeout_us=int(capabilities.idle_connection_timeout_us),
        max_open_requests=int(capabilities.max_open_requests),
        cpu_us_per_s=capabilities.cpu_us_per_s,
        cpu_us_per_request=capabilities.cpu_us_per_request,
    )


def _to_objective(model: ObjectiveModel) -> ObjectiveWeights:
    return ObjectiveWeights(**msgspec.structs.asdict(model))


def _to_prices(model: PricesModel) -> Prices:
    return Prices(**msgspec.structs.asdict(model))


def _to_load_reports(model: LoadReportModel) -> LoadReportSettings:
    return LoadReportSettings(LOAD_REPORT_MODES[model.mode], tuple(model.fields))
