"""The configuration of a gateway, as it is read from the environment and the file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from load_balancer.config.addresses import Address
from load_balancer.decisions.settings import Settings


@dataclass(frozen=True, slots=True)
class NameTable:
    """The operator's names, by the index that the decisions know each by."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """Everything that a gateway is given at its start.

    Attributes:
        name: This gateway's name.
        listen: Where clients connect.
        discovery: Address of service discovery.
        seed: Of the random numbers.
        sockets: File descriptors that the process may hold.
        settings: What the decisions are made from.
        names: Names of the settings' parts.
        known: A cached endpoint list in the form of service discovery.
        peer_listen: Where other gateways connect; None for nowhere.
        peers: Addresses of the other gateways.
        peers_all: An address that reaches all gateways; None if there is none.
        content: Hex digest of the settings object, byte for byte as it stands in the file.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    names: NameTable
    known: dict[str, Any]
    peer_listen: Address | None = None
    peers: tuple[Address, ...] = ()
    peers_all: Address | None = None
    content: str = ""
