"""Tests of standard streams that are closed, broken, full or not read."""

import os
import subprocess
import sys
import unittest
from collections.abc import Callable
from typing import Final

from pomelotrail_core.standard_streams import LogStream

# A program that says that it is ready, then uses and closes sockets like a server.
_PROGRAM: Final = """
import asyncio, os, sys
from pomelotrail_core.command_line.program import run_command_line
from pomelotrail_core.command_line import Command
from pomelotrail_core.logs import get_logger, set_up_logs
from pomelotrail_core.process import announce_ready, run_process

async def async_serve(stop):
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    announce_ready("program")
    get_logger("test").info("Serving")
    server.close()
    await server.wait_closed()
    os.write(int(sys.argv[1]), b"served")

class Serve(Command):
    name, summary, examples = "serve", "serve", "program serve"
    def add_arguments(self, parser):
        pass
    def run(self, arguments):
        set_up_logs("info")
        run_process(async_serve)
        return 0

sys.exit(run_command_line("program", "A test.", [Serve()], ["serve"]))
"""


class ProgramStreamsTest(unittest.TestCase):
    """A program serves whatever its standard streams are connected to."""

    def assert_serves(
        self,
        output: int = subprocess.DEVNULL,
        errors: int = subprocess.DEVNULL,
        prepare: Callable[[], None] | None = None,
    ) -> None:
        """Run the program and check that it served and ended with 0."""
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        try:
            process = subprocess.run(
                [sys.executable, "-c", _PROGRAM, str(writing)],
                stdout=output,
                stderr=errors,
                preexec_fn=prepare,
                pass_fds=[writing],
                check=False,
            )
        finally:
            os.close(writing)
        self.assertEqual(os.read(reading, 100), b"served")
        self.assertEqual(process.returncode, 0)

    def broken_pipe(self) -> int:
        """Return the end for writing of a pipe without a reader."""
        reading, writing = os.pipe()
        os.close(reading)
        self.addCleanup(os.close, writing)
        return writing

    def full_device(self) -> int:
        """Return a descriptor that accepts no data."""
        descriptor = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        return descriptor

    def test_reader_of_standard_output_is_gone(self) -> None:
        """Guards against an end with code 0 when nobody reads the ready line."""
        self.assert_serves(output=self.broken_pipe())

    def test_standard_output_is_full(self) -> None:
        """Guards against an end when the ready line goes to a full device."""
        self.assert_serves(output=self.full_device())

    def test_standard_streams_are_closed(self) -> None:
        """Guards against sockets at closed standard descriptors, which abort libuv."""
        for closed in ((0,), (1,), (2,), (0, 1, 2)):
            with self.subTest(closed=closed):
                self.assert_serves(prepare=lambda c=closed: [os.close(d) for d in c])

    def test_standard_error_is_broken_or_full(self) -> None:
        """Guards against an end for lines of the log that can't be written."""
        self.assert_serves(errors=self.broken_pipe())
        self.assert_serves(errors=self.full_device())


class LogStreamTest(unittest.TestCase):
    """A stream that neither blocks nor fails."""

    def setUp(self) -> None:
        """Write to a pipe."""
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.writing)
        self.lost: list[int] = []
        self.stream = LogStream(self.writing, self.lost.append)

    def test_reader_stands_still(self) -> None:
        """Guards against a process that stops because nobody reads its log."""
        self.addCleanup(os.close, self.reading)
        line = "x" * 1_000 + "\n"
        count = 0
        while not self.stream.lost:
            self.stream.write(line)
            count += 1
        os.read(self.reading, 1_000_000)
        self.stream.write("after\n")
        self.assertEqual(self.lost, [1])
        self.assertEqual(os.read(self.reading, 1_000_000), b"after\n")
        self.assertGreater(count, 1)

    def test_long_line_is_written_whole(self) -> None:
        """A line longer than a pipe takes at once arrives in pieces."""
        self.addCleanup(os.close, self.reading)
        line = "y" * 10_000 + "\n"
        self.stream.write(line)
        self.assertEqual(os.read(self.reading, 1_000_000).decode(), line)

    def test_reader_is_gone(self) -> None:
        """A broken pipe counts each line as lost and raises nothing."""
        os.close(self.reading)
        self.stream.write("one\n")
        self.assertEqual(self.stream.lost, 1)
