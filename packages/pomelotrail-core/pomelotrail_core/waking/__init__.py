"""Pauses traffic after a process was suspended until its state is current."""

from .configuration_check import ConfigurationCheck
from .suspend_detector import WakeGuard

__all__ = ["ConfigurationCheck", "WakeGuard"]
