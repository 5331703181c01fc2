"""The operators' vocabulary: each table covers all words of its field and all terms of its enum."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any, get_args

import pytest

from load_balancer.config.models import (
    DEDUPLICATION_SCOPES,
    IDEMPOTENCY,
    LOAD_REPORT_MODES,
    DeduplicationScopeWord,
    IdempotencyWord,
    LoadReportModeWord,
    RequestClassModel,
    json_name,
)
from load_balancer.decisions.settings import DeduplicationScope, Idempotency, LoadReportMode


@pytest.mark.parametrize(
    ("table", "words", "terms"),
    [
        (IDEMPOTENCY, IdempotencyWord, Idempotency),
        (DEDUPLICATION_SCOPES, DeduplicationScopeWord, DeduplicationScope),
        (LOAD_REPORT_MODES, LoadReportModeWord, LoadReportMode),
    ],
)
def test_a_table_maps_each_word_to_one_term(table: Mapping[str, Enum], words: Any, terms: type[Enum]) -> None:
    assert tuple(table) == get_args(words)
    assert list(table.values()) == list(terms)


@pytest.mark.parametrize(
    ("field", "name"),
    [("client_timeout_us", "giveUpUs"), ("streamed", "streamed"), ("deduplication_scope", "group")],
)
def test_a_field_has_the_operators_name_in_json(field: str, name: str) -> None:
    assert json_name(RequestClassModel, field) == name
