"""Standard streams that are closed, broken, full or not read.

The platform connects them. A process can do its work without them, so none of these
conditions ends it or stops it.
"""

import contextlib
import io
import os
import sys
from collections.abc import Callable
from typing import Final

from pomelotrail_core.event_log import PolledWriter

_STANDARD_STREAMS: Final = (("stdin", "r"), ("stdout", "w"), ("stderr", "w"))


def replace_closed_streams() -> None:
    """Connect the standard streams that were closed at the start with the null device.

    Sockets would get their descriptors otherwise, which libuv refuses to close: it
    aborts the process.
    """
    for name, mode in _STANDARD_STREAMS:
        if getattr(sys, name) is None:
            # The lowest free descriptor, which is that of the stream.
            null = os.open(os.devnull, os.O_RDWR)
            setattr(sys, name, os.fdopen(null, mode))


def discard_standard_output() -> None:
    """Connect standard output with the null device after a write has failed.

    The text that it still buffers would fail again at the end of the process and
    change its exit code.
    """
    null = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null, sys.stdout.fileno())
    os.close(null)


def print_error(line: str) -> None:
    """Print a line to standard error, if it accepts it."""
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)


class LogStream(io.TextIOBase):
    """A descriptor as a text stream that neither blocks nor fails.

    What can't be written now is left out. ``report_lost`` is called with the number
    of texts that were left out before the next text is written.
    """

    def __init__(self, descriptor: int, report_lost: Callable[[int], None]) -> None:
        """Write to a descriptor, which stays open."""
        super().__init__()
        self._writer = PolledWriter(descriptor)
        self._report_lost = report_lost
        self._lost = 0

    @property
    def lost(self) -> int:
        """Return the number of texts left out since the last report."""
        return self._lost

    def write(self, text: str) -> int:
        """Write a text, or count it as lost."""
        if self._lost and self._writer.is_writable():
            lost, self._lost = self._lost, 0
            self._report_lost(lost)
        data = text.encode(errors="backslashreplace")
        if not self._write_data(data):
            self._lost += 1
        return len(text)

    def _write_data(self, data: bytes) -> bool:
        """Return whether everything was written."""
        try:
            return self._writer.write(data) == len(data)
        except OSError:
            # The reader is gone or the device is full.
            return False
