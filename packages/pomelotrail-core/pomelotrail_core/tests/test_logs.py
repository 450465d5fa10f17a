"""Tests of log lines."""

import json
import logging
import subprocess
import sys
import unittest

from harness.fake_clock import FakeClock
from pomelotrail_core.logs import (
    LINES_PER_INTERVAL,
    REPEAT_INTERVAL,
    JsonFormatter,
    PartFilter,
    RepeatFilter,
)


def _record(template: str, *values: object, line: int = 1) -> logging.LogRecord:
    """Return a line as a logger makes it at a line of the code."""
    return logging.LogRecord("quic", logging.INFO, "a.py", line, template, values, None)


class RepeatFilterTest(unittest.TestCase):
    """Repeated lines are bounded and counted."""

    def setUp(self) -> None:
        """Make a filter on a clock that stands still."""
        self.clock = FakeClock()
        self.filter = RepeatFilter(self.clock)

    def test_flood_is_bounded_and_counted(self) -> None:
        """Few lines pass, and the next interval says how many did not."""
        passed = sum(
            self.filter.filter(_record("edge: Request %s failed", number))
            for number in range(1000)
        )
        self.assertEqual(passed, LINES_PER_INTERVAL)
        self.clock.jump(REPEAT_INTERVAL)
        line = _record("edge: Request %s failed", 1000)
        self.assertTrue(self.filter.filter(line))
        self.assertEqual(
            line.getMessage(), "edge: Request 1000 failed (995 like it left out)"
        )

    def test_other_lines_pass(self) -> None:
        """A flood of one line hides no other."""
        for _ in range(100):
            self.filter.filter(_record("edge: full"))
        self.assertTrue(self.filter.filter(_record("draining: Leaving", line=2)))

    def test_texts_that_differ_are_bounded_too(self) -> None:
        """A library that puts names into its templates can't flood either."""
        passed = sum(
            self.filter.filter(_record(f"[{number}] closed")) for number in range(100)
        )
        self.assertEqual(passed, LINES_PER_INTERVAL)


class LogFormatTest(unittest.TestCase):
    """Lines have a prefix as text, and fields as JSON."""

    def test_json_line(self) -> None:
        """The part stands in a field of its own."""
        line = _record("edge: Request %s failed", "f1")
        line.part = "edge"
        content = json.loads(JsonFormatter().format(line))
        self.assertEqual(content["part"], "edge")
        self.assertEqual(content["message"], "Request f1 failed")
        self.assertEqual(content["level"], "info")

    def test_line_of_a_library(self) -> None:
        """A line without a part gets the name of its library as the prefix."""
        line = _record("Socket closed")
        PartFilter().filter(line)
        self.assertEqual(line.getMessage(), "quic: Socket closed")

    def test_libraries_speak_only_of_trouble(self) -> None:
        """A library's line about one connection is left out."""
        code = (
            "import logging; from pomelotrail_core.logs import set_up_logs;"
            "set_up_logs('info'); logging.getLogger('quic').info('closed');"
            "logging.getLogger('quic').warning('broken')"
        )
        lines = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stderr
        self.assertNotIn("closed", lines)
        self.assertIn("quic: broken", lines)

    def test_both_forms_of_a_program(self) -> None:
        """A program writes its lines to standard error in the chosen form."""
        code = (
            "import sys; from pomelotrail_core.logs import get_logger, set_up_logs;"
            "set_up_logs('info', sys.argv[1]); get_logger('edge').info('Up %d', 7)"
        )
        lines = {
            form: subprocess.run(
                [sys.executable, "-c", code, form],
                capture_output=True,
                text=True,
                check=True,
            ).stderr
            for form in ("text", "json")
        }
        self.assertRegex(lines["text"], r"^I.*\] edge: Up 7\n$")
        self.assertEqual(json.loads(lines["json"])["message"], "Up 7")
