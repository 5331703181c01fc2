"""Loads a gateway's configuration from the ROUTER_* variables and the file that ROUTER_CONFIG names."""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

import msgspec

from load_balancer.config.config_reader import read_config
from load_balancer.config.errors import (
    ConfigError,
    SettingsFormatError,
    ValidationErrors,
    printable_line,
)
from load_balancer.config.gateway_config import Config
from load_balancer.config.steps import Steps, run_to_completion

MAX_CONFIG_BYTES = 16 * 1024 * 1024  # about five times a file of 3,400 classes and 23,000 tenants
READ_BYTES_PER_STEP = 4 * 1024 * 1024
MIN_READ_BYTES = 64 * 1024


def load_config(environ: Mapping[str, str]) -> Config:
    """Return the configuration for the start of a gateway.

    ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY override the values in the file.

    Raises:
        ConfigError: The configuration is missing or invalid.
    """
    return run_to_completion(load_config_steps(environ))


def parse_config(document: dict[str, Any]) -> Config:
    """Return the configuration in a file's decoded JSON, without overrides from the environment.

    Raises:
        ConfigError: The configuration is invalid.
    """
    try:
        return run_to_completion(read_config(msgspec.json.encode(document), {}, None, ValidationErrors()))
    except SettingsFormatError as error:
        raise ConfigError(str(error), error.errors) from None


def load_config_steps(
    environ: Mapping[str, str], previous: Config | None = None, max_errors: int = 1
) -> Steps[Config]:
    """Read the configuration in steps of at most about 2 ms with 23,000 tenants.

    Args:
        environ: The ROUTER_* variables.
        previous: The configuration in force, if there is one. Its request classes, tenants, names and whole
            tuples of these are reused as the same objects where they are equal, ROUTER_DISCOVERY is ignored,
            and the cached endpoint list is left empty, as the process holds a newer one.
        max_errors: Reading stops after this number of errors in the file's content.

    Raises:
        ConfigError: The configuration is missing or invalid.
    """
    path, data = yield from read_file(environ)
    try:
        return (yield from read_config(data, environ, previous, ValidationErrors(max_errors)))
    except SettingsFormatError as error:
        raise ConfigError.from_format_error(path, error) from None


def read_file(environ: Mapping[str, str]) -> Steps[tuple[str, bytes]]:
    """Return the configuration file's path in printable form, and its bytes.

    Raises:
        ConfigError: ROUTER_CONFIG is not set, or its file is unreadable or larger than `MAX_CONFIG_BYTES`.
    """
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    printable_path = printable_line(path)
    chunks: list[bytes] = []
    bytes_read = 0
    try:
        with open(path, "rb", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size  # 0 for a pipe
            while size <= MAX_CONFIG_BYTES:
                chunk = file.read(min(READ_BYTES_PER_STEP, max(size - bytes_read, MIN_READ_BYTES)))
                if not chunk:
                    break
                chunks.append(chunk)
                bytes_read += len(chunk)
                size = max(size, bytes_read)
                yield
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else str(error)
        raise ConfigError(f"{printable_path} cannot be read: {reason}") from None
    if size > MAX_CONFIG_BYTES:
        raise ConfigError(
            f"{printable_path} is too large: expected at most {MAX_CONFIG_BYTES} bytes, got {size} or more"
        )
    return printable_path, b"".join(chunks)  # a single chunk is not copied
