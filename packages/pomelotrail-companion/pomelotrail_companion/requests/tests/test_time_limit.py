"""Tests of the limit on running time."""

import asyncio
import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock, async_run_ready_tasks
from pomelotrail_companion.requests.time_limit import async_time_limit


class TimeLimitTest(unittest.IsolatedAsyncioTestCase):
    """A limit counts running time only."""

    async def asyncSetUp(self) -> None:
        """Start an operation that waits ten seconds for its answer."""
        self.clock = FakeClock()
        self.answer = asyncio.Event()
        self.task = asyncio.create_task(self._async_work())
        await async_run_ready_tasks()

    async def _async_work(self) -> None:
        """Wait for the answer."""
        async with async_time_limit(timedelta(seconds=10), self.clock):
            await self.answer.wait()

    async def test_the_limit_expires(self) -> None:
        """An operation over its limit raises ``TimeoutError``."""
        await self.clock.async_advance(timedelta(seconds=9))
        self.assertFalse(self.task.done())
        await self.clock.async_advance(timedelta(seconds=2))
        with self.assertRaises(TimeoutError):
            await self.task

    async def test_a_suspension_does_not_count(self) -> None:
        """An answer that arrived during a suspension is handled after it."""
        self.clock.jump(timedelta(minutes=5))
        await self.clock.async_advance(timedelta(seconds=1))
        self.answer.set()
        await self.task
