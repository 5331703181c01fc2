"""Network addresses in the form `host:port`."""

from __future__ import annotations

from load_balancer.config.errors import ConfigError

Address = tuple[str, int]

MAX_PORT = 65_535
MAX_SHOWN_LENGTH = 60  # the maximum number of characters of an invalid value in an error


def parse_address(text: object) -> Address:
    """Return the host and the port of `host:port`.

    Raises:
        ConfigError: The value is not a string of that form, or the port is above 65535.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not colon or not is_number or int(port) > MAX_PORT:
        shown = repr(text)
        if len(shown) > MAX_SHOWN_LENGTH:
            shown = f"{shown[:MAX_SHOWN_LENGTH]}..."
        raise ConfigError(f"expected an address of the form host:port, got {shown}")
    return host, int(port)


def format_address(address: Address) -> str:
    """Return `host:port`."""
    host, port = address
    return f"{host}:{port}"
