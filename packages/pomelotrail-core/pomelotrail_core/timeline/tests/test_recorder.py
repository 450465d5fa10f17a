"""Tests of the ring of events."""

import unittest

from harness.fake_clock import FakeClock
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.service import decode_event, encode_event


class RecorderTest(unittest.TestCase):
    """The ring is bounded and names its events."""

    def test_oldest_events_give_way(self) -> None:
        """A full ring keeps the latest events and counts the lost ones."""
        recorder = Recorder("balancer-1", "veraval", FakeClock(), size=2)
        for _ in range(5):
            recorder.record(EventKind.FLOW_OPENED)
        self.assertEqual([event.sequence for event in recorder.events], [4, 5])
        self.assertEqual(recorder.lost, 3)

    def test_message_round_trip(self) -> None:
        """An event survives the way to another process."""
        recorder = Recorder("balancer-1", "veraval", FakeClock())
        recorder.record(EventKind.FLOW_REFUSED, flow="f", cause="c/1", detail="full")
        event = recorder.events[0]
        self.assertEqual(decode_event(encode_event(event)), event)
