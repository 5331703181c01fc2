"""What the gateway is told at its start: the ROUTER_* variables and the configuration file behind them."""

from __future__ import annotations

import hashlib
import os
from collections.abc import Mapping
from dataclasses import dataclass
from operator import is_
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Raw, Struct

from load_balancer.config.reader import (
    STEP,
    SettingsFormatError,
    SettingsModel,
    Steps,
    ValidationErrors,
    decode,
    decode_document,
    printable_line,
    read_settings,
    run_to_completion,
)
from load_balancer.decisions.settings import Settings

Address = tuple[str, int]

CONFIG_LIMIT = 16 * 1024 * 1024  # bytes; about five times the file of 3,400 routes and 23,000 tenants
READ_BYTES = 4 * 1024 * 1024  # between two yields
LEAST_BYTES = 64 * 1024
HASH_BYTES = 1024 * 1024
SHOWN = 60  # characters of a value that an error shows


class ConfigError(ValueError):
    """The configuration is missing or cannot be used; `faults` holds each place, one line each."""

    def __init__(self, text: str, faults: tuple[str, ...] = ()) -> None:
        super().__init__(text)
        self.faults = faults or (text,)

    @classmethod
    def of(cls, file: str, error: SettingsFormatError) -> ConfigError:
        faults = tuple(f"{file}: {fault}" for fault in error.faults)
        return cls(faults[0], faults)


@dataclass(frozen=True, slots=True)
class NameTable:
    """The settings' names; the balancer knows each by its place."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that the process may hold
    settings: Settings
    names: NameTable
    known: dict[str, Any]  # the list of hosts as last held, in discovery's form
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    content: str = ""  # hex digest of the settings object, byte for byte as it stands in the file


class Limits(Struct):
    sockets: Annotated[int, Meta(ge=128)] = 1024


class KnownModel(Struct):
    endpoints: list[Raw] = []


class FileModel(Struct):
    """The file; the settings and the known list are read piece by piece."""

    settings: Raw
    name: Any = None
    listen: Any = None
    discovery: Any = None
    seed: str | int | float = 0
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Raw = Raw(b"{}")
    peer_listen: str | None = None
    peers: list[str] = []
    peers_all: str | None = None


def parse_address(text: object) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    digits = port.isascii() and port.isdigit() and len(port) <= 5
    if not host or not colon or not digits or not int(port) < 65_536:
        shown = repr(text)
        shown = shown if len(shown) <= SHOWN else f"{shown[:SHOWN]}..."
        raise ConfigError(f"expected an address of the form host:port, got {shown}")
    return host, int(port)


def read_file(environ: Mapping[str, str]) -> Steps[tuple[str, bytes]]:
    """The configuration file's path and bytes, of which there are CONFIG_LIMIT at most."""
    path = environ.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    shown, parts, taken = printable_line(path), list[bytes](), 0
    try:
        with open(path, "rb", buffering=0) as file:
            size = os.fstat(file.fileno()).st_size  # 0 for a pipe
            while size <= CONFIG_LIMIT:
                part = file.read(min(READ_BYTES, max(size - taken, LEAST_BYTES)))
                if not part:
                    break
                parts.append(part)
                taken += len(part)
                size = max(size, taken)
                yield
    except (OSError, ValueError) as error:
        why = error.strerror if isinstance(error, OSError) else str(error)
        raise ConfigError(f"{shown} cannot be read: {why}") from None
    if size > CONFIG_LIMIT:
        raise ConfigError(f"{shown} is too large: expected at most {CONFIG_LIMIT} bytes, got {size} or more")
    return shown, b"".join(parts)  # the very bytes where one reading took them all


def load_config(environ: Mapping[str, str]) -> Config:
    """The configuration that a start takes: ROUTER_NAME, ROUTER_LISTEN and ROUTER_DISCOVERY come first."""
    return run_to_completion(read_steps(environ))


def parse_config(raw: dict[str, Any]) -> Config:
    """The same from the file's object, without a file."""
    try:
        return run_to_completion(read_parts(msgspec.json.encode(raw), {}, None, ValidationErrors()))
    except SettingsFormatError as error:
        raise ConfigError(str(error), error.faults) from None


def read_steps(environ: Mapping[str, str], before: Config | None = None, most: int = 1) -> Steps[Config]:
    """The configuration, with a yield after each piece of work (at most some 2 ms at 23,000 tenants).

    With `before`, the configuration in force, what is equal in it is taken over as the same objects (tenants,
    classes, names, and whole tuples where nothing in them differs), discovery is where the file says, and the
    list of known hosts is left empty: the process holds a newer one. Raises ConfigError, one line; after
    `most` faults in what the file says.
    """
    shown, data = yield from read_file(environ)
    try:
        return (yield from read_parts(data, environ, before, ValidationErrors(most)))
    except SettingsFormatError as error:
        raise ConfigError.of(shown, error) from None


