"""Tests of reading reports and of the curve."""

import tomllib
import unittest

from measurements.goodput.burst import build_day
from measurements.goodput.curve import build_point
from measurements.goodput.report import ReportError

_REPORT = """\
load-1.3  16/0   0.71

class                asked  in aim   late refused failed not owed  worth   p50 ms
board                 1000     700    200      20     80        0  0.800     51.0

from second          asked  in aim   late refused failed not owed  worth   p50 ms
6                      900     100      0       0      0        0  1.000     37.9
8                     1000     600    300      40     60        0  0.700     53.3
18                    1200     640    500       0     60        0  0.700     53.3
20                     900     100      0       0      0        0  1.000     37.9

how tries ended: 200: 1
"""


class CurveTest(unittest.TestCase):
    """Test the figures of one load."""

    def test_windows_of_the_burst_count(self) -> None:
        """Windows in which the burst begins or ends are left out."""
        point = build_point(1.3, _REPORT)
        self.assertEqual(point["asked_per_s"], 550.0)
        self.assertEqual(point["on_time_per_s"], 310.0)
        self.assertEqual(point["failed_per_s"], 30.0)
        self.assertEqual(
            point["classes"], {"board": {"on_time": 0.7, "late": 0.2, "failed": 0.1}}
        )

    def test_report_of_a_day_that_was_not_played(self) -> None:
        """The error says what to do."""
        with self.assertRaisesRegex(ReportError, "play the day again"):
            build_point(1.0, "error: no such site\n")

    def test_burst_reaches_the_load(self) -> None:
        """The factor is the load over the usual one."""
        day = tomllib.loads(build_day(0.4, 2.0))
        self.assertEqual(day["faults"][0]["x"], 5.0)
