"""Tests of the ring of events."""

import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.service import decode_event, encode_event
from pomelotrail_core.timeline.timeline_pb2 import EventMessage


class RecorderTest(unittest.TestCase):
    """The ring is bounded and names its events."""

    def test_oldest_events_give_way(self) -> None:
        """A full ring keeps the latest events and counts the lost ones."""
        recorder = Recorder("balancer-1", "veraval", FakeClock(), size=2)
        for _ in range(5):
            recorder.record(EventKind.FLOW_OPENED)
        self.assertEqual([event.sequence for event in recorder.events], [4, 5])
        self.assertEqual(recorder.lost, 3)

    def test_many_requests_do_not_displace_what_explains_them(self) -> None:
        """The rare events stay when those about requests fill their ring."""
        recorder = Recorder("ledger-1", "veraval", FakeClock(), size=2)
        cold = recorder.record(EventKind.BACKEND_SERVER_COLD)
        for _ in range(5):
            recorder.record(EventKind.REQUEST_REFUSED, cause=cold)
        self.assertIn(cold, [event.identifier for event in recorder.events])

    def test_latest_of_several_kinds(self) -> None:
        """The latest event is found, also past the tenth."""
        recorder = Recorder("ledger-1", "veraval", FakeClock())
        self.assertEqual(recorder.latest(EventKind.DRAINING), "")
        for _ in range(11):
            drained = recorder.record(EventKind.DRAINING)
            cold = recorder.record(EventKind.BACKEND_SERVER_COLD)
        kinds = (EventKind.BACKEND_SERVER_COLD, EventKind.DRAINING)
        self.assertEqual(recorder.latest(*kinds), cold)
        self.assertEqual(recorder.latest(EventKind.DRAINING), drained)

    def test_restarted_process_has_other_identifiers(self) -> None:
        """The identifiers of two starts of a process never meet."""
        clock = FakeClock()
        first = Recorder("ledger-1", "veraval", clock)
        clock.jump(timedelta(seconds=1))
        second = Recorder("ledger-1", "veraval", clock)
        self.assertNotEqual(
            first.record(EventKind.PROCESS_STARTED),
            second.record(EventKind.PROCESS_STARTED),
        )

    def test_kind_of_a_newer_program(self) -> None:
        """A kind that is not known here is kept with its name."""
        message = EventMessage(process="b", kind="teleported", detail="far")
        event = decode_event(message)
        self.assertIs(event.kind, EventKind.OTHER)
        self.assertEqual(event.detail, "teleported: far")

    def test_message_round_trip(self) -> None:
        """An event survives the way to another process."""
        recorder = Recorder("balancer-1", "veraval", FakeClock())
        recorder.record(EventKind.FLOW_REFUSED, flow="f", cause="c/1", detail="full")
        event = recorder.events[0]
        self.assertEqual(decode_event(encode_event(event)), event)