def read_parts(
    data: bytes, environ: Mapping[str, str], before: Config | None, faults: ValidationErrors
) -> Steps[Config]:
    model: FileModel | None = yield from decode_document(data, FileModel, faults)
    yield
    if model is None:  # the settings are looked at none the less, for what else is wrong
        parts = decode(data, dict[str, Raw], "", faults) or {}
        if "settings" in parts:
            yield from read_settings(parts["settings"], "settings", None, faults, named=True)
        raise SettingsFormatError(faults.found)
    del data
    told = {"name": model.name, "listen": model.listen, "discovery": model.discovery}
    for key in ("name", "listen") if before else tuple(told):
        told[key] = environ.get(f"ROUTER_{key.upper()}", told[key])
    name = told["name"]
    if not isinstance(name, str) or not name:
        faults.add("name", "is missing; expected text" if not name else f"expected text, got {name!r}")
    listen = read_address(told["listen"], "listen", faults)
    discovery = read_address(told["discovery"], "discovery", faults)
    seed = read_seed(model.seed, faults)
    peers = tuple(read_address(peer, f"peers[{n}]", faults) for n, peer in enumerate(model.peers))
    peer_listen = read_address(model.peer_listen, "peer_listen", faults) if model.peer_listen else None
    peers_all = read_address(model.peers_all, "peers_all", faults) if model.peers_all else None
    yield
    known = yield from read_known(model.known, before is not None, faults)
    content = yield from digest(model.settings)
    if before is not None and content == before.content:
        settings, names = before.settings, before.names
    else:
        held = before.settings if before else None
        settings, inner = yield from read_settings(model.settings, "settings", held, faults, named=True)
        names = yield from read_names(settings, inner, before.names if before else None)
    faults.settle()
    assert listen is not None and discovery is not None
    return Config(
        name=str(name),
        listen=listen,
        discovery=discovery,
        seed=seed,
        sockets=model.limits.sockets,
        settings=settings,
        names=names,
        known=known,
        peer_listen=peer_listen,
        peers=tuple(peer for peer in peers if peer is not None),
        peers_all=peers_all,
        content=content,
    )


def read_address(raw: object, path: str, faults: ValidationErrors) -> Address | None:
    try:
        return parse_address(raw)
    except ConfigError as error:
        faults.add(path, str(error))
        return None


def read_seed(raw: str | int | float, faults: ValidationErrors) -> int:
    try:
        return int(raw, 16) if isinstance(raw, str) else int(raw)
    except ValueError:
        faults.add("seed", f"expected a number, or one in hexadecimal as text, got {raw!r}")
        return 0


def read_known(raw: Raw, held: bool, faults: ValidationErrors) -> Steps[dict[str, Any]]:
    """The list as plain objects; where a list is held already, only whether it is one."""
    model = decode(raw, KnownModel, "known", faults)
    yield
    if model is None or held:
        return {}
    known = {key: value for key, value in decode_others(raw).items() if key != "endpoints"}
    endpoints: list[Any] = []
    for start in range(0, len(model.endpoints), STEP):
        endpoints += [
            decode(entry, Any, f"known.endpoints[{n}]", faults)
            for n, entry in enumerate(model.endpoints[start : start + STEP], start)
        ]
        yield
    return known | {"endpoints": endpoints}


def decode_others(raw: Raw) -> dict[str, Any]:
    """The index and what else stands beside the endpoints."""
    parts: dict[str, Raw] = msgspec.json.decode(raw, type=dict[str, Raw])
    return {key: msgspec.json.decode(part) for key, part in parts.items() if key != "endpoints"}


def digest(raw: Raw) -> Steps[str]:
    view, made = memoryview(raw), hashlib.blake2b(digest_size=16)
    for start in range(0, len(view), HASH_BYTES):
        made.update(view[start : start + HASH_BYTES])
        yield
    return made.hexdigest()


def read_names(settings: Settings, model: SettingsModel, before: NameTable | None) -> Steps[NameTable]:
    """The names by place; a tuple of `before` that holds the same ones is taken over."""

    def kept(names: tuple[str, ...], old: tuple[str, ...]) -> tuple[str, ...]:
        return old if len(names) == len(old) and (all(map(is_, names, old)) or names == old) else names

    old = before or NameTable((), (), (), ())
    classes = kept(tuple(each.name for each in settings.classes), old.classes)
    yield
    tenants = kept(tuple(each.name for each in settings.tenants), old.tenants)
    yield
    return NameTable(
        classes, tenants, kept(tuple(model.zones), old.zones), kept(tuple(model.shapes), old.kinds)
    )
