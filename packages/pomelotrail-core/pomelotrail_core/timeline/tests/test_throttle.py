"""Tests of the limit on repeated events."""

import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.throttle import EVENTS_PER_INTERVAL, EventThrottle


class EventThrottleTest(unittest.TestCase):
    """A burst of one kind doesn't evict other events."""

    def setUp(self) -> None:
        """Create a throttle with a clock that doesn't advance."""
        self.clock = FakeClock()
        self.recorder = Recorder("p", "z", self.clock)
        self.throttle = EventThrottle(self.recorder, self.clock)

    def test_burst_is_limited_and_counted(self) -> None:
        """The next interval's first event has the number of suppressed events."""
        for _ in range(EVENTS_PER_INTERVAL + 500):
            self.throttle.record(EventKind.PACKET_DROPPED, detail="mac")
        self.assertEqual(len(self.recorder.events), EVENTS_PER_INTERVAL)
        self.clock.jump(timedelta(seconds=1))
        self.throttle.record(EventKind.PACKET_DROPPED, detail="mac")
        self.assertIn("500 more", self.recorder.events[-1].detail)

    def test_kinds_have_separate_limits(self) -> None:
        """Dropped packets don't suppress events about refused flows."""
        for _ in range(EVENTS_PER_INTERVAL + 1):
            self.throttle.record(EventKind.PACKET_DROPPED)
        self.assertTrue(self.throttle.record(EventKind.FLOW_REFUSED))
