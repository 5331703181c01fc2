"""Commands that check, show and compare configuration files; none of them starts a gateway."""

from __future__ import annotations

import os
import sys
from typing import NoReturn

import click
import msgspec

from load_balancer import __version__
from load_balancer.config.comparison import compare_configs
from load_balancer.config.effective_config import read_effective_config
from load_balancer.config.errors import ConfigError
from load_balancer.gateway.reload import restart_only_changes

DEFAULT_MAX_ERRORS = 10  # errors that `check` prints without --most
DEFAULT_MAX_LINES = 20  # lines per list that `diff` prints without --all
EXIT_CONFIG_ERROR = 2

CONFIG_FILE = click.Path(dir_okay=False)


def exit_with_errors(error: ConfigError) -> NoReturn:
    """Print each error as a line on standard error, and exit."""
    for message in error.errors:
        print(f"load_balancer: {message}", file=sys.stderr)
    sys.exit(EXIT_CONFIG_ERROR)


@click.group(
    epilog="Without a command, a gateway runs. It reads the file that ROUTER_CONFIG names, serves until "
    "SIGTERM or SIGINT, answers the requests it has accepted, and exits. ROUTER_NAME, ROUTER_LISTEN and "
    "ROUTER_DISCOVERY override the values in the file. On SIGHUP the gateway reads the file again; an "
    "invalid file changes nothing."
)
@click.version_option(__version__, prog_name="load_balancer")
def cli() -> None:
    """A gateway that spreads HTTP requests over a fleet of endpoints.

    The commands inspect configuration files; they start nothing and change nothing. The ROUTER_* environment
    variables apply as they would to a gateway that is started in this environment.
    """


@cli.command()
@click.argument("file", type=CONFIG_FILE)
@click.option(
    "--most",
    "max_errors",
    type=click.IntRange(1),
    default=DEFAULT_MAX_ERRORS,
    show_default=True,
    help="Maximum number of errors to print.",
)
def check(file: str, max_errors: int) -> None:
    """Check whether FILE is a valid configuration.

    Exits with 0 if it is. Otherwise prints the first errors on standard error, one per line, and exits with
    2. An error consists of a path, such as settings.lanes[0].aimUs, and what was expected there.
    """
    try:
        effective = read_effective_config(file, os.environ, max_errors)
    except ConfigError as error:
        exit_with_errors(error)
    settings = effective.config.settings
    print(f"{file}: valid; {len(settings.classes)} request classes, {len(settings.tenants)} tenants")


@cli.command()
@click.argument("file", type=CONFIG_FILE)
def show(file: str) -> None:
    """Print FILE as JSON with all defaults filled in.

    The output has every field that a gateway reads, with the default where FILE has no value. Unknown fields
    and the cached endpoint list are left out. The output is a valid configuration file itself.
    """
    try:
        effective = read_effective_config(file, os.environ)
    except ConfigError as error:
        exit_with_errors(error)
    click.echo(msgspec.json.format(msgspec.json.encode(effective.document), indent=1))


@cli.command()
@click.argument("old", type=CONFIG_FILE)
@click.argument("new", type=CONFIG_FILE)
@click.option(
    "--all", "all_lines", is_flag=True, help=f"Print all changes, not only {DEFAULT_MAX_LINES} per list."
)
def diff(old: str, new: str, all_lines: bool) -> None:
    """Print the effects on a gateway of replacing OLD by NEW.

    Lists the request classes (lanes) and tenants that are added (+), removed (-) or changed (~), with the
    fields that differ, and whether the state that the gateway holds for each is kept or reset. Then lists the
    other changed settings, those applied at the next start only, and those for which a running gateway would
    reject NEW. Exits with 2 if either file is invalid.
    """
    try:
        old_config = read_effective_config(old, os.environ)
        new_config = read_effective_config(new, os.environ)
    except ConfigError as error:
        exit_with_errors(error)
    max_lines = sys.maxsize if all_lines else DEFAULT_MAX_LINES
    restart_only = [each.path for each in restart_only_changes(old_config.config, new_config.config)]
    for line in compare_configs(old_config, new_config, max_lines, restart_only):
        click.echo(line)
