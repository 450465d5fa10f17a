"""Bounds the time of a piece of work, not counting pauses of the process.

After a pause both the answer and an ordinary timer are due, and the timer would
win: the request would end with an unknown outcome although its answer is there.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock

_SLICE: Final = timedelta(seconds=1)


class TimeLimit:
    """The limit of one piece of work, which can be lifted."""

    def __init__(self, timeout: asyncio.Timeout, clock: Clock) -> None:
        """Expire ``timeout``."""
        self._timeout = timeout
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    def start(self, limit: timedelta) -> None:
        """Expire after ``limit`` of running time."""
        self._task = asyncio.create_task(self._async_expire(limit))

    def lift(self) -> None:
        """Let the work take as long as it needs."""
        if self._task is not None:
            self._task.cancel()

    async def _async_expire(self, limit: timedelta) -> None:
        """Count in slices; a slice that a pause stretches counts once."""
        while limit > timedelta():
            await self._clock.async_sleep(min(limit, _SLICE))
            limit -= _SLICE
        # One more turn of the loop lets what has arrived be taken first.
        await asyncio.sleep(0)
        self._timeout.reschedule(asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def async_time_limit(
    limit: timedelta | None, clock: Clock
) -> AsyncIterator[TimeLimit]:
    """Raise ``TimeoutError`` inside the block after ``limit``; None is no limit."""
    async with asyncio.timeout(None) as timeout:
        time_limit = TimeLimit(timeout, clock)
        if limit is not None:
            time_limit.start(limit)
        try:
            yield time_limit
        finally:
            time_limit.lift()
