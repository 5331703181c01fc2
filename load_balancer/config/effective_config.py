"""A configuration with all defaults filled in, in the format of the configuration file."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import UNSET, structs

from load_balancer.config.addresses import format_address
from load_balancer.config.config_reader import read_config
from load_balancer.config.errors import ConfigError, SettingsFormatError, ValidationErrors
from load_balancer.config.file import read_file
from load_balancer.config.file_models import FileModel
from load_balancer.config.gateway_config import Config
from load_balancer.config.models import (
    CLASSES_KEY,
    TENANTS_KEY,
    RequestClassModel,
    SettingsModel,
    TenantModel,
)
from load_balancer.config.steps import run_to_completion

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class EffectiveConfig:
    """A configuration as a gateway would apply it.

    Attributes:
        config: The configuration as read.
        document: The same as JSON with the file's keys, without the cached endpoint list.
    """

    config: Config
    document: JsonObject


def read_effective_config(path: str, environ: Mapping[str, str], max_errors: int = 1) -> EffectiveConfig:
    """Read a configuration file as a gateway with this environment would.

    Raises:
        ConfigError: The file cannot be read or is invalid; holds at most `max_errors` errors.
    """
    printable_path, data = run_to_completion(read_file({**environ, "ROUTER_CONFIG": path}))
    try:
        config = run_to_completion(read_config(data, environ, None, ValidationErrors(max_errors)))
    except SettingsFormatError as error:
        raise ConfigError.from_format_error(printable_path, error) from None
    file_model: FileModel = msgspec.json.decode(data, type=FileModel)
    return EffectiveConfig(config, _to_document(config, file_model))


def _to_document(config: Config, file_model: FileModel) -> JsonObject:
    return {
        "name": config.name,
        "listen": format_address(config.listen),
        "discovery": format_address(config.discovery),
        "seed": f"{config.seed:x}",
        "limits": _with_integers({"sockets": config.max_sockets, "memory_mb": config.memory_limit_mb}),
        "peer_listen": format_address(config.peer_listen) if config.peer_listen else None,
        "peers": [format_address(peer) for peer in config.peers],
        "peers_all": format_address(config.peers_all) if config.peers_all else None,
        "settings": _to_settings_document(msgspec.json.decode(file_model.settings, type=SettingsModel)),
    }


def _to_settings_document(settings: SettingsModel) -> JsonObject:
    classes = [
        _with_default_objective(msgspec.json.decode(raw, type=RequestClassModel)) for raw in settings.classes
    ]
    tenants: list[TenantModel] = [msgspec.json.decode(raw, type=TenantModel) for raw in settings.tenants]
    document: JsonObject = msgspec.to_builtins(structs.replace(settings, classes=[], tenants=[]))
    document[CLASSES_KEY] = msgspec.to_builtins(classes)
    document[TENANTS_KEY] = msgspec.to_builtins(tenants)
    integral: JsonObject = _with_integers(document)
    return integral


def _with_default_objective(request_class: RequestClassModel) -> RequestClassModel:
    """Return the request class with a latency objective, which defaults to the client's timeout."""
    if request_class.latency_objective_us is not UNSET:
        return request_class
    return structs.replace(request_class, latency_objective_us=request_class.client_timeout_us)


def _with_integers(value: Any) -> Any:
    """Return a JSON value with each integral float converted to an integer."""
    if isinstance(value, dict):
        return {key: _with_integers(inner) for key, inner in value.items()}
    if isinstance(value, list):
        return [_with_integers(inner) for inner in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value
