"""Keeps a directory up to date by listing the source once and then watching it."""

import asyncio
import random
from datetime import timedelta

from result import Err, Ok, Result

from pomelotrail_core.clock import Clock

from .const import (
    ANSWER_GRACE,
    CHANGE_BATCH_WINDOW,
    CHECK_RETRY_INTERVAL,
    CHECK_TIMEOUT,
    INITIAL_RETRY_DELAY,
    LIST_TIMEOUT,
    MAX_RETRY_DELAY,
    MAX_RETRY_DELAY_UNCONFIGURED,
    RETRY_JITTER,
    WATCH_CHECK_AFTER,
    WATCH_TIMEOUT_MARGIN,
    WATCH_WAIT,
    WATCH_WAIT_AFTER_PAUSE,
)
from .directory import Directory
from .errors import SourceError, SourceProblem
from .messages import Listing
from .revision import Revision
from .source import DirectorySource


class DirectoryFollower:
    """Reads the source; a process has one follower.

    An answer to a watch may be lost on a connection that lives on. A watch that is
    silent for long is therefore compared with the revision of the source.
    """

    def __init__(
        self,
        source: DirectorySource,
        check_source: DirectorySource,
        directory: Directory,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        """Initialize the follower that writes to ``directory``.

        ``check_source`` reads the same source over a connection of its own.
        """
        self._source = source
        self._check_source = check_source
        self._directory = directory
        self._clock = clock
        self._random = random_source
        self._failures = 0
        self._refresh_requested = asyncio.Event()

    def request_refresh(self) -> None:
        """Read changes at once, without waiting for more to batch."""
        self._refresh_requested.set()

    async def async_follow(self) -> None:
        """List and watch until cancelled."""
        while True:
            await self._async_list()
            await self._async_watch()

    async def _async_list(self) -> None:
        """List all entries, and retry until a call succeeds."""
        while True:
            match await self._source.async_list(LIST_TIMEOUT):
                case Ok(listing):
                    self._record_success(listing.revision)
                    self._directory.replace(listing)
                    return
                case Err(error):
                    await self._async_back_off(error)

    async def _async_watch(self) -> None:
        """Apply changes until the source lacks the history that is needed.

        Changes that are too large for one answer are read with the next listing.

        Revisions of different eras are positions in different histories, so the changes
        between them are unknown.
        """
        wait = WATCH_WAIT
        while True:
            match await self._async_changes(wait):
                case Ok(listing) if self._is_restored(listing):
                    self._record_success(listing.revision)
                    return
                case Ok(listing):
                    self._record_success(listing.revision)
                    self._directory.apply(listing)
                    wait = WATCH_WAIT
                    if listing.items:
                        await self._async_wait_for_batch()
                        wait = WATCH_WAIT_AFTER_PAUSE
                case Err(SourceError(problem=SourceProblem.HISTORY_LOST)):
                    return
                case Err(SourceError(problem=SourceProblem.TOO_LARGE) as error):
                    self._directory.record_large_changes(str(error))
                    await self._async_wait_for_batch()
                    return
                case Err(error):
                    await self._async_back_off(error)
                    wait = timedelta()

    async def _async_changes(self, wait: timedelta) -> Result[Listing, SourceError]:
        """Return the next changes, or an error if the source has not reported some."""
        revision, timeout = self._directory.revision, wait + WATCH_TIMEOUT_MARGIN
        watch = asyncio.create_task(self._source.async_changes(revision, wait, timeout))
        try:
            await asyncio.wait({watch}, timeout=WATCH_CHECK_AFTER.total_seconds())
            if await self._async_has_changed(revision, watch):
                await asyncio.wait({watch}, timeout=ANSWER_GRACE.total_seconds())
                if not watch.done() and not self._source.is_receiving:
                    detail = f"no answer to the watch after revision {revision.number}"
                    return Err(SourceError(SourceProblem.UNREACHABLE, detail))
            return await watch
        finally:
            watch.cancel()

    async def _async_has_changed(
        self, revision: Revision, watch: asyncio.Task[Result[Listing, SourceError]]
    ) -> bool:
        """Return whether the source is known to be at another revision.

        A check that fails is repeated while the watch is silent: the source may lose
        both answers.
        """
        while not watch.done():
            match await self._check_source.async_revision(CHECK_TIMEOUT):
                case Ok(current):
                    return current != revision
                case Err(error):
                    self._directory.record_check_failure(str(error))
            await asyncio.wait({watch}, timeout=CHECK_RETRY_INTERVAL.total_seconds())
        return False

    def _is_restored(self, listing: Listing) -> bool:
        """Return whether the source began a new era since it was last read."""
        return listing.revision.era != self._directory.revision.era

    async def _async_wait_for_batch(self) -> None:
        """Wait for further changes to batch, unless a refresh is requested."""
        self._refresh_requested.clear()
        try:
            async with asyncio.timeout(CHANGE_BATCH_WINDOW.total_seconds()):
                await self._refresh_requested.wait()
        except TimeoutError:
            # No refresh was requested within the window.
            return

    def _record_success(self, revision: Revision) -> None:
        """Reset the backoff and record that the source answered."""
        self._failures = 0
        self._directory.record_source_reached(revision)

    async def _async_back_off(self, error: SourceError) -> None:
        """Wait before the next call, with exponential backoff."""
        self._directory.record_source_failure(str(error))
        await self._clock.async_sleep(self._delay())
        self._failures += 1

    def _delay(self) -> timedelta:
        """Return the retry delay with jitter, so that processes don't call together."""
        max_delay = (
            MAX_RETRY_DELAY
            if self._directory.is_usable
            else MAX_RETRY_DELAY_UNCONFIGURED
        )
        delay = min(INITIAL_RETRY_DELAY * 2 ** min(self._failures, 10), max_delay)
        return delay * (1 + RETRY_JITTER * (self._random.random() - 0.5))
