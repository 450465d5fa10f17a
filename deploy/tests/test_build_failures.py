"""Tests of builds that can't succeed."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from .builders import Checkout


class BuildFailureTest(unittest.TestCase):
    """A build that fails ends with a line that names the problem and the remedy."""

    def setUp(self) -> None:
        """Make a checkout without any library to install from."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.checkout = Checkout(self.folder / "checkout", self.folder)

    def test_old_python(self) -> None:
        """Guards against errors of syntax as the only sign of an old Python."""
        program = self.folder / "python3"
        program.write_text("#!/bin/sh\nexit 1\n")
        program.chmod(0o755)
        line = self.checkout.fail_build(
            environment={"PATH": f"{self.folder}:{os.defpath}"}
        )
        self.assertRegex(line, "older than 3.11; install Python 3.11")

    def test_no_pip(self) -> None:
        """Guards against a build that doesn't say how pip is installed."""
        environment = self.folder / "environment"
        subprocess.run(
            [sys.executable, "-m", "venv", "--without-pip", environment], check=True
        )
        line = self.checkout.fail_build(
            environment={"PATH": f"{environment}/bin:{os.defpath}"}
        )
        self.assertRegex(line, "^build: .* has no pip; install it")

    def test_unwritable_target(self) -> None:
        """Guards against a traceback as the only sign of a tree that can't change."""
        self.checkout.target.touch()
        line = self.checkout.fail_build()
        self.assertRegex(line, "^build: .*target.*; make room, and make target/ writ")

    def test_libraries_are_not_available(self) -> None:
        """Guards against a failed installation that is taken for a finished one."""
        for _ in range(2):
            line = self.checkout.fail_build()
            self.assertRegex(line, "^build: pip could not install .*; check the net")
        self.assertEqual(list(self.checkout.target.glob("building-*")), [])

    def test_module_that_does_not_load(self) -> None:
        """Guards against publishing sources with which no process can start."""
        for name in ("requirements-platform.txt", "constraints.txt"):
            (self.checkout.folder / name).write_text("")
        line = self.checkout.fail_build()
        self.assertRegex(line, "^build: .*No module named.*; correct the sources")
        self.assertFalse((self.checkout.target / "app").exists())
