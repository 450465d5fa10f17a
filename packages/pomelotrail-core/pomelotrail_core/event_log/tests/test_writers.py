"""Tests of the writers to pipes, files and sockets."""

import errno
import fcntl
import os
import select
import socket
import subprocess
import sys
import tempfile
import threading
import unittest
from typing import Final
from unittest import mock

from pomelotrail_core.event_log.writers import (
    ClosedWriter,
    DescriptorWriter,
    LogWriter,
    PolledWriter,
    SocketWriter,
    open_writer,
)

# More than a pipe holds.
_LARGE: Final = b"x" * 1_000_000
# Only a write that blocks for good takes as long.
_BLOCKED_S: Final = 30.0

_PRINT_WRITER: Final = """
import sys
from pomelotrail_core.event_log import open_standard_output
writer = type(open_standard_output()).__name__
with open(sys.argv[1], "w") as result:
    result.write(writer)
"""


class WriterTest(unittest.TestCase):
    """A reader that stands still, is gone, or shares the pipe with others."""

    def open_pipe(self) -> tuple[int, int]:
        """Return both ends of a pipe."""
        ends = os.pipe()
        for end in ends:
            self.addCleanup(os.close, end)
        return ends

    def write(self, writer: LogWriter, lines: bytes) -> int:
        """Return the number of bytes written; fail if the writer blocks."""
        results: list[int] = []
        thread = threading.Thread(
            target=lambda: results.append(writer.write(lines)), daemon=True
        )
        thread.start()
        thread.join(_BLOCKED_S)
        self.assertTrue(results, "the write blocks")
        return results[0]

    def test_reader_that_stands_still(self) -> None:
        """Guards against a blocked event loop after another holder reset the flag."""
        _, end = self.open_pipe()
        writer = open_writer(end)
        self.assertIsInstance(writer, DescriptorWriter)
        os.set_blocking(end, True)
        self.assertLess(self.write(writer, _LARGE), len(_LARGE))
        self.assertEqual(self.write(writer, _LARGE), 0)

    def test_flag_of_others_stays(self) -> None:
        """Guards against failed writes of those who share the pipe."""
        _, end = self.open_pipe()
        self.write(open_writer(end), _LARGE)
        self.assertTrue(os.get_blocking(end))

    def test_pipe_that_can_not_be_opened_again(self) -> None:
        """Where opening is refused, the pipe is polled before each write."""
        reader, end = self.open_pipe()
        refused = PermissionError(errno.EACCES, "refused")
        with mock.patch.object(os, "open", side_effect=refused):
            writer = open_writer(end)
        self.assertIsInstance(writer, PolledWriter)
        written = self.write(writer, _LARGE)
        self.assertTrue(select.PIPE_BUF <= written < len(_LARGE))
        self.assertEqual(self.write(writer, _LARGE), 0)
        os.read(reader, 2 * select.PIPE_BUF)
        self.assertGreater(self.write(writer, _LARGE), 0)

    def test_polled_pipe_without_reader(self) -> None:
        """The error reaches the log, and the next write may succeed."""
        reader, end = os.pipe()
        self.addCleanup(os.close, end)
        os.close(reader)
        writer = PolledWriter(end)
        with self.assertRaises(BrokenPipeError):
            writer.write(b"line\n")

    def test_socket(self) -> None:
        """A socket can't be opened again, and its flag stays too."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        writer = open_writer(ours.fileno())
        self.assertIsInstance(writer, SocketWriter)
        self.assertLess(self.write(writer, _LARGE), len(_LARGE))
        self.assertEqual(self.write(writer, _LARGE), 0)
        flags = fcntl.fcntl(ours.fileno(), fcntl.F_GETFL)
        self.assertFalse(flags & os.O_NONBLOCK)
        writer._socket.close()

    def test_file(self) -> None:
        """A file is written to at the offset that others share."""
        with tempfile.TemporaryFile() as file:
            file.write(b"before\n")
            file.flush()
            writer = open_writer(file.fileno())
            writer.write(b"line\n")
            os.write(file.fileno(), b"after\n")
            file.seek(0)
            self.assertEqual(file.read(), b"before\nline\nafter\n")

    def test_full_device(self) -> None:
        """The error reaches the log."""
        device = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, device)
        with self.assertRaises(OSError) as caught:
            open_writer(device).write(b"line\n")
        self.assertEqual(caught.exception.errno, errno.ENOSPC)

    def test_closed_descriptor(self) -> None:
        """It is no reason to fail before the first write."""
        reader, end = os.pipe()
        os.close(reader)
        os.close(end)
        writer = open_writer(end)
        self.assertIsInstance(writer, ClosedWriter)
        with self.assertRaises(OSError):
            writer.write(b"line\n")

    def test_standard_output_closed_at_the_start(self) -> None:
        """Guards against log lines in a socket that got the number 1."""
        with tempfile.NamedTemporaryFile() as result:
            subprocess.run(
                ["sh", "-c", 'exec "$@" >&-', "sh", sys.executable, "-c"]
                + [_PRINT_WRITER, result.name],
                check=True,
                env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
            )
            self.assertEqual(result.read(), b"ClosedWriter")
