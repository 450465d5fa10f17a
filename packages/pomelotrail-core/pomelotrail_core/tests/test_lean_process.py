"""Tests of the tasks and signals of a role."""

import asyncio
import json
import os
import signal
import unittest

from harness.fake_clock import FakeClock
from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.lean_process import Role


class RoleTest(unittest.IsolatedAsyncioTestCase):
    """Why a process stops."""

    def setUp(self) -> None:
        """Create a role that logs to memory."""
        self.lines = MemoryLogWriter()
        self.log = EventLog("edge-1", FakeClock(), self.lines)
        self.role = Role(self.log)

    async def test_signal_is_the_reason(self) -> None:
        """The signal that stops a process is named."""
        self.role.handle_signals()
        loop = asyncio.get_running_loop()
        self.addCleanup(loop.remove_signal_handler, signal.SIGTERM)
        os.kill(os.getpid(), signal.SIGTERM)
        await self.role.stop.wait()
        self.assertEqual(self.role.stop_reason, "SIGTERM")

    async def test_failed_task_is_the_reason(self) -> None:
        """The first task that fails is named, and the problem is logged."""

        async def async_fail(error: Exception) -> None:
            """Fail at once."""
            raise error

        self.role.run("directory", async_fail(ValueError("first")))
        self.role.run("sweep", async_fail(ValueError("second")))
        await self.role.stop.wait()
        self.assertEqual(self.role.stop_reason, "task directory failed")
        self.log.flush()
        lines = [json.loads(line) for line in self.lines.content.splitlines()]
        self.assertEqual(lines[0]["event"], "task_failed")
        self.assertIn("first", lines[0]["problem"])
