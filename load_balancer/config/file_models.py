"""Models of the configuration file, without the settings object."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import Meta, Raw, Struct, field


class LimitsModel(Struct):
    """Limits of the process.

    Attributes:
        sockets: The number of file descriptors that the process may hold.
        memory_mb: The memory that the process may use, in MB of 10^6 bytes.
    """

    sockets: Annotated[int, Meta(ge=128)] = 1024
    memory_mb: Annotated[float, Meta(gt=0)] = 128.0


class EndpointListModel(Struct):
    """An endpoint list in service discovery's format; its entries stay raw JSON."""

    endpoints: list[Raw] = []


class FileModel(Struct):
    """The file; the settings and the cached endpoint list stay raw JSON, to be decoded in steps.

    `name`, `listen` and `discovery` are checked after the environment has overridden them.
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
