"""Base class of the checks."""

import abc
from collections.abc import Iterator

from pomelotrail_core.configuration import Configuration

from .messages import Finding, Level


class ConfigurationCheck(abc.ABC):
    """Looks for one kind of problem in a valid configuration."""

    @abc.abstractmethod
    def find(self, configuration: Configuration) -> Iterator[Finding]:
        """Yield the problems of a configuration."""


def warn(field: str, problem: str, remedy: str) -> Finding:
    """Return a warning."""
    return Finding(Level.WARNING, field, problem, remedy)
