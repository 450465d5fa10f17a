"""Returns companions' answers to callers."""

from .fleet_socket import FleetSocket

__all__ = ["FleetSocket"]
