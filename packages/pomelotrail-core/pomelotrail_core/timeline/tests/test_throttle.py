"""Tests of the limit on repeated events."""

import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.throttle import EVENTS_PER_INTERVAL, EventThrottle


class EventThrottleTest(unittest.TestCase):
    """A storm of one kind leaves room for every other event."""

    def setUp(self) -> None:
        """Make a throttle on a clock that stands still."""
        self.clock = FakeClock()
        self.recorder = Recorder("p", "z", self.clock)
        self.throttle = EventThrottle(self.recorder, self.clock)

    def test_storm_is_bounded_and_counted(self) -> None:
        """The first event of the next second says how many were left out."""
        for _ in range(EVENTS_PER_INTERVAL + 500):
            self.throttle.record(EventKind.PACKET_DROPPED, detail="mac")
        self.assertEqual(len(self.recorder.events), EVENTS_PER_INTERVAL)
        self.clock.jump(timedelta(seconds=1))
        self.throttle.record(EventKind.PACKET_DROPPED, detail="mac")
        self.assertIn("500 more", self.recorder.events[-1].detail)

    def test_kinds_do_not_share_the_bound(self) -> None:
        """Drops do not hide flows that were refused."""
        for _ in range(EVENTS_PER_INTERVAL + 1):
            self.throttle.record(EventKind.PACKET_DROPPED)
        self.assertTrue(self.throttle.record(EventKind.FLOW_REFUSED))
