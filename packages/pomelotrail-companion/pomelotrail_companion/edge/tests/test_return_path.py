"""Tests of the return path to the caller."""

import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from pomelotrail_companion.edge.return_path import ReturnPath
from pomelotrail_core.endpoint import Endpoint

_CALLER = ("198.51.100.4", 5000)
_BALANCERS = tuple(Endpoint(f"192.0.2.{n}", 7000).pack() for n in range(1, 4))


class ReturnPathTest(unittest.TestCase):
    """Answers are sent through a live balancer."""

    def setUp(self) -> None:
        """Set up a path with the first balancer as the last one used."""
        self.used: list[bytes] = []
        self.clock = FakeClock()
        self.path = ReturnPath(
            lambda data, caller, balancer: self.used.append(balancer),
            lambda: _BALANCERS,
            self.clock,
        )
        self.path.record_balancer(_BALANCERS[0])

    def test_answers_use_balancer_of_last_packet(self) -> None:
        """While packets arrive, answers use the balancer that forwarded them."""
        for _ in range(3):
            self.path.sendto(b"answer", _CALLER)
        self.assertEqual(set(self.used), {_BALANCERS[0]})

    def test_stale_path_tries_every_balancer(self) -> None:
        """A failed balancer does not block the flow."""
        self.clock.jump(timedelta(seconds=1))
        for _ in range(3):
            self.path.sendto(b"answer", _CALLER)
        self.assertEqual(set(self.used), set(_BALANCERS))
