"""A clock that moves only when a test says so."""

import asyncio
import heapq
from datetime import UTC, datetime, timedelta

from pomelotrail_core.clock import Clock


class FakeClock(Clock):
    """Stands still until ``async_advance``; sleepers wake in order of time."""

    def __init__(self) -> None:
        """Start at a fixed moment."""
        self._start = datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta()
        self._sleepers: list[tuple[timedelta, int, asyncio.Future[None]]] = []
        self._count = 0

    def now(self) -> datetime:
        """Return the moment that the test has reached."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the time that the test has let pass."""
        return self._elapsed

    async def async_sleep(self, delay: timedelta) -> None:
        """Wait until the test has let the delay pass."""
        if delay <= timedelta():
            await asyncio.sleep(0)
            return
        self._count += 1
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self._elapsed + delay, self._count, future))
        await future

    def jump(self, by: timedelta) -> None:
        """Move on at once without waking anybody, as a paused process would."""
        self._elapsed += by

    async def async_advance(self, by: timedelta) -> None:
        """Let time pass, waking each sleeper at its moment."""
        end = self._elapsed + by
        await async_settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            at, _, future = heapq.heappop(self._sleepers)
            self._elapsed = max(self._elapsed, at)
            if not future.done():
                future.set_result(None)
            await async_settle()
        self._elapsed = end


async def async_settle(rounds: int = 20) -> None:
    """Let every task run until it waits for something."""
    for _ in range(rounds):
        await asyncio.sleep(0)
