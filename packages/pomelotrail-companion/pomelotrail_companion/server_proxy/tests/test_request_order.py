"""Tests of the order in which the requests of a backend server run."""

import unittest
from datetime import timedelta

import msgspec

from pomelotrail_companion.request_queue import WorkEstimate
from pomelotrail_companion.server_proxy import ServerFlows
from pomelotrail_companion.server_proxy.request_gate import RequestGate
from stand_ins.flows import make_packet

_NOW = timedelta(seconds=5)
_MS = timedelta(milliseconds=1)


class RequestOrderTest(unittest.TestCase):
    """Requests that wait for a server, as the slots in offers change."""

    def setUp(self) -> None:
        """Let two requests wait for the only slot."""
        estimate = WorkEstimate()
        self.flows = ServerFlows(estimate, timedelta(minutes=1))
        self.gate = RequestGate(self.flows, estimate, None)
        self.gate.set_slots(1)
        for number in range(3):
            flow, now = b"%d" % number, _NOW + number * _MS
            entry = self.flows.open(flow, ("192.0.2.1", 1), number, now)
            self.flows.record_caller_data(entry, 1, 9, now)
            packet = make_packet(b"caller", b"server", 1, 1)
            self.gate.admit(entry, msgspec.structs.replace(packet, size=9), now)

    def released(self) -> list[bytes]:
        """Return the flows in the order in which their requests run."""
        order, running = [], self.flows.get(b"0")
        for _ in range(2):
            self.flows.close(running)
            (request,) = self.gate.release(_NOW + 10 * _MS)
            order.append(request.flow)
            running = self.flows.get(request.flow)
        return order

    def test_one_slot(self) -> None:
        """The earliest deadline goes first where flows are admitted by wait."""
        self.gate.order_by_deadline()
        self.assertEqual(self.released(), [b"1", b"2"])

    def test_slots_are_added(self) -> None:
        """With several slots, the newest goes first again."""
        self.gate.order_by_deadline()
        self.gate.set_slots(2)
        self.gate.set_slots(1)
        self.assertEqual(self.released(), [b"2", b"1"])
