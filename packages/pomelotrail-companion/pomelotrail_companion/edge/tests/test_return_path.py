"""Tests of the way back to the caller."""

import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from pomelotrail_companion.edge.return_path import ReturnPath
from pomelotrail_core.endpoint import Endpoint

_CALLER = ("198.51.100.4", 5000)
_BALANCERS = tuple(Endpoint(f"192.0.2.{n}", 7000).pack() for n in range(1, 4))


class ReturnPathTest(unittest.TestCase):
    """Answers find a balancer that lives."""

    def setUp(self) -> None:
        """Make a path that was used through the first balancer."""
        self.used: list[bytes] = []
        self.clock = FakeClock()
        self.path = ReturnPath(
            lambda data, caller, balancer: self.used.append(balancer),
            lambda: _BALANCERS,
            self.clock,
        )
        self.path.use(_BALANCERS[0])

    def test_answers_go_the_way_of_the_last_packet(self) -> None:
        """While packets arrive, answers go back the same way."""
        for _ in range(3):
            self.path.sendto(b"answer", _CALLER)
        self.assertEqual(set(self.used), {_BALANCERS[0]})

    def test_silence_makes_answers_try_every_balancer(self) -> None:
        """A balancer that died silently does not hold back the flow."""
        self.clock.jump(timedelta(seconds=1))
        for _ in range(3):
            self.path.sendto(b"answer", _CALLER)
        self.assertEqual(set(self.used), set(_BALANCERS))
