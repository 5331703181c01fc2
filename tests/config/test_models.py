"""The settings models: each table covers all JSON values of its field and all members of its enum."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, get_args

import pytest

from load_balancer.config.models import (
    DEDUPLICATION_SCOPES,
    IDEMPOTENCY,
    LOAD_REPORT_MODES,
    DeduplicationScopeValue,
    IdempotencyValue,
    LoadReportModeValue,
    RequestClassModel,
    json_name,
)
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, LoadReportMode


@pytest.mark.parametrize(
    ("table", "json_values", "members"),
    [
        (IDEMPOTENCY, IdempotencyValue, Idempotency),
        (DEDUPLICATION_SCOPES, DeduplicationScopeValue, DeduplicationScope),
        (LOAD_REPORT_MODES, LoadReportModeValue, LoadReportMode),
    ],
)
def test_a_table_maps_each_json_value_to_one_enum_member(
    table: Mapping[str, Enum], json_values: Any, members: type[Enum]
) -> None:
    assert tuple(table) == get_args(json_values)
    assert list(table.values()) == list(members)


@pytest.mark.parametrize(
    ("field", "name"),
    [("client_timeout_us", "giveUpUs"), ("streamed", "streamed"), ("deduplication_scope", "group")],
)
def test_json_name_returns_the_encoded_name_of_a_field(field: str, name: str) -> None:
    assert json_name(RequestClassModel, field) == name
