"""What a balancer notes about operators' orders."""

from .zone_events import ZoneEvents

__all__ = ["ZoneEvents"]
