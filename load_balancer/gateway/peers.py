"""Messages between gateways, one UDP datagram each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from load_balancer.config.addresses import Address
from load_balancer.errors import LoadBalancerError

PEER_MESSAGE_LIMIT = 256  # bytes


class PeerMessageError(LoadBalancerError, ValueError):
    """A message that may not be sent to another gateway."""


class PeerChannel(asyncio.DatagramProtocol):
    """The socket for messages to and from other gateways.

    Attributes:
        transport: None until it is open.
    """

    def __init__(self, on_message: Callable[[bytes, Address], None]) -> None:
        """Create a closed channel.

        Args:
            on_message: Called with each message within the limit on its size, and its sender.
        """
        self.transport: asyncio.DatagramTransport | None = None
        self._on_message = on_message

    async def open(self, loop: asyncio.AbstractEventLoop, listen: Address) -> None:
        """Begin to receive messages at an address.

        Raises:
            OSError: If the address cannot be used.
        """
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=listen)

    def send(self, data: bytes, receiver: Address | None) -> None:
        """Send a message if the channel is open and a receiver is given.

        Raises:
            PeerMessageError: The message is longer than `PEER_MESSAGE_LIMIT`.
        """
        if len(data) > PEER_MESSAGE_LIMIT:
            raise PeerMessageError(f"a message of {len(data)} bytes is too long")
        if self.transport is not None and receiver is not None:
            self.transport.sendto(data, receiver)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Deliver a message unless it is too long."""
        if len(data) <= PEER_MESSAGE_LIMIT:
            self._on_message(data, addr)
