"""Typed events of each process, kept in bounded rings and read by other processes."""

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
