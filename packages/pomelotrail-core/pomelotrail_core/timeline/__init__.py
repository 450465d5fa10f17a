"""Typed events of one process, kept in a bounded ring and gathered by others."""

from .messages import Event, EventKind
from .recorder import Recorder

__all__ = ["Event", "EventKind", "Recorder"]
