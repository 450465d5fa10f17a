"""Tests that orders are named as the causes of what a companion does."""

import unittest
from unittest import mock

from harness.builders import configuration
from harness.fake_clock import FakeClock
from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.leaving import LeavingStep, NoRelay
from pomelotrail_companion.requests import Request
from pomelotrail_companion.requests.messages import async_pieces
from pomelotrail_core.timeline import EventKind, Recorder


class DrainingCausesTest(unittest.IsolatedAsyncioTestCase):
    """Leaving names the version or the signal that ordered it."""

    def setUp(self) -> None:
        """Follow the orders for a backend server."""
        self.recorder = Recorder("ledger-1", "porbandar", FakeClock())
        self.draining = DrainingState("ledger-1", "porbandar", self.recorder)

    def test_zone_out_names_the_version(self) -> None:
        """The version that took the zone out is the cause."""
        version = self.recorder.record(EventKind.CONFIGURATION_IN_FORCE)
        self.draining.configure(configuration(zones_out=frozenset({"porbandar"})))
        event = self.recorder.events[-1]
        self.assertIs(event.kind, EventKind.ZONE_OUT)
        self.assertEqual(event.cause, version)

    async def test_relayed_request_names_the_order(self) -> None:
        """A request that another companion runs names why it was handed over."""
        self.draining.stop()
        order = self.recorder.latest(EventKind.DRAINING)
        step = LeavingStep(
            lambda: not self.draining.takes_new_flows,
            NoRelay(),
            self.recorder,
            mock.Mock(),
        )
        request = Request("f1-0", "f1", "GET", "/board", (), async_pieces())
        await step.async_handle(request)
        event = self.recorder.events[-1]
        self.assertIs(event.kind, EventKind.REQUEST_RELAYED)
        self.assertEqual(event.cause, order)

    def test_shutdown_names_the_signal(self) -> None:
        """The signal to stop is the cause, not an earlier version."""
        self.recorder.record(EventKind.CONFIGURATION_IN_FORCE)
        signal = self.recorder.record(EventKind.PROCESS_STOPPING)
        self.draining.stop()
        self.assertEqual(self.recorder.events[-1].cause, signal)
