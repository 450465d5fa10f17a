"""Forwards callers' packets to the companions that own their flows."""

from .forwarder import Forwarder
from .service_socket import ServiceSocket

__all__ = ["Forwarder", "ServiceSocket"]
