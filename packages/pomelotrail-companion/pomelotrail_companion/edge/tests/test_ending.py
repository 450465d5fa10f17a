"""Tests of recording how flows end."""

import unittest

from aioquic.quic.events import ConnectionTerminated

from harness.fake_clock import FakeClock
from pomelotrail_companion.edge.ending import IDLE_PHRASE, record_ending
from pomelotrail_core.timeline import Event, EventKind, Recorder


class EndingTest(unittest.TestCase):
    """Broken flows are told from closed ones and from those given up."""

    def setUp(self) -> None:
        """Make a recorder."""
        self.recorder = Recorder("ledger-1", "veraval", FakeClock())

    def end(self, phrase: str, code: int = 0) -> Event:
        """End a flow and return the event."""
        termination = ConnectionTerminated(code, None, phrase)
        record_ending(self.recorder, "f1", termination)
        return self.recorder.events[-1]

    def test_silence_breaks_a_flow(self) -> None:
        """A flow that fell silent is broken."""
        self.assertIs(self.end(IDLE_PHRASE, 1).kind, EventKind.FLOW_BROKEN)

    def test_close_is_not_broken(self) -> None:
        """A flow that a side closed is closed, with its error code."""
        event = self.end("", 0x102)
        self.assertIs(event.kind, EventKind.FLOW_CLOSED)
        self.assertEqual(event.detail, "error code 0x102")

    def test_close_without_an_error(self) -> None:
        """A plain goodbye needs no error code."""
        for code in (0, 0x100):
            self.assertEqual(self.end("", code).detail, "without an error")

    def test_flow_of_a_zone_that_is_out(self) -> None:
        """Silence in a zone that operators took out is no broken flow."""
        order = self.recorder.record(EventKind.ZONE_OUT)
        event = self.end(IDLE_PHRASE, 1)
        self.assertIs(event.kind, EventKind.FLOW_CLOSED)
        self.assertEqual(event.cause, order)

    def test_zone_that_came_back(self) -> None:
        """Once the zone is back, silence breaks a flow again."""
        self.recorder.record(EventKind.ZONE_OUT)
        self.recorder.record(EventKind.ZONE_BACK)
        self.assertIs(self.end(IDLE_PHRASE, 1).kind, EventKind.FLOW_BROKEN)
