"""Codec for the platform's header as used by the endpoints of a flow."""

import struct
from typing import Final

from pomelotrail_core.flows import Packet
from pomelotrail_platform.header import HeaderCodec

_HEADER: Final = struct.Struct("!HIIII6s6sBB")
_FIN, _BOUNCED, _RST, _SYN, _ACK = 1, 2, 8, 16, 32


class EndpointCodec(HeaderCodec):
    """Codec that also encodes packets, as only the endpoints of a flow do."""

    def encode(self, packet: Packet, content: bytes = b"") -> bytes:
        """Return the datagram for a packet and its content."""
        is_bare = packet.opens or packet.resets
        flags = (
            (packet.opens or packet.accepts) * _SYN
            | (not is_bare) * _ACK
            | packet.finishes * _FIN
            | packet.resets * _RST
            | packet.returned * _BOUNCED
        )
        header = _HEADER.pack(
            len(content),
            packet.sequence,
            packet.acknowledged,
            0,
            packet.label,
            packet.sender,
            packet.receiver,
            flags,
            packet.mark,
        )
        return header + content

    def content(self, packet: Packet) -> bytes:
        """Return the bytes after the header."""
        return packet.data[_HEADER.size :]


CODEC: Final = EndpointCodec()


def make_packet(
    sender: bytes,
    receiver: bytes,
    sequence: int = 0,
    acknowledged: int = 0,
    **flags: bool,
) -> Packet:
    """Return a packet with the given flags."""
    names = ("opens", "accepts", "finishes", "resets", "returned")
    values = {name: flags.get(name, False) for name in names}
    return Packet(b"", sender, receiver, sequence, acknowledged, 0, **values)
