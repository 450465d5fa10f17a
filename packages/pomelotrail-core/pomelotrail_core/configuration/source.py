"""The interface for sources of configuration."""

import abc
from datetime import timedelta
from functools import cached_property

import attrs
from result import Result

from .const import LONG_POLL_TIMEOUT
from .errors import SourceError
from .stream import text_digest


@attrs.frozen(slots=False)
class Document:
    """A document as returned by a source, not yet validated.

    ``text`` is the whole stream: the root document and its parts.
    """

    version: int
    text: str

    @cached_property
    def digest(self) -> bytes:
        """Return the digest used to compare copies."""
        return text_digest(self.text)


class ConfigurationSource(abc.ABC):
    """A source that is queried for a version newer than the one in force."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the name used in log messages."""

    @abc.abstractmethod
    async def async_fetch_newer(
        self, after: int, wait: timedelta = LONG_POLL_TIMEOUT
    ) -> Result[Document | None, SourceError]:
        """Return a version above ``after``, or None if the wait times out."""
