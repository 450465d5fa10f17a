"""Tests that the event of a flow that is not accepted has its cause."""

import unittest

from harness.builders import configuration
from pomelotrail_core.timeline import EventKind

from .builders import Bench, opening


class FlowCausesTest(unittest.TestCase):
    """Events of flows that are passed on or refused have a cause."""

    def setUp(self) -> None:
        """Make a companion."""
        self.bench = Bench()

    def test_full_companion_names_its_limit(self) -> None:
        """The event that changed the limit is the cause."""
        self.bench.admission.accepts_flows = False
        cold = self.bench.recorder.record(EventKind.BACKEND_SERVER_COLD)
        self.bench.route(opening())
        event = self.bench.recorder.events[-1]
        self.assertIs(event.kind, EventKind.FLOW_PASSED_ON)
        self.assertEqual(event.cause, cold)
        self.assertIn("no room", event.detail)

    def test_zone_out_names_the_order(self) -> None:
        """The event of the order is the cause of a refused flow."""
        self.bench.draining.configure(
            configuration(zones_out=frozenset({"veraval", "porbandar", "jafrabad"}))
        )
        order = self.bench.recorder.latest(EventKind.ZONE_OUT)
        self.bench.route(opening(), candidates=())
        event = self.bench.recorder.events[-1]
        self.assertIs(event.kind, EventKind.FLOW_REFUSED)
        self.assertEqual(event.cause, order)
        self.assertIn("zone out", event.detail)
