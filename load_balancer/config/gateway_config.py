"""The configuration of a gateway, as it is read from the environment and the file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from load_balancer.config.addresses import Address
from load_balancer.decisions.settings import Settings


@dataclass(frozen=True, slots=True)
class NameTable:
    """The operator's names, each at the index by which the balancer refers to it."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    endpoint_kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a gateway needs to start.

    Attributes:
        name: This gateway's name.
        listen: Address on which client connections are accepted.
        discovery: Address of service discovery.
        seed: Seed of the random number generator.
        max_sockets: Number of file descriptors that the process may hold.
        memory_limit_mb: Memory that the process may use, in MB of 10^6 bytes.
        settings: The balancer's settings.
        names: The operator's names for classes, tenants, zones and endpoint kinds.
        cached_endpoint_list: The endpoint list to start with, in service discovery's JSON form.
        peer_listen: Address on which messages of other gateways are received; None to receive none.
        peers: Addresses of the other gateways.
        peers_all: An address that reaches all gateways; None if there is none.
        settings_digest: Hex digest of the settings object's bytes in the file.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    memory_limit_mb: float
    settings: Settings
    names: NameTable
    cached_endpoint_list: dict[str, Any]
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    settings_digest: str = ""
