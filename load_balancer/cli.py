"""Commands for operators: check, show and diff of a configuration file. Without arguments a gateway runs."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable, Mapping
from typing import Any, NoReturn

import click
import msgspec

from load_balancer import __version__
from load_balancer.config.file import (
    Address,
    Config,
    ConfigError,
    FileModel,
    read_file,
    read_parts,
)
from load_balancer.config.reader import (
    LaneModel,
    SettingsFormatError,
    SettingsModel,
    TenantModel,
    ValidationErrors,
    run_to_completion,
)
from load_balancer.decisions.settings_version import SettingsVersion, initial_version, next_version
from load_balancer.gateway.reload import restart_only_changes

MOST_FAULTS = 10
MOST_LINES = 20
AT_ONCE = ("discovery", "peers", "peers_all")
AT_START = ("seed",)

Form = dict[str, Any]


def read(path: str, most: int = 1) -> tuple[Config, Form]:
    """A file as a gateway here would take it, and the same with its defaults written out."""
    environ = {**os.environ, "ROUTER_CONFIG": path}
    shown, data = run_to_completion(read_file(environ))
    try:
        config = run_to_completion(read_parts(data, environ, None, ValidationErrors(most)))
    except SettingsFormatError as error:
        raise ConfigError.of(shown, error) from None
    return config, written_out(config, msgspec.json.decode(data, type=FileModel))


def written_out(config: Config, file: FileModel) -> Form:
    """The configuration in the file's own form, the list of known hosts aside."""
    settings: SettingsModel = msgspec.json.decode(file.settings, type=SettingsModel)
    lanes: list[LaneModel] = [msgspec.json.decode(raw, type=LaneModel) for raw in settings.lanes]
    for number, lane in enumerate(lanes):
        if lane.aim_us is msgspec.UNSET:
            lanes[number] = msgspec.structs.replace(lane, aim_us=lane.give_up_us)
    tenants: list[TenantModel] = [msgspec.json.decode(raw, type=TenantModel) for raw in settings.tenants]
    form = msgspec.to_builtins(msgspec.structs.replace(settings, lanes=[], tenants=[]))
    form |= {"lanes": msgspec.to_builtins(lanes), "tenants": msgspec.to_builtins(tenants)}
    return {
        "name": config.name,
        "listen": address(config.listen),
        "discovery": address(config.discovery),
        "seed": f"{config.seed:x}",
        "limits": {"sockets": config.sockets},
        "peer_listen": address(config.peer_listen),
        "peers": [address(peer) for peer in config.peers],
        "peers_all": address(config.peers_all),
        "settings": shortened(form),
    }


def address(pair: Address | None) -> str | None:
    return None if pair is None else f"{pair[0]}:{pair[1]}"


