"""Signals to real balancers and companions at any time of their life."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Final

import attrs

from harness.fleet import Fleet
from harness.specification import KESAR_TIDEWATER

_SERVICE = attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=1)
_SMALLEST_FLEET = attrs.evolve(KESAR_TIDEWATER, balancers=1, services=(_SERVICE,))
# How long after its first lines a process is interrupted. Which part of its start
# that meets does not change the verdict.
_DELAYS_S: Final = (0.0, 0.1, 0.3, 0.6)


class ProgramSignalsTest(unittest.IsolatedAsyncioTestCase):
    """A signal ends a process only if it is meant to, and then without a traceback."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins of a small fleet and publish its configuration."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.fleet = Fleet(_SMALLEST_FLEET, self.directory)
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start_platform()
        await self.fleet.async_publish()

    async def test_hangup_of_a_serving_process(self) -> None:
        """Guards against the default action of SIGHUP, which ends the process."""
        await self.fleet.async_start_programs(self.fleet.program_names)
        for name in self.fleet.program_names:
            process = self.fleet.processes[name]
            process.send_signal(signal.SIGHUP)
            log = self.directory / f"{name}.log"
            while process.is_running:
                if "SIGHUP has no effect" in log.read_text():
                    break
                await asyncio.sleep(0.05)
            self.assertTrue(process.is_running, name)
            self.assertEqual(await process.async_stop(), 0)

    async def test_second_signal_during_the_stop(self) -> None:
        """Guards against an exit code that looks like a crash after two signals."""
        await self.fleet.async_start_programs(self.fleet.program_names)
        for name in self.fleet.program_names:
            process = self.fleet.processes[name]
            process.send_signal(signal.SIGTERM)
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP) * 20:
                await asyncio.sleep(0.01)
                process.send_signal(number)
            self.assertEqual(await process.async_stop(), 0, name)

    async def test_interrupt_while_a_program_is_imported(self) -> None:
        """Guards against tracebacks of imports that SIGINT interrupts."""
        for name in self.fleet.program_names:
            for delay in _DELAYS_S:
                process = self.fleet.processes[name]
                starting = asyncio.create_task(process.async_start())
                while not starting.done():
                    if self.is_ignoring_hangup(name):
                        break
                    await asyncio.sleep(0)
                self.assertFalse(starting.done(), f"{name} handles no early signals")
                await asyncio.sleep(delay)
                process.send_signal(signal.SIGINT)
                await asyncio.wait([starting])
                starting.exception()
                await process.async_stop()
                log = (self.directory / f"{name}.log").read_text()
                self.assertNotIn("Traceback", log, f"{name} after {delay} s")

    def is_ignoring_hangup(self, name: str) -> bool:
        """Return whether a process ignores SIGHUP, as the kernel sees it."""
        process = self.fleet.processes[name]
        if not process.is_running:
            return False
        status = Path(f"/proc/{process.pid}/status").read_text()
        ignored = next(
            line for line in status.splitlines() if line.startswith("SigIgn:")
        )
        return bool(int(ignored.split()[1], 16) >> (signal.SIGHUP - 1) & 1)
