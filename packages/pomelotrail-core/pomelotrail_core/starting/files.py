"""Reads the files of a process, which may be just being replaced."""

import os
import time
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

from result import Err, Result

from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger
from pomelotrail_core.standard_streams import print_error

from .const import FILES_RETRY_INTERVAL, FILES_SETTLED, FILES_WAIT

_LOGGER = get_logger("start")

ReadT = TypeVar("ReadT")
ErrorT = TypeVar("ErrorT")


class _FilesWatch:
    """Decides whether it is worth reading files again after a failure.

    Files that can't be opened are waited for. Others are read again as long as they
    have changed recently, because then they may be half written.
    """

    def __init__(self, paths: Sequence[Path], clock: Clock) -> None:
        """Watch from now on, for ``FILES_WAIT`` at most."""
        self._paths = paths
        self._clock = clock
        self._deadline = clock.monotonic() + FILES_WAIT
        self._seen = self._state()
        self._changed_at = clock.monotonic()

    def is_worth_waiting(self) -> bool:
        """Return whether the files may become usable by themselves."""
        now = self._clock.monotonic()
        if now >= self._deadline:
            return False
        state = self._state()
        if state != self._seen:
            self._seen, self._changed_at = state, now
        return None in state or now - self._changed_at < FILES_SETTLED

    def _state(self) -> list[tuple[int, ...] | None]:
        """Return identity, time and size of each file, None for an unreadable one."""
        return [_file_state(path) for path in self._paths]


def read_files(
    paths: Sequence[Path],
    read: Callable[[], Result[ReadT, ErrorT]],
    clock: Clock,
    sleep: Callable[[timedelta], None] = lambda delay: time.sleep(
        delay.total_seconds()
    ),
) -> Result[ReadT, ErrorT]:
    """Return the result of ``read``, again while the files may be being replaced.

    Used before the log is set up, so its line goes to standard error.
    """
    watch = _FilesWatch(paths, clock)
    is_logged = False
    while True:
        result = read()
        if not isinstance(result, Err) or not watch.is_worth_waiting():
            return result
        if not is_logged:
            print_error(_waiting_line(result.err_value))
            is_logged = True
        sleep(FILES_RETRY_INTERVAL)


async def async_load_files(
    paths: Sequence[Path],
    async_load: Callable[[], Awaitable[Result[ReadT, ErrorT]]],
    clock: Clock,
) -> Result[ReadT, ErrorT]:
    """Return the result of ``async_load`` in the same way, with a line in the log."""
    watch = _FilesWatch(paths, clock)
    is_logged = False
    while True:
        result = await async_load()
        if not isinstance(result, Err) or not watch.is_worth_waiting():
            return result
        if not is_logged:
            _LOGGER.warning("%s", _waiting_line(result.err_value))
            is_logged = True
        await clock.async_sleep(FILES_RETRY_INTERVAL)


def _waiting_line(problem: object) -> str:
    """Return the line that says what a start waits for."""
    seconds = FILES_WAIT.total_seconds()
    return f"{problem}. Waiting for a usable file, up to {seconds:.0f} s"


def _file_state(path: Path) -> tuple[int, ...] | None:
    """Return identity, time and size of a file, or None if it is unreadable."""
    try:
        status = path.stat()
    except OSError:
        return None
    if not os.access(path, os.R_OK):
        return None
    return (status.st_dev, status.st_ino, status.st_mtime_ns, status.st_size)
