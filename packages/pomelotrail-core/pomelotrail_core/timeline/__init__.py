"""Typed events of one process, kept in bounded rings and gathered by others."""

from .clock_estimate import ClockEstimate
from .merge import MergedEvent, ProcessEvents, Timeline, merge
from .messages import Event, EventKind
from .recorder import Recorder

__all__ = [
    "ClockEstimate",
    "Event",
    "EventKind",
    "MergedEvent",
    "ProcessEvents",
    "Recorder",
    "Timeline",
    "merge",
]
