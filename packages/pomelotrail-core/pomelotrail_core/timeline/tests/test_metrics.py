"""Tests of the metrics common to all processes."""

import unittest

from harness.fake_clock import FakeClock
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.metrics import observe_process


class ProcessMetricsTest(unittest.TestCase):
    """Events are counted by kind, including evicted ones."""

    def test_events_and_version(self) -> None:
        """Evicting events from a full ring doesn't lower the counter."""
        recorder = Recorder("ledger-1", "veraval", FakeClock(), size=1)
        metrics = Metrics("ledger-1", "veraval")
        self.addCleanup(metrics.shut_down)
        observe_process(metrics.meter("process"), recorder, lambda: 12)
        for _ in range(3):
            recorder.record(EventKind.FLOW_BROKEN)
        text = metrics.render()
        self.assertRegex(text, r'events_total\{kind="flow broken".*\} 3\.0')
        self.assertRegex(text, r"events_lost_total\{.*\} 2\.0")
        self.assertRegex(text, r"configuration_version\{.*\} 12\.0")
