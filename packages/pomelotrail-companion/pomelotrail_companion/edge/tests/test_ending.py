"""Tests of recording the end of flows."""

import unittest

from aioquic.quic.events import ConnectionTerminated

from harness.fake_clock import FakeClock
from pomelotrail_companion.edge.ending import IDLE_TIMEOUT_PHRASE, record_ending
from pomelotrail_core.timeline import Event, EventKind, Recorder


class EndingTest(unittest.TestCase):
    """Broken flows are distinguished from flows closed by a peer or with their zone."""

    def setUp(self) -> None:
        """Make a recorder."""
        self.recorder = Recorder("ledger-1", "veraval", FakeClock())

    def record_end(self, phrase: str, code: int = 0) -> Event:
        """End a flow and return the event."""
        termination = ConnectionTerminated(code, None, phrase)
        record_ending(self.recorder, "f1", termination)
        return self.recorder.events[-1]

    def test_idle_timeout_breaks_a_flow(self) -> None:
        """A flow that ends by idle timeout is broken."""
        self.assertIs(
            self.record_end(IDLE_TIMEOUT_PHRASE, 1).kind, EventKind.FLOW_BROKEN
        )

    def test_close_is_not_broken(self) -> None:
        """A flow closed by either side is closed, with its error code."""
        event = self.record_end("", 0x102)
        self.assertIs(event.kind, EventKind.FLOW_CLOSED)
        self.assertEqual(event.detail, "error code 0x102")

    def test_close_without_an_error(self) -> None:
        """A close without an error has no error code in its event."""
        for code in (0, 0x100):
            self.assertEqual(self.record_end("", code).detail, "without an error")

    def test_flow_of_a_zone_that_is_out(self) -> None:
        """An idle timeout in a zone that is out of service is not a broken flow."""
        order = self.recorder.record(EventKind.ZONE_OUT)
        event = self.record_end(IDLE_TIMEOUT_PHRASE, 1)
        self.assertIs(event.kind, EventKind.FLOW_CLOSED)
        self.assertEqual(event.cause, order)

    def test_zone_that_came_back(self) -> None:
        """An idle timeout after the zone is back in service is a broken flow."""
        self.recorder.record(EventKind.ZONE_OUT)
        self.recorder.record(EventKind.ZONE_BACK)
        self.assertIs(
            self.record_end(IDLE_TIMEOUT_PHRASE, 1).kind, EventKind.FLOW_BROKEN
        )
