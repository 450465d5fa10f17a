"""Forwards packets of callers to the companions that own their flows."""

from .counters import PacketCounter
from .forwarder import Forwarder
from .service_socket import ServiceSocket

__all__ = ["Forwarder", "PacketCounter", "ServiceSocket"]
