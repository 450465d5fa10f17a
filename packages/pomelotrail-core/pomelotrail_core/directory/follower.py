"""Keeps a directory current by listing once and then watching."""

import asyncio
import random
from datetime import timedelta

from result import Err, Ok

from pomelotrail_core.clock import Clock

from .const import (
    ANSWER_MARGIN,
    FIRST_RETRY,
    LAST_RETRY,
    LAST_RETRY_UNUSABLE,
    LIST_TIMEOUT,
    RETRY_JITTER,
    SETTLE,
    WATCH_WAIT,
)
from .directory import Directory
from .errors import SourceError, SourceProblem
from .source import DirectorySource


class DirectoryFollower:
    """The only reader of the source in a process."""

    def __init__(
        self,
        source: DirectorySource,
        directory: Directory,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        """Keep ``directory`` as current as ``source`` allows."""
        self._source = source
        self._directory = directory
        self._clock = clock
        self._random = random_source
        self._failures = 0
        self._is_urgent = asyncio.Event()

    def hasten(self) -> None:
        """Read changes now, without waiting for more of them."""
        self._is_urgent.set()

    async def async_follow(self) -> None:
        """List and watch until cancelled."""
        while True:
            await self._async_list()
            await self._async_watch()

    async def _async_list(self) -> None:
        """Take everything, however many calls that needs."""
        while True:
            match await self._source.async_list(LIST_TIMEOUT):
                case Ok(listing):
                    self._note_success()
                    self._directory.replace(listing)
                    return
                case Err(error):
                    await self._async_back_off(error)

    async def _async_watch(self) -> None:
        """Take changes until the source no longer has those that are missing."""
        while True:
            changes = await self._source.async_changes(
                self._directory.revision, WATCH_WAIT, WATCH_WAIT + ANSWER_MARGIN
            )
            match changes:
                case Ok(listing):
                    self._note_success()
                    self._directory.apply(listing)
                    if listing.items:
                        await self._async_settle()
                case Err(SourceError(problem=SourceProblem.HISTORY_LOST)):
                    return
                case Err(error):
                    await self._async_back_off(error)

    async def _async_settle(self) -> None:
        """Let changes gather that follow closely, unless somebody needs them."""
        self._is_urgent.clear()
        try:
            async with asyncio.timeout(SETTLE.total_seconds()):
                await self._is_urgent.wait()
        except TimeoutError:
            # Nobody was in a hurry.
            return

    def _note_success(self) -> None:
        """Record that the source answers."""
        self._failures = 0
        self._directory.note_reached()

    async def _async_back_off(self, error: SourceError) -> None:
        """Wait before the next call, longer after each failure."""
        self._directory.note_lost(str(error))
        await self._clock.async_sleep(self._delay())
        self._failures += 1

    def _delay(self) -> timedelta:
        """Return the wait, spread so that processes don't call together."""
        last = LAST_RETRY if self._directory.is_usable else LAST_RETRY_UNUSABLE
        delay = min(FIRST_RETRY * 2 ** min(self._failures, 10), last)
        return delay * (1 + RETRY_JITTER * (self._random.random() - 0.5))
