"""Tests of real processes whose standard output can't be written to."""

import tempfile
import unittest
from pathlib import Path
from typing import Final

from stand_ins.platform_fleet import PlatformFleet, async_wait_until

_READER_GONE: Final = (
    "import os; r, w = os.pipe(); os.dup2(w, 1); os.close(w); os.close(r); "
)
_DEVICE_FULL: Final = "import os; os.dup2(os.open('/dev/full', os.O_WRONLY), 1); "
_CLOSED: Final = "import os, sys; sys.__stdout__ = None; os.close(1); "


class LogFailureTest(unittest.IsolatedAsyncioTestCase):
    """One balancer and one companion without a log."""

    async def async_check_fleet(self, prelude: str) -> None:
        """Start a fleet; it serves, says why, and goes on when the log has failed."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = PlatformFleet(Path(directory.name), 1, 1, prelude)
        self.addAsyncCleanup(fleet.async_stop)
        await fleet.async_start()
        processes = [*fleet.balancers, *fleet.companions]

        async def async_has_failed() -> bool:
            """Return whether each process reported that its log fails."""
            for process in processes:
                self.assertTrue(process.is_running, process.log.read_text())
            events = [{line["event"] for line in each.lines()} for each in processes]
            return all("log_failed" in each for each in events)

        await async_wait_until(async_has_failed)
        for number in range(3):
            answer = await fleet.caller().async_open_and_request(b"%d" % number)
            self.assertEqual(answer, b"answer to %d" % number)
        for process in processes:
            metrics = await fleet.async_metrics(process)
            self.assertIn("pomelotrail_log_failing 1", metrics)
            self.assertTrue(process.is_running)

    async def test_reader_gone(self) -> None:
        """Guards against a process that ends because nobody reads its log."""
        await self.async_check_fleet(_READER_GONE)

    async def test_device_full(self) -> None:
        """Guards against a process that ends because the log's device is full."""
        await self.async_check_fleet(_DEVICE_FULL)

    async def test_closed(self) -> None:
        """Guards against a process that ends without a standard output."""
        await self.async_check_fleet(_CLOSED)
