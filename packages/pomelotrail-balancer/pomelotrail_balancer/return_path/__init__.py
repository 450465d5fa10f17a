"""Return path: forwards answers of companions to callers."""

from .fleet_socket import FleetSocket

__all__ = ["FleetSocket"]
