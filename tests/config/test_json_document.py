"""Decoding of JSON: the path of a syntax error, and all errors of a value."""

from __future__ import annotations

import pytest

from load_balancer.config.errors import MAX_MESSAGE_LENGTH, SettingsFormatError, ValidationErrors
from load_balancer.config.json_document import TOKENS_PER_STEP, decode_value, json_path_at
from load_balancer.config.models import RequestClassModel
from load_balancer.config.steps import run_to_completion


@pytest.mark.parametrize(
    ("text", "path"),
    [
        ("", ""),
        ("{", ""),
        ('{"a": ', "a"),
        ('{"a": 1, ', ""),
        ('{"a": {"b": [7, [8, ', "a.b[1][1]"),
        ('{"a": [1, 2], "c": ', "c"),
        ('{"a": "{[,:", "c": "\\"', "c"),
        ("]}] [1, ", "[1]"),
    ],
)
def test_json_path_at_returns_the_path_of_the_innermost_open_value(text: str, path: str) -> None:
    data = text.encode()
    assert run_to_completion(json_path_at(data, len(data))) == path


def test_json_path_at_yields_regularly_in_a_long_text() -> None:
    data = b"[" + b"1," * (3 * TOKENS_PER_STEP)
    assert len(list(json_path_at(data, len(data)))) == 3


INVALID_CLASS = b'{"aimUs": 0, "effect": "odd", "streamed": "no"}'


def test_all_errors_of_an_object_are_collected() -> None:
    errors = ValidationErrors(max_errors=10)
    assert decode_value(INVALID_CLASS, RequestClassModel, "lanes[2]", errors) is None
    assert errors.messages == [
        "lanes[2].giveUpUs: is missing; expected a number",
        "lanes[2].aimUs: expected a number of at least 1",
        "lanes[2].effect: expected free or guarded or single_shot, got 'odd'",
        "lanes[2].streamed: expected true or false, got a string",
    ]


def test_errors_are_raised_when_the_maximum_is_reached() -> None:
    with pytest.raises(SettingsFormatError) as error:
        decode_value(INVALID_CLASS, RequestClassModel, "lanes[2]", ValidationErrors(max_errors=2))
    assert len(error.value.errors) == 2


def test_an_error_is_one_line_of_limited_length() -> None:
    errors = ValidationErrors(max_errors=2)
    errors.add("name", "a\nb" + "x" * 1_000)
    (message,) = errors.messages
    assert message.startswith("name: a\\nbx")
    assert len(message) == MAX_MESSAGE_LENGTH
