"""Validation of command line arguments, and defaults that depend on the machine."""

from __future__ import annotations

from pathlib import Path

import click
import psutil


def half_of_memory_mb() -> int:
    """Return half of the machine's memory in megabytes."""
    return int(psutil.virtual_memory().total / 2e6)


def parse_size(text: str) -> tuple[int, int, int]:
    """Return the servers, routes and tenants of a size such as "200x3x2"."""
    numbers = text.split("x")
    if len(numbers) != 3 or not all(
        number.isascii() and number.isdigit() and int(number) > 0 for number in numbers
    ):
        raise click.BadParameter(f"{text!r} is not of the form SERVERSxROUTESxTENANTS")
    servers, routes, tenants = map(int, numbers)
    return servers, routes, tenants


def check_result_path(
    _context: click.Context, _parameter: click.Parameter, value: Path | None
) -> Path | None:
    """Reject a result file that cannot be written, before the run starts."""
    if value is not None and (value.is_dir() or not value.parent.is_dir()):
        raise click.BadParameter(
            f"{value} cannot be written: it is a directory, or its parent directory is missing"
        )
    return value


def resolve_memory_bound_mb(memory_mb: int | None) -> int:
    """Return the memory bound in megabytes; the default and the maximum are half of the machine's memory."""
    limit_mb = half_of_memory_mb()
    if memory_mb is not None and memory_mb > limit_mb:
        raise click.BadParameter(f"--memory-mb must be at most half of the machine's memory: {limit_mb}")
    return memory_mb or limit_mb
