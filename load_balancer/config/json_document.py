"""Decoding of JSON, with error messages for operators.

Values are decoded by msgspec. This module adds what its errors lack: all errors of a value instead of the
first, the JSON path of a syntax error, and messages without the names of Python types.
"""

from __future__ import annotations

import re
from typing import Any, Literal, get_args, get_origin

import msgspec
from msgspec import Raw, Struct

from load_balancer.config.errors import SettingsFormatError, ValidationErrors, join_path, printable_line
from load_balancer.config.steps import Steps

TOKENS_PER_STEP = 2_000  # JSON tokens scanned between two yields

_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"?|[{}\[\],:]', re.DOTALL)
_BYTE_OFFSET = re.compile(r" \(byte (\d+)\)$")
_NOT_FINITE = re.compile(rb"-?(?:NaN|Infinity)")

_PATH_SUFFIX = re.compile(r" - at `(?:key in )?\$\.?(.*)`$", re.DOTALL)
_QUOTED_TYPE = re.compile(r"`([^`]*)`")
_BOUND_SUFFIX = re.compile(r" (>=|<=) (-?[0-9]+)(?:\.0)?$")
_BOUND_DESCRIPTIONS = {">=": "least", "<=": "most"}
_TYPE_DESCRIPTIONS = {
    "float": "a number",
    "int": "an integer",
    "bool | int": "true or false",
    "bool": "true or false",
    "str": "a string",
    "str | null": "a string",
    "object": "an object",
    "array": "a list",
    "float | int | str": "a number or a string",
}


def decode_document(data: bytes, value_type: Any, errors: ValidationErrors) -> Steps[Any]:
    """Decode a JSON document in steps.

    Returns:
        The value, or None once an error has been added to `errors`.

    Raises:
        SettingsFormatError: The text is not JSON, or the limit of `errors` is reached.
    """
    try:
        return msgspec.json.decode(data, type=value_type)
    except RecursionError:
        raise _nested_too_deep() from None
    except msgspec.DecodeError as error:
        type_error = error
    try:
        msgspec.json.decode(data, type=Raw)
    except RecursionError:
        raise _nested_too_deep() from None
    except msgspec.DecodeError as error:  # a syntax error is reported even if a type error precedes it
        raise SettingsFormatError([(yield from syntax_error(data, error))]) from None
    add_decode_errors(data, value_type, "", errors, type_error)
    return None


def decode_value(raw: Any, value_type: Any, path: str, errors: ValidationErrors) -> Any:
    """Decode the JSON of the value at a path.

    Returns:
        The value, or None once an error has been added to `errors`.

    Raises:
        SettingsFormatError: The limit of `errors` is reached.
    """
    try:
        return msgspec.json.decode(raw, type=value_type)
    except (msgspec.DecodeError, RecursionError) as error:
        add_decode_errors(raw, value_type, path, errors, error)
        return None


def add_decode_errors(
    raw: Any, value_type: Any, path: str, errors: ValidationErrors, error: Exception
) -> None:
    """Add the errors of a value that failed to decode with `error`; for a model, those of every field."""
    if isinstance(error, RecursionError):
        errors.add(path, "is nested too deep")
    elif isinstance(value_type, type) and issubclass(value_type, Struct):
        _add_field_errors(raw, value_type, path, errors)
    else:
        _add_value_error(value_type, path, errors, error)


def _add_field_errors(raw: Any, model: type[Struct], path: str, errors: ValidationErrors) -> None:
    raw_fields: dict[str, Raw] | None = decode_value(raw, dict[str, Raw], path, errors)
    if raw_fields is None:
        return
    for field in msgspec.structs.fields(model):
        field_path = join_path(path, field.encode_name)
        if field.encode_name in raw_fields:
            decode_value(raw_fields[field.encode_name], field.type, field_path, errors)
        elif field.required:
            errors.add(field_path, f"is missing; {_describe_expected(field.type)}")


