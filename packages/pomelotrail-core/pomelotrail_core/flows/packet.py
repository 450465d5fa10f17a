"""A packet of a flow, and the interface of the codec that reads its header."""

import abc
import enum
from typing import Final

import msgspec

# Sequence numbers of packets wrap here.
SEQUENCE_RANGE: Final = 2**32


class Mark(enum.IntEnum):
    """What a balancer says of a packet that it hands to a companion."""

    NONE = 0
    OWNED = 1
    LOOKUP = 2


class Packet(msgspec.Struct):
    """The header of one packet, decoded, with the datagram that it came in.

    ``sender`` and ``receiver`` are packed addresses of six bytes. ``copy`` is
    the number of earlier copies of an opening packet; in all others
    ``acknowledged`` is the next byte that the sender expects. ``returned``
    marks a packet that a backend server gave back because it doesn't hold the
    flow. ``label`` and ``mark`` belong to the load balancer; the ends of the
    flow neither set nor read them.
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
    def copy(self) -> int:
        """Return how many copies of this opening packet came before it."""
        return self.acknowledged if self.opens else 0

    @property
    def caller_flow(self) -> bytes:
        """Return the key of the flow of a packet that its caller sent."""
        return self.sender + self.receiver

    @property
    def server_flow(self) -> bytes:
        """Return the key of the flow of a packet from its backend server."""
        return self.receiver + self.sender


class PacketCodec(abc.ABC):
    """Reads and changes the headers of packets.

    A codec for another header only has to fill in the same fields::

        packet = codec.decode(datagram)
        if packet is not None and packet.opens:
            send(codec.labelled(packet, label, Mark.OWNED))
    """

    @abc.abstractmethod
    def decode(self, data: bytes) -> Packet | None:
        """Return the packet in a datagram, or None if it holds none."""

    @abc.abstractmethod
    def labelled(self, packet: Packet, label: int, mark: Mark) -> bytes:
        """Return the datagram with the load balancer's fields set."""

    @abc.abstractmethod
    def restored(self, packet: Packet) -> bytes:
        """Return the datagram as its sender wrote it."""

    @abc.abstractmethod
    def reset(self, flow: bytes, position: int) -> bytes:
        """Return a reset for the caller of a flow.

        ``position`` is near the byte that the caller expects next; any will do
        while the flow is not open.
        """
