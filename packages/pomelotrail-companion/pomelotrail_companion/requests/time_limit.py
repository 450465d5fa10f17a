"""Time limit of an operation that excludes time in which the process is suspended.

After the process resumes, both the answer and an ordinary timer are due, and the
timer would run first: the request would end with an unknown outcome although its
answer has arrived.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock

_TIMER_STEP: Final = timedelta(seconds=1)


class TimeLimit:
    """Time limit of one operation, which can be cancelled."""

    def __init__(self, timeout: asyncio.Timeout, clock: Clock) -> None:
        """Initialize with the timeout that expires at the limit."""
        self._timeout = timeout
        self._clock = clock
        self._task: asyncio.Task[None] | None = None

    def start(self, limit: timedelta) -> None:
        """Start a timer that expires after ``limit`` of running time."""
        self._task = asyncio.create_task(self._async_expire(limit))

    def cancel(self) -> None:
        """Cancel the timer, so that the operation has no limit."""
        if self._task is not None:
            self._task.cancel()

    async def _async_expire(self, limit: timedelta) -> None:
        """Wait in steps; a step that a suspension lengthens counts once."""
        while limit > timedelta():
            await self._clock.async_sleep(min(limit, _TIMER_STEP))
            limit -= _TIMER_STEP
        # Another iteration of the event loop handles data that has arrived first.
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
            time_limit.cancel()
