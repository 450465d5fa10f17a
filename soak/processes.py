"""Processes of the roles, started by their ``run`` lines and watched until they end."""

import asyncio
import os
import resource
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs

from harness.process import ROOT
from stand_ins.platform_fleet import RoleProcess

from .const import STOP_BOUND_S
from .log_pipe import LogPipe

_REPEAT_DELAY_S: Final = 0.02
_ISOLATED: Final = ("-I", "-S")
_PRELUDE: Final = (
    "import runpy, sys; release, libraries, script, *arguments = sys.argv[1:]; "
    "sys.path[:0] = [release, libraries, {root!r}]; {prelude}"
    "sys.argv[:] = [script, *arguments]; "
    "runpy.run_path(script, run_name='__main__')"
)
_RELEASE_FOLDERS: Final = ("releases", "libraries")
# Where the standard streams of a process lead, as words of a shell.
LOG_FULL: Final = ">/dev/full 2>&1"
LOG_CLOSED: Final = ">&- 2>&-"


def catch_hangups() -> None:
    """Keep an ignored SIGHUP, as under nohup, from being inherited as ignored."""
    if signal.getsignal(signal.SIGHUP) is signal.SIG_IGN:
        signal.signal(signal.SIGHUP, lambda number, frame: None)


@attrs.frozen
class ProcessEnd:
    """How a process ended.

    ``told`` is the signal that told it to end, if any. ``had_begun`` tells whether
    its own code ran by then; before that the interpreter ends by the signal itself.
    """

    code: int
    told: signal.Signals | None
    had_begun: bool
    last_line: str

    @property
    def problem(self) -> str:
        """Return what is wrong with this end, or an empty text."""
        if self.told is None:
            return f"ended by itself with code {self.code}: {self.last_line}"
        expected = {0}
        if self.told is signal.SIGKILL or not self.had_begun:
            expected.add(-self.told)
        if self.code in expected:
            return ""
        return f"got {self.told.name}, ended with code {self.code}: {self.last_line}"


class SoakProcess(RoleProcess):
    """A process that logs to a pipe, and reports each of its ends."""

    def __init__(
        self,
        role: str,
        name: str,
        host: str,
        folder: Path,
        prelude: str,
        launcher: Path,
        on_end: Callable[["SoakProcess", ProcessEnd], None],
    ) -> None:
        """Initialize with the launcher of the program."""
        super().__init__(role, name, host, folder, prelude)
        self.pipe = LogPipe(self.log)
        self.addresses: list[str] = []
        # Shell words for the next start: redirected streams, and a limit.
        self.streams_once = ""
        self.limit_once = ""
        self.has_log = True
        # The size of the log file at the last start.
        self.log_start = 0
        self._launcher = launcher
        self._on_end = on_end
        self._told: signal.Signals | None = None
        self._had_begun = False
        self._watch: asyncio.Task | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the last start."""
        return self._process.pid

    @property
    def has_begun(self) -> bool:
        """Return whether the launcher runs, by the state of its SIGHUP handler."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return False
        fields = dict(line.split(":", 1) for line in status.splitlines())
        handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return bool(handled >> (signal.SIGHUP - 1) & 1)

    async def async_start(self) -> None:
        """Start the process as the ``run`` line does."""
        self._told = None
        self.log_start = self.log.stat().st_size
        launcher = [str(self._launcher)]
        if self._prelude:
            code = _PRELUDE.format(root=str(ROOT), prelude=self._prelude)
            target = self._launcher.parents[1]
            folders = [next(target.glob(f"{kind}/*")) for kind in _RELEASE_FOLDERS]
            launcher = ["-c", code, *map(str, folders), *launcher]
        log = self.pipe.open_writer()
        try:
            self._process = await asyncio.create_subprocess_exec(
                "sh",
                "-c",
                f'{self.limit_once}\nexec "$@" {self.streams_once}',
                "sh",
                sys.executable,
                *_ISOLATED,
                *launcher,
                self._role,
                *self.addresses,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self.settings_environment},
            )
        finally:
            os.close(log)
        self.has_log = not self.streams_once
        self.streams_once = self.limit_once = ""
        self._watch = asyncio.create_task(self._async_watch(self._process))

    async def async_stop(
        self, number: signal.Signals = signal.SIGTERM, repeats: int = 0
    ) -> None:
        """End the process by a signal, sent again while it shuts down."""
        if not self.is_running:
            return
        self._had_begun = self.has_begun
        self._told = number
        self.send_signal(number)
        try:
            async with asyncio.timeout(STOP_BOUND_S):
                for _ in range(repeats):
                    await asyncio.sleep(_REPEAT_DELAY_S)
                    self.send_to_running(signal.SIGHUP)
                    self.send_to_running(number)
                await asyncio.shield(self._watch)
        except TimeoutError:
            self.send_to_running(signal.SIGKILL)
            await self._watch

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, and leave the end of the process to its watcher.

        asyncio's way collects the exit code of a process that has just ended; the
        watcher, which then finds none, reports 255.
        """
        options = os.WEXITED | os.WNOHANG | os.WNOWAIT
        try:
            if os.waitid(os.P_PID, self.pid, options) is None:
                os.kill(self.pid, number)
        except (ChildProcessError, ProcessLookupError):
            # The watcher has collected the exit code.
            return

    def send_to_running(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running and (number is not signal.SIGHUP or self.has_begun):
            self.send_signal(number)

    def limit_descriptors(self, count: int) -> None:
        """Set the number of descriptors that a running process may have open."""
        if not self.is_running:
            return
        try:
            most = resource.prlimit(self.pid, resource.RLIMIT_NOFILE)[1]
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (count, most))
        except ProcessLookupError:
            # The process has just ended.
            return

    async def _async_watch(self, process: asyncio.subprocess.Process) -> None:
        """Report the end of the process."""
        code = await process.wait()
        self.pipe.read()
        lines = self.log.read_bytes()[self.log_start :].decode(errors="replace")
        last_line = ([""] + lines.splitlines())[-1] or "no line"
        self._on_end(self, ProcessEnd(code, self._told, self._had_begun, last_line))
