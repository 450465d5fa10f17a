"""Check of a configuration before it is published, without input and output."""

from .check import ConfigurationCheck
from .checker import ConfigurationChecker
from .differences import find_differences
from .messages import Change, Difference, Finding, Level, Verdict

__all__ = [
    "Change",
    "ConfigurationCheck",
    "ConfigurationChecker",
    "Difference",
    "Finding",
    "Level",
    "Verdict",
    "find_differences",
]
