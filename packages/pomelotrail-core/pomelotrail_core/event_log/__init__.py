"""Structured, rate-limited, non-blocking log of decisions and state changes."""

from .event_log import EventLog, LogWriter, StandardOutput

__all__ = ["EventLog", "LogWriter", "StandardOutput"]
