"""A pipe that a process logs to; its reader can stand still, go away and come back."""

import asyncio
import fcntl
import os
from pathlib import Path

from .const import PIPE_BYTES, READ_BYTES


class LogPipe:
    """Copies what a process writes from a named pipe to its log file::

    pipe = LogPipe(folder / "entry-0.log")
    descriptor = pipe.open_writer()
    ...
    pipe.close_reader()
    pipe.resume()
    """

    def __init__(self, log: Path) -> None:
        """Create the pipe beside the log file."""
        self._path = log.with_suffix(".pipe")
        os.mkfifo(self._path)
        self._log = log.open("ab", buffering=0)
        self._reader: int | None = None
        # The pipe never reports its end, since it always has this writer.
        self._writer = self.open_writer()
        fcntl.fcntl(self._writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)

    def open_writer(self) -> int:
        """Return a new descriptor to write to; whoever gets it closes it."""
        # Opening a pipe for writing blocks until it has a reader.
        reader = os.open(self._path, os.O_RDONLY | os.O_NONBLOCK)
        try:
            return os.open(self._path, os.O_WRONLY)
        finally:
            os.close(reader)

    def resume(self) -> None:
        """Read the pipe again, or for the first time."""
        if self._reader is None:
            self._reader = os.open(self._path, os.O_RDONLY | os.O_NONBLOCK)
        asyncio.get_running_loop().add_reader(self._reader, self.read)

    def pause(self) -> None:
        """Leave the pipe open and unread, so that it gets full."""
        if self._reader is not None:
            asyncio.get_running_loop().remove_reader(self._reader)

    def close_reader(self) -> None:
        """Close the pipe, so that writers get an error."""
        if self._reader is not None:
            self.pause()
            os.close(self._reader)
            self._reader = None

    def read(self) -> None:
        """Copy what is in the pipe to the log file."""
        if self._reader is None:
            return
        try:
            while data := os.read(self._reader, READ_BYTES):
                self._log.write(data)
        except BlockingIOError:
            # The pipe is empty.
            return

    def close(self) -> None:
        """Close all descriptors."""
        self.close_reader()
        os.close(self._writer)
        self._log.close()
