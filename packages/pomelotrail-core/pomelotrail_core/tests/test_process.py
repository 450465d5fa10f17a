"""Tests of the process of a program."""

import subprocess
import sys
import unittest
from typing import Final

_FAILING_START: Final = """
import sys
from pomelotrail_core.logs import set_up_logs
from pomelotrail_core.process import run_process
from pomelotrail_core.starting import StartError

async def async_start(stop):
    raise StartError("control", "address in use", "end the other program")

set_up_logs("info", "json")
sys.exit(run_process(async_start))
"""


class RunProcessTest(unittest.TestCase):
    """Exit codes and last lines of a process."""

    def test_failed_start_leaves_one_line(self) -> None:
        """Guards against a traceback in place of setting, problem and remedy."""
        process = subprocess.run(
            [sys.executable, "-c", _FAILING_START],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(process.returncode, 1)
        self.assertEqual(len(process.stderr.splitlines()), 1)
        self.assertIn("control: address in use; end the other program", process.stderr)
