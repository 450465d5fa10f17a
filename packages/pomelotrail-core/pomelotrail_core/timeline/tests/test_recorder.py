"""Tests of the event recorder."""

import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.service import decode_event, encode_event
from pomelotrail_core.timeline.timeline_pb2 import EventMessage


class RecorderTest(unittest.TestCase):
    """The rings are bounded and events have unique identifiers."""

    def test_oldest_events_are_evicted(self) -> None:
        """A full ring keeps the latest events and counts evicted ones."""
        recorder = Recorder("balancer-1", "veraval", FakeClock(), size=2)
        for _ in range(5):
            recorder.record(EventKind.FLOW_OPENED)
        self.assertEqual([event.sequence for event in recorder.events], [4, 5])
        self.assertEqual(recorder.lost, 3)

    def test_request_events_do_not_evict_their_cause(self) -> None:
        """Rare events are kept when request events fill their own ring."""
        recorder = Recorder("ledger-1", "veraval", FakeClock(), size=2)
        cold = recorder.record(EventKind.BACKEND_SERVER_COLD)
        for _ in range(5):
            recorder.record(EventKind.REQUEST_REFUSED, cause=cold)
        self.assertIn(cold, [event.identifier for event in recorder.events])

    def test_latest_of_several_kinds(self) -> None:
        """The latest event is found when sequence numbers have two digits."""
        recorder = Recorder("ledger-1", "veraval", FakeClock())
        self.assertEqual(recorder.latest(EventKind.DRAINING), "")
        for _ in range(11):
            drained = recorder.record(EventKind.DRAINING)
            cold = recorder.record(EventKind.BACKEND_SERVER_COLD)
        kinds = (EventKind.BACKEND_SERVER_COLD, EventKind.DRAINING)
        self.assertEqual(recorder.latest(*kinds), cold)
        self.assertEqual(recorder.latest(EventKind.DRAINING), drained)

    def test_restarted_process_has_other_identifiers(self) -> None:
        """Event identifiers of two starts of a process differ."""
        clock = FakeClock()
        first = Recorder("ledger-1", "veraval", clock)
        clock.jump(timedelta(seconds=1))
        second = Recorder("ledger-1", "veraval", clock)
        self.assertNotEqual(
            first.record(EventKind.PROCESS_STARTED),
            second.record(EventKind.PROCESS_STARTED),
        )

    def test_event_kind_of_a_newer_release(self) -> None:
        """An unknown kind is decoded as ``OTHER`` and keeps its name."""
        message = EventMessage(process="b", kind="teleported", detail="far")
        event = decode_event(message)
        self.assertIs(event.kind, EventKind.OTHER)
        self.assertEqual(event.detail, "teleported: far")

    def test_message_round_trip(self) -> None:
        """Encoding and decoding an event preserves its fields."""
        recorder = Recorder("balancer-1", "veraval", FakeClock())
        recorder.record(EventKind.FLOW_REFUSED, flow="f", cause="c/1", detail="full")
        event = recorder.events[0]
        self.assertEqual(decode_event(encode_event(event)), event)
