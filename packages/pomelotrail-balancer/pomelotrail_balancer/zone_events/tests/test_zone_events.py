"""Tests of the events for availability zones."""

import unittest

from harness.builders import configuration
from harness.fake_clock import FakeClock
from pomelotrail_balancer.zone_events import ZoneEvents
from pomelotrail_core.timeline import EventKind, Recorder


class ZoneEventsTest(unittest.TestCase):
    """Each change is recorded once, with the configuration as its cause."""

    def test_out_and_back(self) -> None:
        """A zone is taken out and restored; unchanged configurations add no event."""
        recorder = Recorder("balancer-1", "veraval", FakeClock())
        events = ZoneEvents(recorder)
        out = frozenset({"porbandar"})
        version = recorder.record(EventKind.CONFIGURATION_IN_FORCE)
        for zones_out in (frozenset(), out, out, frozenset()):
            events.configure(configuration(zones_out=zones_out))
        kinds = [event.kind for event in recorder.events[1:]]
        self.assertEqual(kinds, [EventKind.ZONE_OUT, EventKind.ZONE_BACK])
        self.assertEqual(recorder.events[1].cause, version)
