"""Typed access to the fields of a line."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from load_balancer.simulator.errors import WireFormatError
from load_balancer.simulator.vocabulary import TRUE

Fields = Mapping[str, str]

_Value = TypeVar("_Value")


def text_field(fields: Fields, name: str) -> str:
    """Return the text of a required field.

    Raises:
        WireFormatError: The field is missing.
    """
    try:
        return fields[name]
    except KeyError:
        raise _missing_or_unknown(name) from None


def integer_field(fields: Fields, name: str, default: int | None = None) -> int:
    """Return the integer in a field; without a default the field is required.

    Raises:
        WireFormatError: The field is missing, or is not an integer.
    """
    text = fields.get(name)
    if text is None:
        if default is None:
            raise _missing_or_unknown(name)
        return default
    try:
        return int(text)
    except ValueError as error:
        raise WireFormatError(str(error)) from None


def optional_integer_field(fields: Fields, name: str, base: int = 10) -> int | None:
    """Return the integer in a field, or None if the field is missing.

    Raises:
        WireFormatError: The field is not an integer.
    """
    text = fields.get(name)
    if text is None:
        return None
    try:
        return int(text, base)
    except ValueError as error:
        raise WireFormatError(str(error)) from None


def number_field(fields: Fields, name: str, default: float) -> float:
    """Return the number in a field, or the default if the field is missing.

    Raises:
        WireFormatError: The field is not a number.
    """
    text = fields.get(name)
    if text is None:
        return default
    try:
        return float(text)
    except ValueError as error:
        raise WireFormatError(str(error)) from None


def flag_field(fields: Fields, name: str) -> bool:
    """Return whether a flag is set; a missing flag is not set."""
    return fields.get(name) == TRUE


def lookup_field(fields: Fields, name: str, table: Mapping[str, _Value]) -> _Value:
    """Return the entry of a table whose key is the text of a field.

    Raises:
        WireFormatError: The field is missing, or its text is not a key of the table.
    """
    key = text_field(fields, name)
    try:
        return table[key]
    except KeyError:
        raise _missing_or_unknown(key) from None


def _missing_or_unknown(name: str) -> WireFormatError:
    return WireFormatError(f"field or value {name!r} is missing or unknown")
