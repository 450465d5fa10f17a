"""Checks whether a directory has all entries of its source."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from pomelotrail_core.clock import Clock

from .const import CHECK_COOLDOWN, CHECK_INTERVAL, CHECK_TIMEOUT
from .directory import Directory
from .revision import Revision
from .source import DirectorySource


class CompletenessCheck:
    """Compares the revision of the directory with that of its source.

    A lookup proves that a flow has no owner only if it queried all possible owners,
    so the directory must not lack any entry. Concurrent checks share a call::

        if await check.async_is_complete(since=clock.monotonic()):
            ...
    """

    def __init__(
        self,
        source: DirectorySource,
        directory: Directory,
        clock: Clock,
        request_refresh: Callable[[], None],
    ) -> None:
        """Initialize with a source that is not used by a watch.

        ``request_refresh`` makes the follower of the directory read changes at once.
        """
        self._request_refresh = request_refresh
        self._source = source
        self._directory = directory
        self._clock = clock
        self._running: asyncio.Task[bool] | None = None
        self._next_call = clock.monotonic()
        self._call_started: timedelta | None = None
        self._covered_until: timedelta | None = None
        self._revision = Revision()

    async def async_is_complete(self, since: timedelta) -> bool:
        """Return whether the directory has all changes up to ``since``.

        Returns False if that can't be determined. A response of the source covers all
        times before its call started.
        """
        if self._directory.may_lack_entries:
            return False
        # Entries are written again until the end of that time, and read later.
        since = max(since, self._directory.incomplete_until)
        while not self._is_known(since):
            running = self._running
            if running is None or running.done():
                running = self._running = asyncio.create_task(self._async_check())
            is_in_time = self._call_started is None or self._call_started >= since
            is_complete = await asyncio.shield(running)
            if is_in_time and not is_complete:
                return False
        return not self._directory.may_lack_entries

    def _is_known(self, since: timedelta) -> bool:
        """Return whether an earlier response covers a time."""
        is_covered = self._covered_until is not None and self._covered_until >= since
        return is_covered and self._has_read(self._revision)

    def _has_read(self, revision: Revision) -> bool:
        """Return whether the directory has the changes up to a revision.

        After a restore, a directory of one era says nothing about another era.
        """
        known = self._directory.revision
        return known.era == revision.era and known >= revision

    async def _async_check(self) -> bool:
        """Query the revision of the source, at most once per cooldown."""
        self._call_started = None
        delay = self._next_call - self._clock.monotonic()
        await self._clock.async_sleep(max(delay, CHECK_INTERVAL))
        self._call_started = started = self._clock.monotonic()
        self._next_call = started + CHECK_COOLDOWN
        match await self._source.async_revision(CHECK_TIMEOUT):
            case Ok(revision):
                self._covered_until, self._revision = started, revision
                return await self._async_wait_for_revision(revision)
            case Err(error):
                self._directory.record_check_failure(str(error))
        return False

    async def _async_wait_for_revision(self, revision: Revision) -> bool:
        """Wait until changes in flight have been applied, up to the timeout."""
        waited = timedelta()
        if not self._has_read(revision):
            self._request_refresh()
        while not self._has_read(revision) and waited < CHECK_TIMEOUT:
            await self._clock.async_sleep(CHECK_INTERVAL)
            waited += CHECK_INTERVAL
        return self._has_read(revision)
