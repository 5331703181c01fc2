"""Tests of the checks on settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.settings import Prices, RequestClass
from tests.decisions.driver import NON_IDEMPOTENT, SETTINGS

NAN = float("nan")


@pytest.mark.parametrize(
    "invalid",
    [
        {"latency_objective_us": 0},
        {"client_timeout_us": -1},
        {"deduplication_window_us": -1},
        {"priority_weight": NAN},
        {"late_weight_share": 1.5},
    ],
)
def test_invalid_classes_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        RequestClass(**{"latency_objective_us": 1, "client_timeout_us": 1, **invalid})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "invalid",
    [
        {"classes": ()},
        {"gateways": 0},
        {"gateway_index": 1},
        {"slow_start_us": -1},
        {"max_attempts": 0},
        {"overload_window_us": 0},
        {"overload_multiple": NAN},
        {"slow_start_capacity": 1.2},
        {"ordered_key_delay_us": -1},
        {"connect_timeout_us": "soon"},
        {"over_quota_weight_share": 1.5},
    ],
)
def test_invalid_settings_are_rejected(invalid: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        replace(SETTINGS, **invalid)  # type: ignore[arg-type]


@pytest.mark.parametrize("invalid", [{"cross_zone": NAN}, {"waste": -1}])
def test_invalid_prices_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        Prices(**invalid)


def test_non_idempotent_is_the_default() -> None:
    assert RequestClass(latency_objective_us=1, client_timeout_us=1).idempotency is NON_IDEMPOTENT.idempotency
