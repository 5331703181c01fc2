"""Settings that are rejected."""

from __future__ import annotations

from dataclasses import replace

import pytest

from load_balancer.decisions.settings import Prices, RequestClass
from tests.decisions.driver import NON_IDEMPOTENT, SETTINGS

NAN = float("nan")


@pytest.mark.parametrize(
    "bad",
    [
        {"latency_objective_us": 0},
        {"client_timeout_us": -1},
        {"deduplication_window_us": -1},
        {"priority_weight": NAN},
        {"late_weight_share": 1.5},
    ],
)
def test_classes_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        RequestClass(**{"latency_objective_us": 1, "client_timeout_us": 1, **bad})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "bad",
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
def test_settings_that_cannot_be_used_are_rejected(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        replace(SETTINGS, **bad)  # type: ignore[arg-type]


@pytest.mark.parametrize("bad", [{"cross_zone": NAN}, {"waste": -1}])
def test_prices_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        Prices(**bad)


def test_non_idempotent_is_the_default() -> None:
    assert RequestClass(latency_objective_us=1, client_timeout_us=1).idempotency is NON_IDEMPOTENT.idempotency
