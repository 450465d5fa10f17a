"""Whether a directory lacks nothing that the source has."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from pomelotrail_core.clock import Clock

from .const import CHECK_INTERVAL, CHECK_PAUSE, CHECK_TIMEOUT
from .directory import Directory
from .source import DirectorySource


class CompletenessCheck:
    """Compares the directory's revision with the source's.

    Evidence that nobody holds a flow is complete only if everybody was asked.
    Checks that are asked for together share a call::

        if await check.async_is_complete(since=clock.monotonic()):
            ...
    """

    def __init__(
        self,
        source: DirectorySource,
        directory: Directory,
        clock: Clock,
        hasten: Callable[[], None],
    ) -> None:
        """Compare with a source that no watch waits on.

        ``hasten`` makes the follower of the directory read changes at once.
        """
        self._hasten = hasten
        self._source = source
        self._directory = directory
        self._clock = clock
        self._running: asyncio.Task[bool] | None = None
        self._next = clock.monotonic()
        self._asked: timedelta | None = None
        self._covered: timedelta | None = None
        self._revision = 0

    async def async_is_complete(self, since: timedelta) -> bool:
        """Tell whether the directory has all changes until a time; False if unknown.

        An answer of the source counts for all times before it was asked.
        """
        if self._directory.may_lack_entries:
            return False
        while not self._is_known(since):
            running = self._running
            if running is None or running.done():
                running = self._running = asyncio.create_task(self._async_check())
            is_in_time = self._asked is None or self._asked >= since
            is_complete = await asyncio.shield(running)
            if is_in_time and not is_complete:
                return False
        return not self._directory.may_lack_entries

    def _is_known(self, since: timedelta) -> bool:
        """Tell whether an earlier answer covers a time."""
        is_covered = self._covered is not None and self._covered >= since
        return is_covered and self._directory.revision >= self._revision

    async def _async_check(self) -> bool:
        """Make one call, and no other one soon after."""
        self._asked = None
        pause = self._next - self._clock.monotonic()
        await self._clock.async_sleep(max(pause, CHECK_INTERVAL))
        self._asked = asked = self._clock.monotonic()
        self._next = asked + CHECK_PAUSE
        match await self._source.async_revision(CHECK_TIMEOUT):
            case Ok(revision):
                self._covered, self._revision = asked, revision
                return await self._async_reaches(revision)
            case Err(error):
                self._directory.note_unchecked(str(error))
        return False

    async def _async_reaches(self, revision: int) -> bool:
        """Wait a moment for changes that are on their way."""
        waited = timedelta()
        if self._directory.revision < revision:
            self._hasten()
        while self._directory.revision < revision and waited < CHECK_TIMEOUT:
            await self._clock.async_sleep(CHECK_INTERVAL)
            waited += CHECK_INTERVAL
        return self._directory.revision >= revision