def shortened(value: Any) -> Any:
    """Whole numbers without a point."""
    if isinstance(value, dict):
        return {key: shortened(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [shortened(inner) for inner in value]
    return int(value) if isinstance(value, float) and value.is_integer() else value


def changes(old: Form, new: Form, path: str = "") -> Iterable[str]:
    """Each field that differs, with both values."""
    for key in new:
        where = f"{path}.{key}" if path else key
        if isinstance(old[key], dict) and isinstance(new[key], dict):
            yield from changes(old[key], new[key], where)
        elif old[key] != new[key]:
            yield f"{where} {text(old[key])} -> {text(new[key])}"


def text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


class Touched:
    """What a change does to the classes or the tenants: by name, and which of them start anew."""

    def __init__(
        self, old: list[Form], new: list[Form], kept: Mapping[str, int], now: Mapping[str, int]
    ) -> None:
        was, will = {each["name"]: each for each in old}, {each["name"]: each for each in new}
        self.added = [name for name in will if name not in was]
        self.removed = [name for name in was if name not in will]
        both = [name for name in will if name in was]
        self.changed = {n: ", ".join(changes(was[n], will[n])) for n in both if was[n] != will[n]}
        self.same = len(will) - len(self.added) - len(self.changed)
        self.anew = [name for name in both if kept.get(name) != now.get(name)]

    def lines(self, what: str) -> Iterable[str]:
        yield (
            f"{what}: {len(self.added)} added, {len(self.removed)} removed, {len(self.changed)} changed, "
            f"{self.same} as before"
        )
        yield from (f"  + {name}" for name in self.added)
        yield from (f"  - {name}: its state is dropped" for name in self.removed)
        for name, fields in self.changed.items():
            yield f"  ~ {name}: {fields}; its state {'starts anew' if name in self.anew else 'is kept'}"


def compare(old: Config, old_form: Form, new: Config, new_form: Form, most: int) -> Iterable[str]:
    """What taking over the second configuration for the first would do, a line for each thing."""
    before = initial_version(old.settings)
    after = run_to_completion(next_version(before, new.settings))
    was, will = old_form["settings"], new_form["settings"]
    for what, key in (("routes", "lanes"), ("tenants", "tenants")):
        touched = Touched(was.pop(key), will.pop(key), numbers(before, key), numbers(after, key))
        first, *lines = touched.lines(what)
        yield first
        yield from lines[:most]
        if lines[most:]:
            yield f"  ... and {len(lines) - most} more (--all names them)"
    fixed = [setting.path for setting in restart_only_changes(old, new)]
    yield from listed("other settings, in force at once", changes(was, will))
    for what, keys in (("in force at once", AT_ONCE), ("only at the next start", AT_START)):
        yield from listed(what, changes(pick(old_form, keys), pick(new_form, keys)))
    if fixed:
        why = "refused by a gateway that runs with OLD, as only a new process can change it"
        yield f"{why}: {', '.join(fixed)}"


def numbers(generation: SettingsVersion, key: str) -> dict[str, int]:
    settings = generation.settings
    if key == "lanes":
        return {each.name: n for each, n in zip(settings.classes, generation.class_ids, strict=True)}
    return {each.name: n for each, n in zip(settings.tenants, generation.tenant_ids, strict=False)}


def pick(form: Form, keys: tuple[str, ...]) -> Form:
    return {key: form[key] for key in keys}


def listed(what: str, lines: Iterable[str]) -> Iterable[str]:
    lines = list(lines)
    if lines:
        yield f"{what}:"
        yield from (f"  ~ {line}" for line in lines)


# The commands

FILE = click.Path(dir_okay=False)


def complain(error: ConfigError) -> NoReturn:
    """One line for each fault, and the end with 2."""
    for fault in error.faults:
        print(f"load_balancer: {fault}", file=sys.stderr)
    sys.exit(2)


@click.group(
    epilog="Without a command, a gateway runs: it reads the file that ROUTER_CONFIG names, serves until "
    "SIGTERM or SIGINT, answers what it has taken, and ends. ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY "
    "come before what stands in the file. SIGHUP has it read the file again; one that cannot be used changes "
    "nothing."
)
@click.version_option(__version__, prog_name="load_balancer")
def command() -> None:
    """A gateway that spreads HTTP requests over a fleet of servers.

    The commands here look at a configuration file before a gateway is given it; they start nothing and change
    nothing. Variables named ROUTER_... count as they would for a gateway started here.
    """


@command.command()
@click.argument("file", type=FILE)
@click.option(
    "--most", type=click.IntRange(1), default=MOST_FAULTS, show_default=True, help="Faults that are named."
)
def check(file: str, most: int) -> None:
    """Say whether a gateway could use FILE.

    Ends with 0 if so. If not, ends with 2 after one line on standard error for each of the first faults:
    where it stands, as in settings.lanes[0].aimUs, and what was expected there.
    """
    try:
        config, _ = read(file, most)
    except ConfigError as error:
        complain(error)
    settings = config.settings
    print(f"{file}: good; {len(settings.classes)} routes, {len(settings.tenants)} tenants")


@command.command()
@click.argument("file", type=FILE)
def show(file: str) -> None:
    """Print what is in force with FILE, as JSON.

    Every field that a gateway reads is there, with the default where FILE says nothing; what is not read is
    left out. The list of known hosts is left out too. The output is a configuration file itself.
    """
    try:
        _, form = read(file)
    except ConfigError as error:
        complain(error)
    click.echo(msgspec.json.format(msgspec.json.encode(form), indent=1))


@command.command()
@click.argument("old", type=FILE)
@click.argument("new", type=FILE)
@click.option("--all", "whole", is_flag=True, help=f"Name all, not the first {MOST_LINES}.")
def diff(old: str, new: str, whole: bool) -> None:
    """Say what replacing OLD by NEW would do to a gateway.

    Names the routes (lanes) and tenants that are added (+), removed (-) or changed (~), with the fields that
    differ, and whether what the gateway has learnt about each (its state) is kept or starts anew. Then the
    other settings, what counts only at the next start, and what a running gateway would refuse NEW for. Ends
    with 2 if either cannot be used.
    """
    read_by: list[tuple[Config, Form]] = []
    for path in (old, new):
        try:
            read_by.append(read(path))
        except ConfigError as error:
            complain(error)
    (was, was_form), (will, will_form) = read_by
    for line in compare(was, was_form, will, will_form, sys.maxsize if whole else MOST_LINES):
        click.echo(line)
