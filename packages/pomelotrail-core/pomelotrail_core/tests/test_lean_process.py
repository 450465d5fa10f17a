"""Tests of the tasks and signals of a role."""

import asyncio
import contextlib
import gc
import io
import json
import os
import signal
import sys
import unittest
from datetime import timedelta
from unittest import mock

from harness.fake_clock import FakeClock
from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.lean_process import (
    MAX_RESTART_DELAY,
    RECOVERED_AFTER,
    Role,
    run_role,
)


class RoleTest(unittest.IsolatedAsyncioTestCase):
    """Why a process stops, and what doesn't stop it."""

    def setUp(self) -> None:
        """Create a role that logs to memory."""
        self.lines = MemoryLogWriter()
        self.clock = FakeClock()
        self.log = EventLog("edge-1", self.clock, self.lines)
        self.counters = Counters()
        self.role = Role(self.log, self.clock, self.counters)

    def read_lines(self) -> list[dict]:
        """Flush and return all lines so far."""
        self.log.flush()
        return [json.loads(line) for line in self.lines.content.splitlines()]

    async def test_signal_is_the_reason(self) -> None:
        """The signal that stops a process is named."""
        self.role.handle_signals()
        loop = asyncio.get_running_loop()
        self.addCleanup(loop.remove_signal_handler, signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGTERM)
        await self.role.stop.wait()
        self.assertEqual(self.role.stop_reason, "SIGTERM")

    async def test_failed_task_runs_again(self) -> None:
        """Guards against a process that ends because one of its tasks failed."""
        runs: list[str] = []

        async def async_fail_twice() -> None:
            """Fail, then run for long."""
            runs.append("run")
            if len(runs) < 3:
                raise ValueError(f"failure {len(runs)}")
            await self.clock.async_sleep(timedelta(days=1))

        self.role.run("directory", async_fail_twice)
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertEqual(len(runs), 3)
        self.assertFalse(self.role.stop.is_set())
        first, second = self.read_lines()
        self.assertEqual((first["event"], first["task"]), ("task_failed", "directory"))
        self.assertIn("failure 1", first["problem"])
        self.assertTrue(first["place"].startswith("test_lean_process.py:"))
        self.assertEqual((first["attempt"], second["attempt"]), (1, 2))
        self.assertEqual(second["retry_ms"], 2 * first["retry_ms"])
        self.assertEqual(self.counters.value("tasks_failed"), 2)
        await self.clock.async_advance(RECOVERED_AFTER)
        (recovered,) = self.read_lines()[2:]
        self.assertEqual(recovered["event"], "task_recovered")
        self.assertEqual(recovered["failures"], 2)

    async def test_task_that_keeps_failing(self) -> None:
        """It is tried less and less often, and never ends the process."""

        async def async_fail() -> None:
            """Fail at once."""
            raise MemoryError

        self.role.run("pings", async_fail)
        await self.clock.async_advance(timedelta(seconds=60))
        self.assertFalse(self.role.stop.is_set())
        delays = [line["retry_ms"] for line in self.read_lines()]
        self.assertEqual(delays, sorted(delays))
        self.assertEqual(delays[-1], MAX_RESTART_DELAY // timedelta(milliseconds=1))

    async def test_later_failure_is_a_first_one(self) -> None:
        """A task that failed long after its start is restarted without backoff."""

        async def async_fail_late() -> None:
            """Fail after a while."""
            await self.clock.async_sleep(2 * RECOVERED_AFTER)
            raise ValueError

        self.role.run("sweep", async_fail_late)
        await self.clock.async_advance(7 * RECOVERED_AFTER)
        lines = [line for line in self.read_lines() if line["event"] == "task_failed"]
        self.assertEqual([line["attempt"] for line in lines], [1, 1, 1])

    async def test_cancelled_part_of_a_task(self) -> None:
        """Guards against a task that ends silently with something it awaited."""
        runs: list[str] = []

        async def async_wait_for_cancelled() -> None:
            """Await something that is cancelled."""
            runs.append("run")
            future = asyncio.get_running_loop().create_future()
            future.cancel()
            await future

        self.role.run("directory", async_wait_for_cancelled)
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertGreater(len(runs), 1)

    async def test_cancelled_task_whose_cleanup_fails(self) -> None:
        """Guards against a stop that waits for a task which starts again."""

        async def async_fail_when_cancelled() -> None:
            """Fail in the cleanup."""
            try:
                await self.clock.async_sleep(timedelta(days=1))
            finally:
                raise ValueError

        self.role.run("sweep", async_fail_when_cancelled)
        await self.clock.async_advance(timedelta(seconds=1))
        (task,) = self.role._tasks
        task.cancel()
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertTrue(task.done())
        self.assertIsInstance(task.exception(), ValueError)

    async def test_failure_that_cannot_be_logged(self) -> None:
        """Guards against a task that ends for good without memory for its line."""
        runs: list[str] = []

        async def async_fail() -> None:
            """Fail at once."""
            runs.append("run")
            raise ValueError

        with mock.patch.object(self.log, "write", side_effect=MemoryError):
            self.role.run("directory", async_fail)
            await self.clock.async_advance(2 * MAX_RESTART_DELAY)
        self.assertGreater(len(runs), 1)

    async def test_task_that_is_done(self) -> None:
        """It isn't started again."""
        runs: list[str] = []

        async def async_return() -> None:
            """Return at once."""
            runs.append("run")

        self.role.run("early packets", async_return)
        await self.clock.async_advance(timedelta(seconds=60))
        self.assertEqual(runs, ["run"])
        self.assertEqual(self.read_lines(), [])

    async def test_errors_of_callbacks(self) -> None:
        """All are counted, and one line tells; none goes to standard error."""
        self.addCleanup(setattr, sys, "unraisablehook", sys.unraisablehook)
        self.role.log_callback_errors()
        loop = asyncio.get_running_loop()

        def fail() -> None:
            """Fail."""
            raise MemoryError

        for _ in range(5):
            loop.call_soon(fail)
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertEqual(self.counters.value("callbacks_failed"), 5)
        (line,) = self.read_lines()
        self.assertEqual(line["event"], "callback_failed")
        self.assertIn("MemoryError", line["problem"])
        self.assertTrue(line["place"].startswith("test_lean_process.py:"))

    async def test_failing_finalizer_is_logged(self) -> None:
        """Guards against a full standard error that holds up the end of a process."""
        self.addCleanup(setattr, sys, "unraisablehook", sys.unraisablehook)
        self.role.log_callback_errors()

        class Failing:
            """Fails when it is collected."""

            def __del__(self) -> None:
                """Fail like the writer of a stream whose loop is closed."""
                raise RuntimeError("Event loop is closed")

        standard_error = io.StringIO()
        with contextlib.redirect_stderr(standard_error):
            Failing()
        self.assertEqual(standard_error.getvalue(), "")
        self.assertEqual(self.counters.value("callbacks_failed"), 1)
        (line,) = self.read_lines()
        self.assertEqual(line["event"], "callback_failed")
        self.assertIn("Event loop is closed", line["problem"])


class RunRoleTest(unittest.TestCase):
    """An event loop without memory."""

    def test_event_loop_without_memory(self) -> None:
        """Guards against a process that ends when the loop can't list its events."""
        errors: list[str] = []
        done: list[str] = []

        async def async_main() -> None:
            """Let the loop fail once, and go on."""
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, each: errors.append(each["message"]))
            selector = loop._selector
            select, calls = selector.select, []

            def select_without_memory(timeout: float | None) -> list:
                """Fail at the first call."""
                calls.append(timeout)
                if len(calls) == 1:
                    raise MemoryError
                return select(timeout)

            selector.select = select_without_memory
            await asyncio.sleep(0.01)
            done.append("done")

        # A role may change the signal mask of its process, which tests inherit.
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        self.addCleanup(gc.unfreeze)
        run_role(async_main)
        self.assertEqual((done, errors), (["done"], ["event loop"]))
