"""Where configuration comes from, as an interface."""

import abc

import attrs
from result import Result

from .errors import SourceError


@attrs.frozen
class Document:
    """A document as a source gave it, not yet checked."""

    version: int
    text: str


class ConfigurationSource(abc.ABC):
    """A source that is asked for a version newer than the one in force."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the name for log lines."""

    @abc.abstractmethod
    async def async_next(self, after: int) -> Result[Document | None, SourceError]:
        """Wait for a version above ``after``; None when the wait ended first."""
