"""Packets of transport flows whose endpoints can't be changed."""

from .packet import SEQUENCE_RANGE, Mark, Packet, PacketCodec
from .text import flow_text

__all__ = ["SEQUENCE_RANGE", "Mark", "Packet", "PacketCodec", "flow_text"]
