"""A packet of a flow and the interface of the codec for its header."""

import abc
import enum
from typing import Final

import msgspec

# Sequence numbers wrap around at this value.
SEQUENCE_RANGE: Final = 2**32


class Mark(enum.IntEnum):
    """The reason why a balancer forwards a packet to a companion."""

    NONE = 0
    OWNED = 1
    LOOKUP = 2


class Packet(msgspec.Struct):
    """The decoded header of a packet, with the datagram that contains it.

    ``sender`` and ``receiver`` are packed addresses of six bytes. In an opening packet,
    ``acknowledged`` is the number of earlier transmissions of it; in all others it is
    the next byte that the sender expects. ``returned`` marks a packet that a backend
    server returned because it doesn't own the flow. ``label`` and ``mark`` are used by
    the load balancer only; the endpoints of the flow neither set nor read them.
    """

    data: bytes
    sender: bytes
    receiver: bytes
    sequence: int
    acknowledged: int
    size: int
    opens: bool
    accepts: bool
    finishes: bool
    resets: bool
    returned: bool
    label: int = 0
    mark: int = 0

    @property
    def retransmission_count(self) -> int:
        """Return the number of earlier transmissions of this opening packet."""
        return self.acknowledged if self.opens else 0

    @property
    def caller_flow(self) -> bytes:
        """Return the flow key of a packet sent by the caller."""
        return self.sender + self.receiver

    @property
    def server_flow(self) -> bytes:
        """Return the flow key of a packet sent by the backend server."""
        return self.receiver + self.sender


class PacketCodec(abc.ABC):
    """Decodes and modifies packet headers.

    A codec for another header format has to provide the same fields::

        packet = codec.decode(datagram)
        if packet is not None and packet.opens:
            send(codec.with_label(packet, label, Mark.OWNED))
    """

    @abc.abstractmethod
    def decode(self, data: bytes) -> Packet | None:
        """Return the packet in a datagram, or None if it is malformed."""

    @abc.abstractmethod
    def with_label(self, packet: Packet, label: int, mark: Mark) -> bytes:
        """Return the datagram with the fields of the load balancer set."""

    @abc.abstractmethod
    def without_label(self, packet: Packet) -> bytes:
        """Return the datagram as its sender sent it."""

    @abc.abstractmethod
    def build_reset(self, flow: bytes, position: int) -> bytes:
        """Return a reset packet for the caller of a flow.

        ``position`` is near the byte that the caller expects next; any value is
        accepted while the flow is not open.
        """
