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
    """Return a record of a logger for a line of the code."""
    return logging.LogRecord("quic", logging.INFO, "a.py", line, template, values, None)


class RepeatFilterTest(unittest.TestCase):
    """Limit and count of repeated lines."""

    def setUp(self) -> None:
        """Create a filter with a clock that is stopped."""
        self.clock = FakeClock()
        self.filter = RepeatFilter(self.clock)

    def test_repeated_line_is_limited_and_counted(self) -> None:
        """Few lines pass, and the next interval has the count of the others."""
        passed = sum(
            self.filter.filter(_record("edge: Request %s failed", number))
            for number in range(1000)
        )
        self.assertEqual(passed, LINES_PER_INTERVAL)
        self.clock.jump(REPEAT_INTERVAL)
        line = _record("edge: Request %s failed", 1000)
        self.assertTrue(self.filter.filter(line))
        self.assertEqual(
            line.getMessage(),
            "edge: Request 1000 failed (995 similar lines suppressed)",
        )

    def test_other_lines_pass(self) -> None:
        """Repetitions of one line suppress no other."""
        for _ in range(100):
            self.filter.filter(_record("edge: full"))
        self.assertTrue(self.filter.filter(_record("draining: Leaving", line=2)))

    def test_different_texts_of_a_call_site_are_limited(self) -> None:
        """Lines of a library with values in their templates are limited too."""
        passed = sum(
            self.filter.filter(_record(f"[{number}] closed")) for number in range(100)
        )
        self.assertEqual(passed, LINES_PER_INTERVAL)


class LogFormatTest(unittest.TestCase):
    """Log lines as text and as JSON."""

    def test_json_line(self) -> None:
        """The part is a separate field."""
        line = _record("edge: Request %s failed", "f1")
        line.part = "edge"
        content = json.loads(JsonFormatter().format(line))
        self.assertEqual(content["part"], "edge")
        self.assertEqual(content["message"], "Request f1 failed")
        self.assertEqual(content["level"], "info")

    def test_line_of_a_library(self) -> None:
        """A line without a part gets the name of its library as prefix."""
        line = _record("Socket closed")
        PartFilter().filter(line)
        self.assertEqual(line.getMessage(), "quic: Socket closed")

    def test_libraries_log_only_warnings(self) -> None:
        """An info line of a library is suppressed."""
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

    def test_text_and_json_format(self) -> None:
        """Lines are written to standard error in the selected format."""
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
