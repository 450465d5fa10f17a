"""A clock that a test advances explicitly."""

import asyncio
import heapq
from datetime import UTC, datetime, timedelta

from pomelotrail_core.clock import Clock


class FakeClock(Clock):
    """Clock that advances only on demand; sleeping tasks resume in order of time."""

    def __init__(self) -> None:
        """Start at a fixed moment."""
        self._start = datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = timedelta()
        self._pending_sleeps: list[tuple[timedelta, int, asyncio.Future[None]]] = []
        self._count = 0

    def now(self) -> datetime:
        """Return the current fake time."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the fake time since the start."""
        return self._elapsed

    async def async_sleep(self, delay: timedelta) -> None:
        """Wait until the test has advanced the clock by the delay."""
        if delay <= timedelta():
            await asyncio.sleep(0)
            return
        self._count += 1
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(
            self._pending_sleeps, (self._elapsed + delay, self._count, future)
        )
        await future

    def jump(self, by: timedelta) -> None:
        """Advance without resuming any task, as if the process had been suspended."""
        self._elapsed += by

    async def async_advance(self, by: timedelta) -> None:
        """Advance the time and resume each sleeping task when its delay has passed."""
        end = self._elapsed + by
        await async_run_ready_tasks()
        while self._pending_sleeps and self._pending_sleeps[0][0] <= end:
            at, _, future = heapq.heappop(self._pending_sleeps)
            self._elapsed = max(self._elapsed, at)
            if not future.done():
                future.set_result(None)
            await async_run_ready_tasks()
        self._elapsed = end


async def async_run_ready_tasks(rounds: int = 20) -> None:
    """Let every task run until it waits."""
    for _ in range(rounds):
        await asyncio.sleep(0)
