"""Tests of the command that reads structured logs."""

import json
import tempfile
import unittest
from pathlib import Path

from .builders import run_command


def _line(second: int, process: str, event: str, **fields: object) -> str:
    """Return one log line with a host name prefix."""
    head = {"at": f"2026-01-01T00:00:{second:02}.000000+00:00", "process": process}
    content = {**head, "part": "part", "event": event, **fields}
    return f"  {second}.0 {process} {json.dumps(content)}\n"


class LogsTest(unittest.TestCase):
    """Lines of several files are merged by time."""

    def setUp(self) -> None:
        """Write the logs of two processes."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.first = Path(directory.name) / "entry.log"
        self.second = Path(directory.name) / "side.log"
        flow = "192.0.2.7:40001>198.51.100.1:443"
        self.first.write_text(
            _line(1, "entry", "server_seen", server="i-1")
            + _line(2, "entry", "server_seen", server="i-2")
            + _line(5, "entry", "offered", flow=flow, server="i-1")
            + "not a log line\n"
            + '{"at": "cut when the process di'
        )
        self.second.write_text(_line(6, "side", "offer_busy", flow=flow))

    def run_logs(self, *arguments: str) -> list[str]:
        """Return the printed lines."""
        files = (str(self.first), str(self.second))
        return run_command("logs", *arguments, *files).output.splitlines()

    def test_merged(self) -> None:
        """All lines are sorted by time."""
        events = [line.split()[3] for line in self.run_logs()]
        expected = ["server_seen", "server_seen", "offered", "offer_busy"]
        self.assertEqual(events, expected)

    def test_flow_with_related_server_lines(self) -> None:
        """Only the state line of the server that was offered the flow is included."""
        lines = self.run_logs("--flow", "192.0.2.7:40001")
        self.assertEqual(len(lines), 3)
        self.assertIn("server=i-1", lines[0])

    def test_nothing_found(self) -> None:
        """The error shows what to check."""
        outcome = run_command("logs", "--flow", "192.0.2.8", str(self.first))
        self.assertEqual(outcome.code, 1)
        self.assertIn("check the files", outcome.errors)

    def test_missing_file(self) -> None:
        """The error of an unreadable file has a remedy."""
        outcome = run_command("logs", "/does/not/exist.log")
        self.assertEqual(outcome.code, 1)
        self.assertIn("name files that can be read", outcome.errors)
