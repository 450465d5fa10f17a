"""The caller edge: terminates flows and turns packets into requests."""

from .caller_edge import CallerEdge
from .packet_socket import PacketSocket
from .quic_edge import QuicEdge

__all__ = ["CallerEdge", "PacketSocket", "QuicEdge"]
