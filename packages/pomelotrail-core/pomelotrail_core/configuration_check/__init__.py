"""Check of a configuration before it is published, without input and output."""

from .check import ConfigurationCheck
from .checker import DocumentChecker
from .configuration_checker import ConfigurationChecker
from .differences import find_differences
from .messages import Change, Difference, Finding, Level, Verdict

__all__ = [
    "Change",
    "ConfigurationCheck",
    "ConfigurationChecker",
    "Difference",
    "DocumentChecker",
    "Finding",
    "Level",
    "Verdict",
    "find_differences",
]
