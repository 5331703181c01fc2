"""Reads a gateway's configuration, in steps, from the bytes of its file and the overriding variables."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from operator import is_
from typing import Any

import msgspec
from msgspec import Raw

from load_balancer.config.addresses import Address, parse_address
from load_balancer.config.errors import ConfigError, SettingsFormatError, ValidationErrors
from load_balancer.config.file_models import EndpointListModel, FileModel
from load_balancer.config.gateway_config import Config, NameTable
from load_balancer.config.json_document import decode_document, decode_value
from load_balancer.config.models import SettingsModel
from load_balancer.config.settings_reader import read_settings
from load_balancer.config.steps import ITEMS_PER_STEP, Steps
from load_balancer.decisions.settings import Settings

HASH_BYTES_PER_STEP = 1024 * 1024
DIGEST_BYTES = 16
PLACEHOLDER_ADDRESS: Address = ("", 0)  # never in a Config: the error added with it is raised first


def read_config(
    data: bytes, environ: Mapping[str, str], previous: Config | None, errors: ValidationErrors
) -> Steps[Config]:
    """Read the configuration from the file's bytes; `load_config_steps` describes the other arguments.

    Raises:
        SettingsFormatError: The configuration is invalid.
    """
    model: FileModel | None = yield from decode_document(data, FileModel, errors)
    yield
    if model is None:
        yield from _add_settings_errors(data, errors)
        raise SettingsFormatError(errors.messages)
    del data  # the model refers to the parts that are still to be read
    identity = _read_identity(model, environ, previous, errors)
    seed = _read_seed(model.seed, errors)
    peers = _read_peers(model, errors)
    yield
    cached_endpoint_list = yield from _read_endpoint_list(model.known, previous is not None, errors)
    settings_digest = yield from _digest(model.settings)
    if previous is not None and settings_digest == previous.settings_digest:
        settings = previous.settings
        names = previous.names
    else:
        settings, names = yield from _read_named_settings(model.settings, previous, errors)
    errors.raise_if_any()
    return Config(
        name=identity.name,
        listen=identity.listen,
        discovery=identity.discovery,
        seed=seed,
        max_sockets=model.limits.sockets,
        memory_limit_mb=model.limits.memory_mb,
        settings=settings,
        names=names,
        cached_endpoint_list=cached_endpoint_list,
        peer_listen=peers.listen,
        peers=peers.addresses,
        peers_all=peers.all_peers,
        settings_digest=settings_digest,
    )


def _add_settings_errors(data: bytes, errors: ValidationErrors) -> Steps[None]:
    """Add the errors of the settings in a file that does not match `FileModel`."""
    raw_fields: dict[str, Raw] = decode_value(data, dict[str, Raw], "", errors) or {}
    if "settings" in raw_fields:
        yield from read_settings(raw_fields["settings"], "settings", None, errors, names_required=True)


@dataclass(frozen=True, slots=True)
class _Identity:
    """The name and the addresses of the gateway."""

    name: str
    listen: Address
    discovery: Address


def _read_identity(
    model: FileModel, environ: Mapping[str, str], previous: Config | None, errors: ValidationErrors
) -> _Identity:
    name = environ.get("ROUTER_NAME", model.name)
    listen = environ.get("ROUTER_LISTEN", model.listen)
    discovery = model.discovery
    if previous is None:
        discovery = environ.get("ROUTER_DISCOVERY", discovery)
    if not name:
        errors.add("name", "is missing; expected a string")
    elif not isinstance(name, str):
        errors.add("name", f"expected a string, got {name!r}")
    return _Identity(
        str(name),
        _read_address(listen, "listen", errors),
        _read_address(discovery, "discovery", errors),
    )


@dataclass(frozen=True, slots=True)
class _Peers:
    """Addresses for messages between gateways, as in `Config`."""

    addresses: tuple[Address, ...]
    listen: Address | None
    all_peers: Address | None


def _read_peers(model: FileModel, errors: ValidationErrors) -> _Peers:
    addresses = [_read_address(peer, f"peers[{index}]", errors) for index, peer in enumerate(model.peers)]
    listen = _read_address(model.peer_listen, "peer_listen", errors) if model.peer_listen else None
    all_peers = _read_address(model.peers_all, "peers_all", errors) if model.peers_all else None
    return _Peers(tuple(addresses), listen, all_peers)


def _read_address(text: object, path: str, errors: ValidationErrors) -> Address:
    """Return the address at a path, or `PLACEHOLDER_ADDRESS` once an error has been added to `errors`."""
    try:
        return parse_address(text)
    except ConfigError as error:
        errors.add(path, str(error))
        return PLACEHOLDER_ADDRESS


def _read_seed(seed: str | int | float, errors: ValidationErrors) -> int:
    try:
        return int(seed, 16) if isinstance(seed, str) else int(seed)
    except ValueError:
        errors.add("seed", f"expected a number or a hexadecimal string, got {seed!r}")
        return 0


def _read_endpoint_list(raw: Raw, only_check: bool, errors: ValidationErrors) -> Steps[dict[str, Any]]:
    """Return the cached endpoint list as JSON values; with `only_check`, validate it and return {}."""
    model: EndpointListModel | None = decode_value(raw, EndpointListModel, "known", errors)
    yield
    if model is None or only_check:
        return {}
    raw_fields: dict[str, Raw] = msgspec.json.decode(raw, type=dict[str, Raw])
    endpoint_list: dict[str, Any] = {
        key: msgspec.json.decode(raw_value) for key, raw_value in raw_fields.items() if key != "endpoints"
    }
    endpoints: list[Any] = []
    for start in range(0, len(model.endpoints), ITEMS_PER_STEP):
        for index, entry in enumerate(model.endpoints[start : start + ITEMS_PER_STEP], start):
            endpoints.append(decode_value(entry, Any, f"known.endpoints[{index}]", errors))
        yield
    endpoint_list["endpoints"] = endpoints
    return endpoint_list


def _digest(raw: Raw) -> Steps[str]:
    """Return the hexadecimal digest of a JSON text."""
    view = memoryview(raw)
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for start in range(0, len(view), HASH_BYTES_PER_STEP):
        digest.update(view[start : start + HASH_BYTES_PER_STEP])
        yield
    return digest.hexdigest()


def _read_named_settings(
    raw: Raw, previous: Config | None, errors: ValidationErrors
) -> Steps[tuple[Settings, NameTable]]:
    previous_settings = previous.settings if previous else None
    settings, model = yield from read_settings(
        raw, "settings", previous_settings, errors, names_required=True
    )
    names = yield from _read_names(settings, model, previous.names if previous else None)
    return settings, names


def _read_names(settings: Settings, model: SettingsModel, previous: NameTable | None) -> Steps[NameTable]:
    previous = previous or NameTable((), (), (), ())
    classes = _reuse_if_equal(tuple(each.name for each in settings.classes), previous.classes)
    yield
    tenants = _reuse_if_equal(tuple(each.name for each in settings.tenants), previous.tenants)
    yield
    zones = _reuse_if_equal(tuple(model.zones), previous.zones)
    endpoint_kinds = _reuse_if_equal(tuple(model.endpoint_kinds), previous.endpoint_kinds)
    return NameTable(classes, tenants, zones, endpoint_kinds)


def _reuse_if_equal(names: tuple[str, ...], previous: tuple[str, ...]) -> tuple[str, ...]:
    """Return `previous` if it holds the same names, else `names`."""
    if len(names) != len(previous):
        return names
    same_objects = all(map(is_, names, previous))  # cheaper than comparing text
    return previous if same_objects or names == previous else names