def _add_value_error(value_type: Any, path: str, errors: ValidationErrors, error: Exception) -> None:
    message = str(error)
    suffix = _PATH_SUFFIX.search(message)
    if suffix:
        path = join_path(path, suffix[1])
        message = _PATH_SUFFIX.sub("", message)
    if get_origin(value_type) is Literal:
        actual = message.partition(", got ")[2] or message.removeprefix("Invalid enum value ")
        message = f"{_describe_expected(value_type)}, got {actual}"
    elif not isinstance(error, msgspec.ValidationError):
        # The syntax has been checked before, so this is a string that is not valid UTF-8.
        message = "expected a string in UTF-8"
    elif not message.startswith("Expected"):
        message = f"{_describe_expected(value_type)}: {message}"
    errors.add(path, _reword(message))


def _describe_expected(value_type: Any) -> str:
    """Return what msgspec expects of a type, taken from its error for null."""
    if get_origin(value_type) is Literal:
        return f"expected {' or '.join(map(str, get_args(value_type)))}"
    try:
        msgspec.json.decode(b"null", type=value_type)
    except msgspec.DecodeError as error:
        return _reword(_PATH_SUFFIX.sub("", str(error))).partition(", got")[0]
    return "expected a value"


def _reword(message: str) -> str:
    """Return a message of msgspec with type names and comparison operators replaced by words."""
    message = _QUOTED_TYPE.sub(lambda match: _TYPE_DESCRIPTIONS.get(match[1], match[1]), message)
    bound = _BOUND_SUFFIX.search(message)
    if bound:
        message = f"{message[: bound.start()]} of at {_BOUND_DESCRIPTIONS[bound[1]]} {bound[2]}"
    return message[:1].lower() + message[1:]


def syntax_error(data: bytes, error: Exception, path: str = "") -> Steps[str]:
    """Return a one-line description of a syntax error, with its byte offset and its JSON path."""
    message = str(error)
    offset_match = _BYTE_OFFSET.search(message)
    offset = int(offset_match[1]) if offset_match else len(data)
    error_path = join_path(path, (yield from json_path_at(data, offset)))
    not_finite = _NOT_FINITE.match(data, max(0, offset - 1)) or _NOT_FINITE.match(data, offset)
    if not_finite:
        return printable_line(f"{error_path}: expected a finite number, got {not_finite[0].decode()}")
    if offset_match:
        reason = _BYTE_OFFSET.sub("", message).removeprefix("JSON is malformed: ")
    else:
        reason = "unexpected end of input"
    within = f", in {error_path}" if error_path else ""
    return printable_line(f"invalid JSON: {reason} at byte {offset}{within}; expected an object")


def json_path_at(data: bytes, end: int) -> Steps[str]:
    """Return the JSON path of the innermost value that is incomplete at byte `end`."""
    open_values: list[str | int] = []  # the current key of each object, the current index of each list
    previous_token = b""
    for count, match in enumerate(_JSON_TOKEN.finditer(data, 0, end), start=1):
        token: bytes = match[0]
        _apply_token(open_values, token, previous_token)
        previous_token = token
        if count % TOKENS_PER_STEP == 0:
            yield
    path = ""
    for segment in open_values:
        path = join_path(path, f"[{segment}]" if isinstance(segment, int) else segment)
    return path


def _apply_token(open_values: list[str | int], token: bytes, previous_token: bytes) -> None:
    if token == b"{":
        open_values.append("")
    elif token == b"[":
        open_values.append(0)
    elif not open_values:
        return
    elif token in (b"}", b"]"):
        open_values.pop()
    elif token == b",":
        current = open_values[-1]
        open_values[-1] = current + 1 if isinstance(current, int) else ""
    elif token == b":" and isinstance(open_values[-1], str):
        open_values[-1] = previous_token[1:-1].decode("utf-8", "replace")


def _nested_too_deep() -> SettingsFormatError:
    return SettingsFormatError(["invalid JSON: nested too deep; expected an object"])
