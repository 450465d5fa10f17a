"""Tests of the limit on concurrent requests and the reported processing times."""

import unittest
from datetime import timedelta
from unittest import mock

from pomelotrail_companion.request_queue import LearntConcurrency, WorkEstimate
from pomelotrail_companion.server_proxy.request_gate import RequestGate
from pomelotrail_companion.server_proxy.server_flows import ServerFlow, ServerFlows

_MILLISECOND = timedelta(milliseconds=1)
_ROUTES = (b"5" * 6, b"6" * 6)


class RequestGateTest(unittest.TestCase):
    """Requests of several callers to two routes of one server."""

    def setUp(self) -> None:
        """Create the gate of an idle server."""
        estimate = WorkEstimate()
        self.flows = ServerFlows(estimate, timedelta(seconds=60))
        self.gate = RequestGate(
            self.flows, estimate, LearntConcurrency(), learns_speed=True
        )
        self.now = timedelta()
        self.callers = 0

    def request(self, route: bytes = _ROUTES[0]) -> ServerFlow | None:
        """Send a request on a new flow; return it if it goes to the server."""
        self.callers += 1
        flow = self.callers.to_bytes(6) + route
        entry = self.flows.open(flow, ("192.0.2.1", 1), 1, self.now)
        self.flows.record_caller_data(entry, 100, 50, self.now)
        packet = mock.Mock(resets=False, size=50)
        return entry if self.gate.admit(entry, packet, self.now) else None

    def answer(self, *entries: ServerFlow | None, work_ms: float) -> None:
        """Let the server answer after a time."""
        self.now += work_ms * _MILLISECOND
        for entry in entries:
            assert entry is not None
            self.gate.record_response(entry, self.now)

    def test_work_of_a_route(self) -> None:
        """With one slot, the time of the flow's own route is reported."""
        self.gate.set_slots(1)
        for work_ms, route in zip((10, 80), _ROUTES, strict=True):
            for _ in range(10):
                self.answer(self.request(route), work_ms=work_ms)
        for work_ms, route in zip((10, 80), _ROUTES, strict=True):
            reported = self.gate.route_work_ms(bytes(6) + route, self.now)
            assert reported is not None
            self.assertAlmostEqual(reported, work_ms, places=6)
        self.gate.set_slots(2)
        self.assertIsNone(self.gate.route_work_ms(bytes(6) + _ROUTES[0], self.now))

    def test_off_by_default(self) -> None:
        """Without the option, no processing time of a route is reported."""
        self.gate = RequestGate(self.flows, WorkEstimate(), None)
        self.gate.set_slots(1)
        for _ in range(10):
            self.answer(self.request(), work_ms=10)
        self.assertIsNone(self.gate.route_work_ms(bytes(6) + _ROUTES[0], self.now))

    def test_resets_are_no_speed(self) -> None:
        """Requests that end without a response don't count, however soon they do."""
        self.gate.set_slots(1)
        for _ in range(10):
            entry = self.request()
            assert entry is not None
            self.now += _MILLISECOND
            self.flows.record_unanswered(entry, self.now)
        self.assertIsNone(self.gate.route_work_ms(bytes(6) + _ROUTES[0], self.now))

    def test_learnt_limit(self) -> None:
        """A server that does one request at a time gets two and not four."""
        self.gate.set_slots(4)
        for running in range(1, 5):
            entries = [self.request() for _ in range(running)]
            for _ in range(20):
                self.answer(entries.pop(0), work_ms=30)
                entries.append(self.request())
            self.answer(*entries, work_ms=30)
        self.assertIsNone(self.gate.limit)
        self.assertIsNotNone(self.gate.learn_concurrency(self.now))
        self.assertIsNone(self.gate.learn_concurrency(self.now))
        started = [self.request() is not None for _ in range(4)]
        self.assertEqual((self.gate.limit, started), (2, [True, True, False, False]))
