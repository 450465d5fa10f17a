"""The interface of the store that the directory is read from."""

import abc
from datetime import timedelta

from result import Result

from .errors import SourceError
from .messages import Listing
from .revision import Revision


class DirectorySource(abc.ABC):
    """A store that lists its entries and reports changes to them."""

    @property
    def is_receiving(self) -> bool:
        """Return whether the answer to the present call has begun to arrive."""
        return False

    @abc.abstractmethod
    async def async_list(self, timeout: timedelta) -> Result[Listing, SourceError]:
        """Return all entries of the store."""

    @abc.abstractmethod
    async def async_revision(self, timeout: timedelta) -> Result[Revision, SourceError]:
        """Return the revision of the last change."""

    @abc.abstractmethod
    async def async_changes(
        self, after: Revision, wait: timedelta, timeout: timedelta
    ) -> Result[Listing, SourceError]:
        """Return the changes after a revision; wait for the first one."""
