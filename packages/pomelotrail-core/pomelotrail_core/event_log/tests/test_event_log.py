"""Tests of the structured log."""

import json
import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.event_log import EventLog, LogWriter
from pomelotrail_core.event_log.const import LINES_PER_INTERVAL, MAX_BUFFERED_BYTES


class FullWriter(LogWriter):
    """Accepts no bytes."""

    def write(self, lines: bytes) -> int:
        """Return that nothing was written."""
        return 0


class EventLogTest(unittest.TestCase):
    """Contents of lines, rate limit and buffer limit."""

    def setUp(self) -> None:
        """Write to memory."""
        self.clock = FakeClock()
        self.lines = MemoryLogWriter()
        self.log = EventLog("edge-1", self.clock, self.lines)

    def read_lines(self) -> list[dict]:
        """Flush and return all lines so far."""
        self.log.flush()
        return [json.loads(line) for line in self.lines.content.splitlines()]

    def test_line(self) -> None:
        """A line has the process, part, event and inputs."""
        self.log.write("placement", "offered", flow="a>b", age_ms=12)
        (line,) = self.read_lines()
        self.assertEqual(line["process"], "edge-1")
        self.assertEqual((line["part"], line["event"]), ("placement", "offered"))
        self.assertEqual((line["flow"], line["age_ms"]), ("a>b", 12))
        self.assertTrue(line["at"].startswith("2026-01-01T00:00:00"))

    def test_rate_limit_by_kind(self) -> None:
        """Left-out lines are counted, and other kinds are not affected."""
        for _ in range(LINES_PER_INTERVAL + 30):
            self.log.write("placement", "offered")
        self.log.write("placement", "refused")
        self.assertEqual(len(self.read_lines()), LINES_PER_INTERVAL + 1)
        self.clock.jump(timedelta(seconds=1))
        self.log.write("placement", "offered")
        self.assertEqual(self.read_lines()[-1]["left_out"], 30)

    def test_lines_are_dropped_for_a_slow_reader(self) -> None:
        """Lines beyond the buffer are dropped and counted."""
        log = EventLog("edge-1", self.clock, FullWriter())
        for index in range(3_000):
            log.write("part", f"event_{index}", text="x" * 200)
        log.flush()
        self.assertGreater(log.dropped, 0)
        self.assertLessEqual(log._buffered, MAX_BUFFERED_BYTES)
