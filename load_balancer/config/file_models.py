"""Models of the configuration file, without the settings object."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta, Raw, Struct, field


class LimitsModel(Struct):
    """Limits of the process."""

    sockets: Annotated[int, Meta(ge=128)] = 1024


class EndpointListModel(Struct):
    """An endpoint list in the form of service discovery, its entries left raw."""

    endpoints: list[Raw] = []


class FileModel(Struct):
    """The file; the settings and the cached endpoint list are left raw, to be read piece by piece.

    Values that the environment may override are checked after the override.
    """

    settings: Raw
    name: Any = None
    listen: Any = None
    discovery: Any = None
    seed: str | int | float = 0
    limits: LimitsModel = field(default_factory=LimitsModel)
    known: Raw = Raw(b"{}")
    peer_listen: str | None = None
    peers: list[str] = []
    peers_all: str | None = None
