"""Holds the traffic of a process that was paused until it has caught up."""

from .configuration_check import ConfigurationCheck
from .wake_guard import WakeGuard

__all__ = ["ConfigurationCheck", "WakeGuard"]
