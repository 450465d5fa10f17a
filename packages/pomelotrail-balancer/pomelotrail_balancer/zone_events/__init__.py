"""Timeline events for operators' changes to availability zones."""

from .zone_events import ZoneEvents

__all__ = ["ZoneEvents"]
