"""Configuration errors; messages start with the JSON path of the invalid value, where it has one."""

from __future__ import annotations

from collections.abc import Iterable

from load_balancer.errors import LoadBalancerError

MAX_MESSAGE_LENGTH = 300  # the maximum number of characters of one error message


class ConfigError(LoadBalancerError, ValueError):
    """The configuration is missing or invalid.

    Attributes:
        errors: All errors found, one line each.
    """

    def __init__(self, message: str, errors: tuple[str, ...] = ()) -> None:
        super().__init__(message)
        self.errors = errors or (message,)

    @classmethod
    def from_format_error(cls, file: str, error: SettingsFormatError) -> ConfigError:
        """Return an error whose messages have the file's name in front of the JSON path."""
        errors = tuple(f"{file}: {each}" for each in error.errors)
        return cls(errors[0], errors)


class SettingsFormatError(LoadBalancerError, ValueError):
    """JSON that does not match its model.

    Attributes:
        errors: All errors found, one line each, beginning with the JSON path.
    """

    def __init__(self, errors: Iterable[str]) -> None:
        self.errors = tuple(errors)
        super().__init__(self.errors[0])


class ValidationErrors:
    """Collects errors and raises them together when their maximum number is reached.

    Args:
        max_errors: `add` raises when this many have been collected; 1 raises the first.
    """

    def __init__(self, max_errors: int = 1) -> None:
        self.max_errors = max_errors
        self.messages: list[str] = []

    def add(self, path: str, message: str) -> None:
        """Add the error of the value at a JSON path.

        Raises:
            SettingsFormatError: `max_errors` errors have been collected.
        """
        self.messages.append(printable_line(f"{path}: {message}" if path else message))
        if len(self.messages) >= self.max_errors:
            self.raise_if_any()

    def raise_if_any(self) -> None:
        """Raise the collected errors together, if any.

        Raises:
            SettingsFormatError: At least one error has been collected.
        """
        if self.messages:
            raise SettingsFormatError(self.messages)


def printable_line(text: str) -> str:
    """Return the text with unprintable characters escaped, cut to `MAX_MESSAGE_LENGTH` characters."""
    characters = text[: MAX_MESSAGE_LENGTH + 1]
    line = "".join(char if char.isprintable() else repr(char)[1:-1] for char in characters)
    if len(line) <= MAX_MESSAGE_LENGTH:
        return line
    return f"{line[: MAX_MESSAGE_LENGTH - 3]}..."


def join_path(path: str, segment: str) -> str:
    """Return the JSON path of a field or list item of the value at `path`.

    Args:
        path: The path of the object or list; empty for the whole document.
        segment: The field's name, or the item's index in brackets.
    """
    if not path or not segment or segment.startswith("["):
        return f"{path}{segment}"
    return f"{path}.{segment}"
