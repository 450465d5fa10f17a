"""Where configuration comes from, as an interface."""

import abc
from datetime import timedelta
from functools import cached_property

import attrs
from result import Result

from .const import LONG_POLL
from .errors import SourceError
from .stream import text_digest


@attrs.frozen(slots=False)
class Document:
    """A document as a source gave it, not yet checked.

    ``text`` is the whole stream: the root document and its parts.
    """

    version: int
    text: str

    @cached_property
    def digest(self) -> bytes:
        """Return the digest by which two copies are compared."""
        return text_digest(self.text)


class ConfigurationSource(abc.ABC):
    """A source that is asked for a version newer than the one in force."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the name for log lines."""

    @abc.abstractmethod
    async def async_next(
        self, after: int, wait: timedelta = LONG_POLL
    ) -> Result[Document | None, SourceError]:
        """Wait for a version above ``after``; None when the wait ended first."""
