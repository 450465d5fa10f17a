"""Tests of the recorded causes of draining events."""

import unittest
from unittest import mock

from harness.builders import configuration
from harness.fake_clock import FakeClock
from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.leaving import LeavingStep, RefusingRelay
from pomelotrail_companion.requests import Request
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.timeline import EventKind, Recorder


class DrainingCausesTest(unittest.IsolatedAsyncioTestCase):
    """Draining events name the configuration version or the signal as cause."""

    def setUp(self) -> None:
        """Create the draining state of a backend server."""
        self.recorder = Recorder("ledger-1", "porbandar", FakeClock())
        self.draining = DrainingState("ledger-1", "porbandar", self.recorder)

    def test_zone_out_names_the_version(self) -> None:
        """The configuration version that takes the zone out is the cause."""
        version = self.recorder.record(EventKind.CONFIGURATION_IN_FORCE)
        self.draining.configure(configuration(zones_out=frozenset({"porbandar"})))
        event = self.recorder.events[-1]
        self.assertIs(event.kind, EventKind.ZONE_OUT)
        self.assertEqual(event.cause, version)

    async def test_relayed_request_names_the_order(self) -> None:
        """A relayed request names the drain order as its cause."""
        self.draining.stop()
        order = self.recorder.latest(EventKind.DRAINING)
        step = LeavingStep(
            lambda: not self.draining.accepts_new_flows,
            RefusingRelay(),
            self.recorder,
            mock.Mock(),
        )
        request = Request("f1-0", "f1", "GET", "/board", (), async_chunks())
        await step.async_handle(request)
        event = self.recorder.events[-1]
        self.assertIs(event.kind, EventKind.REQUEST_RELAYED)
        self.assertEqual(event.cause, order)

    def test_shutdown_names_the_signal(self) -> None:
        """The stop signal is the cause, not an earlier configuration version."""
        self.recorder.record(EventKind.CONFIGURATION_IN_FORCE)
        signal = self.recorder.record(EventKind.PROCESS_STOPPING)
        self.draining.stop()
        self.assertEqual(self.recorder.events[-1].cause, signal)
