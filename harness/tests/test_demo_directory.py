"""Tests of the directory of a demo."""

import tempfile
import unittest
from pathlib import Path

from harness.demo_directory import ClaimedDirectory, DirectoryInUse


class ClaimedDirectoryTest(unittest.TestCase):
    """A second demo doesn't touch the files of a running one."""

    def setUp(self) -> None:
        """Choose a directory."""
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.path = Path(parent.name) / ".demo"

    def test_another_demo_runs(self) -> None:
        """Guards against a demo that removes the files of a running one."""
        claimed = ClaimedDirectory(self.path)
        (self.path / "balancer-1.yaml").write_text("name: balancer-1")
        with self.assertRaisesRegex(DirectoryInUse, "stop it"):
            ClaimedDirectory(self.path)
        self.assertTrue((self.path / "balancer-1.yaml").exists())
        claimed.release()

    def test_earlier_demo_was_killed(self) -> None:
        """Files that an earlier demo left are removed."""
        ClaimedDirectory(self.path).release()
        (self.path / "tls").mkdir()
        (self.path / "tls" / "peer.pem").write_text("")
        (self.path / "balancer-1.yaml").write_text("")
        ClaimedDirectory(self.path).release()
        self.assertEqual(list(self.path.iterdir()), [])
