"""Tests of the admission metrics."""

import unittest

from harness.fake_clock import FakeClock
from pomelotrail_companion.admission import AdaptiveLimit, Scheduler, TargetOrder
from pomelotrail_companion.admission.limit import ColdEvidence
from pomelotrail_companion.admission.metrics import observe_admission
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.timeline import EventKind

from .builders import recorder


class AdmissionMetricsTest(unittest.TestCase):
    """The limit and slots are exported at the Prometheus endpoint."""

    def test_cold_server(self) -> None:
        """A cold server has a limit of one, and the timeline records the reason."""
        clock = FakeClock()
        events = recorder(clock)
        limit = AdaptiveLimit(5, clock, events)
        metrics = Metrics("ledger-1", "veraval")
        self.addCleanup(metrics.shut_down)
        observe_admission(
            metrics.meter("admission"), Scheduler(limit, TargetOrder(), clock)
        )
        text = metrics.render()
        self.assertRegex(text, r"pomelotrail_slot_limit\{.*\} 1\.0")
        self.assertRegex(text, r"pomelotrail_slots\{.*\} 5\.0")
        self.assertIs(events.events[0].kind, EventKind.BACKEND_SERVER_COLD)
        self.assertIn(ColdEvidence.STARTED.value, events.events[0].detail)
