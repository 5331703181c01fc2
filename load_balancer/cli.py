"""Commands for operators: check, show and diff of a configuration file. Without arguments a gateway runs."""

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

DEFAULT_MAX_ERRORS = 10  # of `check`
DEFAULT_MAX_LINES = 20  # of `diff`, for each of the long lists
EXIT_CONFIG_ERROR = 2

CONFIG_FILE = click.Path(dir_okay=False)


def exit_with_errors(error: ConfigError) -> NoReturn:
    """Print a line on standard error for each error, and exit."""
    for message in error.errors:
        print(f"load_balancer: {message}", file=sys.stderr)
    sys.exit(EXIT_CONFIG_ERROR)


@click.group(
    epilog="Without a command, a gateway runs: it reads the file that ROUTER_CONFIG names, serves until "
    "SIGTERM or SIGINT, answers what it has taken, and ends. ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY "
    "come before what stands in the file. SIGHUP has it read the file again; one that cannot be used changes "
    "nothing."
)
@click.version_option(__version__, prog_name="load_balancer")
def cli() -> None:
    """A gateway that spreads HTTP requests over a fleet of servers.

    The commands here look at a configuration file before a gateway is given it; they start nothing and change
    nothing. Variables named ROUTER_... count as they would for a gateway started here.
    """


@cli.command()
@click.argument("file", type=CONFIG_FILE)
@click.option(
    "--most",
    "max_errors",
    type=click.IntRange(1),
    default=DEFAULT_MAX_ERRORS,
    show_default=True,
    help="Faults that are named.",
)
def check(file: str, max_errors: int) -> None:
    """Say whether a gateway could use FILE.

    Ends with 0 if so. If not, ends with 2 after one line on standard error for each of the first faults:
    where it stands, as in settings.lanes[0].aimUs, and what was expected there.
    """
    try:
        effective = read_effective_config(file, os.environ, max_errors)
    except ConfigError as error:
        exit_with_errors(error)
    settings = effective.config.settings
    print(f"{file}: good; {len(settings.classes)} routes, {len(settings.tenants)} tenants")


@cli.command()
@click.argument("file", type=CONFIG_FILE)
def show(file: str) -> None:
    """Print what is in force with FILE, as JSON.

    Every field that a gateway reads is there, with the default where FILE says nothing; what is not read is
    left out. The list of known hosts is left out too. The output is a configuration file itself.
    """
    try:
        effective = read_effective_config(file, os.environ)
    except ConfigError as error:
        exit_with_errors(error)
    click.echo(msgspec.json.format(msgspec.json.encode(effective.document), indent=1))


@cli.command()
@click.argument("old", type=CONFIG_FILE)
@click.argument("new", type=CONFIG_FILE)
@click.option("--all", "all_lines", is_flag=True, help=f"Name all, not the first {DEFAULT_MAX_LINES}.")
def diff(old: str, new: str, all_lines: bool) -> None:
    """Say what replacing OLD by NEW would do to a gateway.

    Names the routes (lanes) and tenants that are added (+), removed (-) or changed (~), with the fields that
    differ, and whether what the gateway has learnt about each (its state) is kept or starts anew. Then the
    other settings, what counts only at the next start, and what a running gateway would refuse NEW for. Ends
    with 2 if either cannot be used.
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
