"""Tests of ``pomelotrail logs`` with unusual files and outputs."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Final

_LINE: Final = (
    b'{"at": "2026-12-05T09:00:00+00:00", "process": "balancer-1", '
    b'"part": "placement", "event": "offered", "caller": "%s"}\n'
)
_CODE: Final = "from pomelotrail_balancer.main import main; main()"


class LogOutputTest(unittest.TestCase):
    """The command ends with its result or one line, never with a traceback."""

    def setUp(self) -> None:
        """Prepare a directory for log files."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "balancer-1.log"

    def run_logs(self, output: int = subprocess.PIPE) -> subprocess.CompletedProcess:
        """Run the command on the log file."""
        process = subprocess.run(
            [sys.executable, "-c", _CODE, "logs", str(self.path)],
            stdout=output,
            stderr=subprocess.PIPE,
            check=False,
        )
        self.assertNotIn(b"Traceback", process.stderr)
        return process

    def test_lines_that_are_no_log_lines(self) -> None:
        """Guards against a traceback for a file with binary or foreign lines."""
        strange = [
            bytes(range(256)) * 20,
            b'{"at": ' + b"[" * 100_000,
            b'{"at": 5, "process": 1, "part": 2, "event": []}',
            (_LINE % b"x").replace(b"+00:00", b""),
            _LINE % b"\\ud800",
            (_LINE % b"cut")[:70],
        ]
        self.path.write_bytes(_LINE % b"whole" + b"\n".join(strange))
        process = self.run_logs()
        self.assertEqual(process.returncode, 0)
        self.assertEqual(len(process.stdout.splitlines()), 3)
        self.assertIn(b"caller=whole", process.stdout)

    def test_output_goes_to_a_full_device(self) -> None:
        """Guards against a traceback when there is no space for the output."""
        self.path.write_bytes((_LINE % b"x") * 10_000)
        full = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, full)
        process = self.run_logs(full)
        self.assertEqual(process.returncode, 1)
        self.assertIn(b"free space", process.stderr)

    def test_reader_of_the_output_ends(self) -> None:
        """A reader such as ``head`` that ends early is no failure."""
        self.path.write_bytes((_LINE % b"x") * 10_000)
        reading, writing = os.pipe()
        os.close(reading)
        self.addCleanup(os.close, writing)
        self.assertEqual(self.run_logs(writing).returncode, 0)
