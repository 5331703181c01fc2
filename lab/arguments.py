"""Checks of the command line's arguments, and their defaults."""

from __future__ import annotations

from pathlib import Path

import click
import psutil


def half_of_memory_mb() -> int:
    """Half of the machine's memory."""
    return int(psutil.virtual_memory().total / 2e6)


def parse_size(text: str) -> tuple[int, int, int]:
    """Servers, routes and tenants of a size as 200x3x2."""
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
    """A result that cannot be written is known before the run, not after."""
    if value is not None and (value.is_dir() or not value.parent.is_dir()):
        raise click.BadParameter(f"{value} cannot be written")
    return value


def resolve_memory_bound_mb(memory_mb: int | None) -> int:
    """The bound on memory, by default half of the machine's."""
    limit_mb = half_of_memory_mb()
    if memory_mb is not None and memory_mb > limit_mb:
        raise click.BadParameter(f"--memory-mb is above half of the machine's memory, {limit_mb}")
    return memory_mb or limit_mb
