"""Pauses traffic after a process was suspended until its state is current."""

from .configuration_check import ConfigurationCheck
from .suspend_detector import SuspendDetector

__all__ = ["ConfigurationCheck", "SuspendDetector"]
