"""Tests of files that are being replaced at the start."""

import contextlib
import io
import tempfile
import unittest
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from result import Err, Ok, Result

from harness.fake_clock import FakeClock
from pomelotrail_core.starting import read_files
from pomelotrail_core.starting.const import FILES_SETTLED, FILES_WAIT


class ReadFilesTest(unittest.TestCase):
    """Files are read again while they may be half written."""

    def setUp(self) -> None:
        """Prepare a file that does not exist yet."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "balancer-1.yaml"
        self.clock = FakeClock()
        self.errors = io.StringIO()
        self.changes: list[Callable[[], object]] = []

    def read(self) -> Result[str, str]:
        """Return the text of the file if it is whole."""
        try:
            text = self.path.read_text()
        except OSError as error:
            return Err(f"can't be read ({error})")
        return Ok(text) if text.endswith("end") else Err("is not whole")

    def sleep(self, delay: timedelta) -> None:
        """Advance the clock and make the next change."""
        self.clock.jump(delay)
        if self.changes:
            self.changes.pop(0)()

    def read_files(self) -> Result[str, str]:
        """Read the file as a start does."""
        with contextlib.redirect_stderr(self.errors):
            return read_files([self.path], self.read, self.clock, self.sleep)

    def test_file_comes_back(self) -> None:
        """Guards against an end for a file that is absent for a moment."""
        self.changes = [lambda: None, lambda: self.path.write_text("the end")]
        self.assertEqual(self.read_files(), Ok("the end"))
        self.assertIn("Waiting for a usable file", self.errors.getvalue())

    def test_half_written_file(self) -> None:
        """Guards against an end for a file that is just being written."""
        self.path.write_text("the")
        self.changes = [
            lambda: self.path.write_text("the e"),
            lambda: self.path.write_text("the end"),
        ]
        self.assertEqual(self.read_files(), Ok("the end"))

    def test_wrong_file_that_does_not_change(self) -> None:
        """A wrong file is reported as soon as it can't be half written."""
        self.path.write_text("wrong")
        self.assertEqual(self.read_files(), Err("is not whole"))
        self.assertGreaterEqual(self.clock.monotonic(), FILES_SETTLED)
        self.assertLess(self.clock.monotonic(), FILES_WAIT)

    def test_file_stays_absent(self) -> None:
        """The wait for an absent file is limited."""
        self.assertTrue(self.read_files().is_err())
        self.assertGreaterEqual(self.clock.monotonic(), FILES_WAIT)

    def test_usable_file_is_read_at_once(self) -> None:
        """A start with a usable file waits for nothing and prints nothing."""
        self.path.write_text("the end")
        self.assertTrue(self.read_files().is_ok())
        self.assertEqual(self.clock.monotonic(), timedelta())
        self.assertEqual(self.errors.getvalue(), "")
