"""Tests of tasks that are started again."""

import asyncio
import unittest

from harness.captured_logs import captured_logs
from harness.fake_clock import FakeClock
from pomelotrail_core.background import BackgroundTasks
from pomelotrail_core.background.const import RESTART_DELAY_MAX, RESTART_DELAY_MIN


class BackgroundTasksTest(unittest.IsolatedAsyncioTestCase):
    """Failed tasks are logged and start again."""

    async def asyncSetUp(self) -> None:
        """Count the starts of a task."""
        self.clock = FakeClock()
        self.tasks = BackgroundTasks(self.clock)
        self.addAsyncCleanup(self.tasks.async_stop)
        self.starts = 0

    async def async_fail(self) -> None:
        """Fail as a group of tasks does."""
        self.starts += 1
        async with asyncio.TaskGroup() as group:
            group.create_task(self.async_raise())

    async def async_raise(self) -> None:
        """Raise the error of a library."""
        raise ValueError("month must be in 1..12")

    async def async_await_cancelled(self) -> None:
        """Await a future that another task has cancelled."""
        self.starts += 1
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    async def test_failed_task_starts_again(self) -> None:
        """Guards against a process that lives on without a task that failed."""
        with captured_logs(self) as lines:
            self.tasks.start("spread", self.async_fail)
            await self.clock.async_advance(RESTART_DELAY_MIN)
        self.assertEqual(self.starts, 2)
        self.assertRegex(lines[0], "Task spread failed .*month must be in 1..12")

    async def test_failures_in_a_row_are_delayed(self) -> None:
        """A task that keeps failing starts once in the longest delay."""
        with captured_logs(self):
            self.tasks.start("spread", self.async_fail)
            await self.clock.async_advance(4 * RESTART_DELAY_MAX)
            before = self.starts
            await self.clock.async_advance(4 * RESTART_DELAY_MAX)
        self.assertEqual(self.starts - before, 4)

    async def test_cancelled_future_is_a_failure(self) -> None:
        """Guards against a task that ends silently with what it awaited."""
        with captured_logs(self):
            self.tasks.start("waking", self.async_await_cancelled)
            await self.clock.async_advance(RESTART_DELAY_MIN)
        self.assertEqual(self.starts, 2)

    async def test_stopped_tasks_stay_ended(self) -> None:
        """A stop ends running and waiting tasks."""
        with captured_logs(self):
            self.tasks.start("spread", self.async_fail)
            self.tasks.start("waking", asyncio.Event().wait)  # type: ignore[arg-type]
            await self.clock.async_advance(RESTART_DELAY_MIN / 2)
        await self.tasks.async_stop()
        await self.clock.async_advance(RESTART_DELAY_MAX)
        self.assertEqual(self.starts, 1)
