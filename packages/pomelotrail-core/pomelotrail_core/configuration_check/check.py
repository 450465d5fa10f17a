"""Base class of the checks."""

import abc
from collections.abc import Iterator
from typing import Generic, TypeVar

from .messages import Finding, Level, Versioned

ContentT = TypeVar("ContentT", bound=Versioned, contravariant=True)


class ConfigurationCheck(abc.ABC, Generic[ContentT]):
    """Looks for one kind of problem in the content of a valid document."""

    @abc.abstractmethod
    def find(self, content: ContentT) -> Iterator[Finding]:
        """Yield the problems."""


def warn(field: str, problem: str, remedy: str) -> Finding:
    """Return a warning."""
    return Finding(Level.WARNING, field, problem, remedy)
