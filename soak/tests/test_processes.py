"""Tests of the ends of processes that the soak notices, and of their log pipes."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from soak.endpoints import accepts_reset
from soak.fleet import SoakFleet
from soak.log_pipe import LogPipe
from soak.processes import ProcessEnd, SoakProcess
from stand_ins.platform_fleet import async_wait_until

_PROCESSES = 6
_SEED = 1


class ProcessEndTest(unittest.TestCase):
    """Which ends are wrong."""

    def test_end_that_was_told(self) -> None:
        """A clean exit, and a kill, are as told."""
        for code, told in ((0, signal.SIGTERM), (0, signal.SIGINT), (-9, 9)):
            end = ProcessEnd(code, signal.Signals(told), True, "stopped")
            self.assertEqual(end.problem, "")

    def test_end_that_nobody_told(self) -> None:
        """An end without a signal is wrong whatever its code."""
        for code in (0, 1, -9):
            end = ProcessEnd(code, None, True, "why")
            self.assertEqual(end.problem, f"ended by itself with code {code}: why")

    def test_failed_stop(self) -> None:
        """A process that was told to stop and fails, or must be killed, is wrong."""
        for code, told in ((1, signal.SIGTERM), (-9, signal.SIGTERM), (3, 9)):
            end = ProcessEnd(code, signal.Signals(told), True, "why")
            self.assertIn(f"ended with code {code}: why", end.problem)

    def test_signal_before_the_program_runs(self) -> None:
        """The interpreter can't handle a signal before it runs any code."""
        self.assertEqual(ProcessEnd(-15, signal.SIGTERM, False, "").problem, "")
        self.assertNotEqual(ProcessEnd(-15, signal.SIGTERM, True, "").problem, "")


class ResetTest(unittest.TestCase):
    """Which resets end an open flow at its caller."""

    def test_distance_of_the_sequence_number(self) -> None:
        """Guards against a refused copy of an opening that counts as a reset."""
        self.assertTrue(accepts_reset(500_001, 500_001))
        self.assertTrue(accepts_reset(2**32 - 76_799, 1))
        self.assertFalse(accepts_reset(1, 500_001))
        self.assertFalse(accepts_reset(576_802, 500_001))


class SignalTest(unittest.TestCase):
    """Signals to processes."""

    def test_exit_code_is_left_to_the_watcher(self) -> None:
        """A stop signal that comes again after the end doesn't take the exit code."""
        child = subprocess.Popen([sys.executable, "-S", "-c", ""])
        os.waitid(os.P_PID, child.pid, os.WEXITED | os.WNOWAIT)
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(SoakProcess, "is_running", True),
        ):
            process = SoakProcess(
                "companion", "side-0", "", Path(folder), "", Path(), lambda *_: None
            )
            self.addCleanup(process.pipe.close)
            with mock.patch.object(process, "_process", child):
                process.send_to_running(signal.SIGTERM)
        self.assertEqual(os.waitpid(child.pid, 0), (child.pid, 0))
        child.returncode = 0


class UnaskedEndTest(unittest.IsolatedAsyncioTestCase):
    """A process that ends although nobody told it to."""

    async def test_process_that_ends_by_itself_is_noticed_and_restarted(self) -> None:
        """Guards against ends of processes that the soak passes over."""
        prelude = "import soak.broken; soak.broken.apply('end-unasked'); "
        with tempfile.TemporaryDirectory() as folder:
            fleet = SoakFleet(Path(folder), _SEED, _PROCESSES, prelude)
            try:
                await fleet.async_start()
                failing = fleet.balancer_vms[0].process
                first = failing.pid

                async def async_is_restarted() -> bool:
                    """Return whether the process runs again under another id."""
                    return failing.is_running and failing.pid != first

                await async_wait_until(async_is_restarted)
            finally:
                await fleet.async_stop()
        self.assertIn("entry-0 ended by itself with code 0", fleet.bad_ends[0])


class LogPipeTest(unittest.IsolatedAsyncioTestCase):
    """The pipe between a process and its log."""

    async def asyncSetUp(self) -> None:
        """Create a pipe with a writer, as a process has it."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._log = Path(folder.name) / "log"
        self._pipe = LogPipe(self._log)
        self._writer = self._pipe.open_writer()
        self.addCleanup(os.close, self._writer)
        os.set_blocking(self._writer, False)
        self._pipe.resume()

    async def asyncTearDown(self) -> None:
        """Close the pipe, which needs the running loop."""
        self._pipe.close()

    async def test_lines_get_to_the_log(self) -> None:
        """What a process writes is in the file."""
        os.write(self._writer, b"one\n")
        await self._async_wait_for_log("one\n")

    async def test_pause(self) -> None:
        """The pipe of a paused reader gets full, and is read later."""
        self._pipe.pause()
        with self.assertRaises(BlockingIOError):
            while os.write(self._writer, b"x" * 1_000):
                pass
        self.assertEqual(self._log.read_text(), "")
        self._pipe.resume()
        await self._async_wait_for_log("x" * 1_000)

    async def test_closed_reader_comes_back(self) -> None:
        """Writing fails while the reader is away, and works again later."""
        self._pipe.close_reader()
        with self.assertRaises(BrokenPipeError):
            os.write(self._writer, b"lost\n")
        self._pipe.resume()
        os.write(self._writer, b"two\n")
        await self._async_wait_for_log("two\n")

    async def _async_wait_for_log(self, beginning: str) -> None:
        """Wait until the log begins with a text."""

        async def async_is_there() -> bool:
            """Return whether the log begins with the text."""
            return self._log.read_text().startswith(beginning)

        await async_wait_until(async_is_there)
