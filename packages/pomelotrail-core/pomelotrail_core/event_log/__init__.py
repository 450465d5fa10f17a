"""Structured, rate-limited, non-blocking log of decisions and state changes."""

from .event_log import EventLog
from .writers import (
    LogWriter,
    PolledWriter,
    open_standard_error,
    open_standard_output,
)

__all__ = [
    "EventLog",
    "LogWriter",
    "PolledWriter",
    "open_standard_error",
    "open_standard_output",
]
