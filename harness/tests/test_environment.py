"""Tests of the set-up of a checkout."""

import contextlib
import errno
import io
import os
import shutil
import subprocess
import tempfile
import threading
import time
import unittest
from pathlib import Path

from harness.environment import Environment

from .environments import TIMEOUT_S, FakeContents, make_checkout

_POLL_INTERVAL_S = 0.002


class EnvironmentTest(unittest.TestCase):
    """When an environment is made, and whether it is made anew."""

    def setUp(self) -> None:
        """Make an environment."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        root = self.folder / "checkout"
        root.mkdir()
        self.contents = FakeContents(root)
        self.environment = Environment(self.contents)
        self.output = io.StringIO()
        output = contextlib.redirect_stderr(self.output)
        output.__enter__()
        self.addCleanup(output.__exit__, None, None, None)
        self.environment.ensure()
        self.assertEqual(self.contents.calls, [True])

    def test_ready_environment_is_used(self) -> None:
        """Guards against a set-up for each test run, or for new times of files."""
        (source,) = self.contents.sources
        source.touch()
        self.environment.ensure()
        self.assertEqual(self.contents.calls, [True])

    def test_changed_requirements(self) -> None:
        """Guards against a change that is missed because the file has an old time."""
        (source,) = self.contents.sources
        source.write_text("second")
        os.utime(source, (0, 0))
        self.environment.ensure()
        self.assertEqual(self.contents.calls, [True, False])
        self.assertTrue(self.environment.is_ready)

    def test_environment_from_another_folder(self) -> None:
        """Guards against an environment whose programs name another folder."""
        copied = self.folder / "copy"
        shutil.copytree(self.contents.root, copied)
        contents = FakeContents(copied)
        Environment(contents).ensure()
        self.assertEqual(contents.calls, [True])

    def test_environment_of_another_interpreter(self) -> None:
        """Guards against libraries that another interpreter was given."""
        marker = self.contents.folder / "ready"
        tag, _, rest = marker.read_text().partition(" ")
        for text in (f"{tag}x {rest}", f"{tag} /elsewhere{rest}", ""):
            marker.write_text(text)
            self.environment.ensure()
        self.assertEqual(self.contents.calls, [True] * 4)

    def test_interpreter_that_is_gone(self) -> None:
        """Guards against an environment whose interpreter was removed."""
        python = self.contents.folder / "bin" / "python"
        python.unlink()
        python.symlink_to(self.folder / "missing")
        self.environment.ensure()
        self.assertEqual(len(self.contents.calls), 2)

    def test_failed_set_up(self) -> None:
        """Guards against using an environment whose set-up failed half-way."""
        self.contents.error = subprocess.CalledProcessError(1, ["pip"])
        with self.assertRaises(subprocess.CalledProcessError):
            self.environment.ensure(is_requested=True)
        self.assertFalse(self.environment.is_ready)
        self.contents.error = None
        self.environment.ensure()
        self.assertEqual(self.contents.calls, [True, False, True])

    def test_requirements_that_change_meanwhile(self) -> None:
        """Guards against a marker that names requirements which weren't installed."""
        (source,) = self.contents.sources
        source.write_text("second")
        self.contents.may_end.clear()
        self.contents.has_begun.clear()
        thread = threading.Thread(target=self.environment.ensure)
        thread.start()
        self.assertTrue(self.contents.has_begun.wait(TIMEOUT_S))
        source.write_text("third")
        self.contents.may_end.set()
        thread.join()
        self.assertFalse(self.environment.is_ready)

    def test_requested_set_up_that_waited(self) -> None:
        """Guards against a set-up that is repeated although another one just ended."""
        self.contents.may_end.clear()
        self.contents.has_begun.clear()
        threads = [
            threading.Thread(target=self.environment.ensure, args=(True,))
            for _ in range(2)
        ]
        threads[0].start()
        self.assertTrue(self.contents.has_begun.wait(TIMEOUT_S))
        threads[1].start()
        while "waiting" not in self.output.getvalue() and threads[1].is_alive():
            time.sleep(_POLL_INTERVAL_S)
        self.contents.may_end.set()
        for thread in threads:
            thread.join()
        self.assertEqual(self.contents.calls, [True, False])
        self.assertTrue(self.environment.is_ready)


class SetUpTest(unittest.TestCase):
    """The scripts, with an environment into which one library is installed."""

    def setUp(self) -> None:
        """Make a checkout."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.root = make_checkout(Path(temporary.name) / "checkout")

    def test_set_ups_at_once(self) -> None:
        """Guards against two test runs that set up the same environment at once."""
        processes = [self._start("ensure-setup") for _ in range(2)]
        outputs = [process.communicate()[0] for process in processes]
        self.assertEqual([process.returncode for process in processes], [0, 0], outputs)
        self.assertEqual("".join(outputs).count("setting up"), 1, outputs)
        self._check_environment()

    def test_killed_set_up(self) -> None:
        """Guards against using an environment whose set-up was killed, or still runs.

        Its pip waits for a file of requirements that is a pipe.
        """
        more = self.root / "more.txt"
        os.mkfifo(more)
        (self.root / "requirements-dev.txt").write_text(
            "sample\n--requirement more.txt\n"
        )
        killed = self._start("setup")
        writer = self._open_pipe(more, killed)
        killed.kill()
        killed.wait()
        more.unlink()
        more.touch()
        process = self._start("ensure-setup")
        self.assertIn("waiting for another", process.stdout.readline())
        os.close(writer)
        output, _ = process.communicate()
        self.assertEqual(process.returncode, 0, output)
        self.assertIn("setting up", output)
        killed.communicate()
        self._check_environment()

    def test_installation_elsewhere(self) -> None:
        """Guards against an empty environment that counts as ready."""
        elsewhere = self.root / "elsewhere"
        configuration = self.root / "pip.conf"
        configuration.write_text(f"[install]\nroot = {elsewhere}\n")
        process = self._start("setup", PIP_CONFIG_FILE=str(configuration))
        output, _ = process.communicate()
        self.assertNotEqual(process.returncode, 0)
        self.assertIn("sample is not installed; check pip's configuration", output)
        self.assertFalse((self.root / ".venv" / "ready").exists())

    def _open_pipe(self, path: Path, reader: subprocess.Popen) -> int:
        """Open a pipe for writing once a process reads it."""
        while reader.poll() is None:
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                if error.errno != errno.ENXIO:
                    raise
                time.sleep(_POLL_INTERVAL_S)
        raise AssertionError(f"ended without reading: {reader.communicate()[0]}")

    def _start(self, script: str, **environment: str) -> subprocess.Popen:
        """Start a script with options of pip that exclude a virtual environment."""
        environment = {
            "PATH": os.environ["PATH"],
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(self.root),
            "PIP_USER": "1",
            "PIP_REQUIRE_VIRTUALENV": "1",
        } | environment
        return subprocess.Popen(
            [f"script/{script}"],
            cwd=self.root,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def _check_environment(self) -> None:
        """Check that the environment works and has the library."""
        programs = self.root / ".venv" / "bin"
        output = subprocess.check_output([programs / "pip", "--version"], text=True)
        self.assertIn(str(self.root), output)
        subprocess.run([programs / "python", "-c", "import sample"], check=True)
