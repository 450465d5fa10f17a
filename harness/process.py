"""One process of a fleet."""

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
BINARIES: Final = Path(sys.executable).parent


class ProcessStartError(Exception):
    """A process ended before it was ready."""


class FleetProcess:
    """A process that prints a line once it is ready."""

    def __init__(self, name: str, command: Sequence[str], log: Path) -> None:
        """Set the command of the process; its log is appended to a file."""
        self.name = name
        self._command = command
        self._log = log
        self._process: asyncio.subprocess.Process | None = None
        self.output: list[str] = []

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Return the process ID."""
        assert self._process is not None
        return self._process.pid

    async def async_start(self) -> None:
        """Start the process and wait until it is ready."""
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=environment,
            )
        assert self._process.stdout is not None
        line = await self._process.stdout.readline()
        if not line.startswith(b"ready"):
            await self._process.wait()
            problem = self._log.read_text(errors="replace")[-2000:]
            raise ProcessStartError(f"{self.name} did not start:\n{problem}")

    async def async_read_output(self) -> str:
        """Wait for the process to exit and return its output."""
        assert self._process is not None
        assert self._process.stdout is not None
        output = await self._process.stdout.read()
        await self._process.wait()
        return output.decode()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, for example SIGSTOP to suspend the process.

        The method of asyncio collects the exit code of a process that has just ended,
        and the event loop, which no longer finds it, reports 255 in its place.
        """
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def async_kill(self) -> None:
        """Kill the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        await self._async_wait()

    async def async_stop(self, grace_seconds: float = 10.0) -> int | None:
        """Send SIGTERM, and kill the process if it does not exit in time."""
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_seconds):
                await self._async_wait()
        except TimeoutError:
            await self.async_kill()
        return self._process.returncode if self._process else None

    async def _async_wait(self) -> None:
        """Wait for the process to exit."""
        if self._process is not None:
            await self._process.wait()
