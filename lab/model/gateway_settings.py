"""The settings that a scenario gives to its gateways."""

from __future__ import annotations

from lab.model.engine import to_us
from lab.model.scenario import Scenario, TrafficClass
from load_balancer.decisions.settings import (
    LoadReportMode,
    LoadReportSettings,
    ObjectiveWeights,
    Prices,
    RequestClass,
    Settings,
    Tenant,
)

LOAD_REPORT_KEYS = ("latency_ms", "eps", "queue")


def make_settings(scenario: Scenario, gateway_index: int) -> Settings:
    """Return the settings of the gateway with an index."""
    warm_up, objective, traffic = scenario.fleet.warm_up, scenario.objective, scenario.traffic
    return Settings(
        tuple(_request_class(traffic_class) for traffic_class in traffic.classes),
        objective=ObjectiveWeights(
            objective.whole, objective.worst_window, objective.worst_class, objective.worst_tenant
        ),
        prices=Prices(
            cross_zone=scenario.cross_zone_price,
            waste=0.02,
            late_failure=0.03,
            connection=0.05,
            handshake=0.05,
        ),
        weight_by_work=True,
        gateways=scenario.fleet.gateways,
        gateway_index=gateway_index,
        zone=gateway_index % len(scenario.zones),
        clients_mark_retries=True,
        max_attempts=4,
        endpoints_are_pushed=scenario.discovery.pushed,
        max_poll_interval_us=to_us(scenario.discovery.max_poll_interval_s),
        slow_start_capacity=warm_up.initial_capacity,
        slow_start_us=to_us(warm_up.duration_s),
        overload_multiple=warm_up.overload_multiple,
        overload_window_us=to_us(warm_up.overload_window_s),
        tenants=tuple(Tenant(t.quota_per_s, t.share, t.name) for t in traffic.tenants),
        over_quota_weight_share=traffic.over_quota_weight_share,
        load_reports=LoadReportSettings(LoadReportMode.RESPONSES, LOAD_REPORT_KEYS),
        may_check_health=True,
        may_message_peers=True,
        connect_timeout_us=to_us(scenario.network.connect_timeout_ms / 1e3),
        idle_connection_timeout_us=to_us(scenario.fleet.keepalive_s),
        drain_grace_us=500_000,
        answer_slack_us=20_000,
        zones=len(scenario.zones),
        endpoint_kinds=len(scenario.fleet.machines),
    )


def _request_class(traffic_class: TrafficClass) -> RequestClass:
    return RequestClass(
        to_us(traffic_class.latency_objective_ms / 1e3),
        to_us(traffic_class.timeout_ms / 1e3),
        traffic_class.priority_weight,
        traffic_class.late_weight_share,
        traffic_class.effect.idempotency,
        traffic_class.scope,
        to_us(traffic_class.window_s),
        name=traffic_class.name,
    )
