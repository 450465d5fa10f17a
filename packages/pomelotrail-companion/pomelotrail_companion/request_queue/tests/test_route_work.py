"""Tests of the processing times of routes under changing loads."""

import unittest
from datetime import timedelta

from pomelotrail_companion.request_queue import RouteWork

_MILLISECOND = timedelta(milliseconds=1)


class RouteWorkTest(unittest.TestCase):
    """Averages of recent responses, for each route."""

    def setUp(self) -> None:
        """Start without responses."""
        self.work = RouteWork()
        self.now = timedelta()

    def answer(self, works_ms: list[float], route: bytes = b"a", gap: int = 50) -> None:
        """Record a response with each processing time, ``gap`` milliseconds apart."""
        for work_ms in works_ms:
            self.now += gap * _MILLISECOND
            self.work.record(route, work_ms * _MILLISECOND, self.now)

    def average_ms(self, route: bytes = b"a") -> float:
        """Return the average of a route."""
        average = self.work.average(route, self.now)
        assert average is not None
        return average / _MILLISECOND

    def test_mix_that_shifts(self) -> None:
        """Requests of a longer route don't make the others appear slower."""
        self.answer([10] * 20)
        self.answer([80, 80, 80, 10] * 10, b"b")
        self.assertAlmostEqual(self.average_ms(), 10, delta=0.1)

    def test_slowed_for_seconds(self) -> None:
        """A server at a fifth of its speed is noticed within 20 responses, and back."""
        self.answer([10] * 100)
        self.answer([50] * 20)
        self.assertGreater(self.average_ms(), 25)
        self.answer([10] * 40)
        self.assertLess(self.average_ms(), 15)

    def test_back_after_a_time_without_requests(self) -> None:
        """A server that lost its share shows with a few responses that it is back."""
        self.answer([50] * 100)
        self.now += timedelta(seconds=15)
        self.assertIsNone(self.work.average(b"a", self.now))
        self.answer([10] * 10)
        self.assertLess(self.average_ms(), 12)

    def test_few_responses(self) -> None:
        """Seven responses, or old ones, are no evidence."""
        self.answer([10] * 7)
        self.assertIsNone(self.work.average(b"a", self.now))
        self.answer([10] * 5, gap=20_000)
        self.assertIsNone(self.work.average(b"a", self.now))

    def test_single_long_request(self) -> None:
        """One request of seven times the length raises the average by an eighth."""
        self.answer([10] * 20)
        self.answer([70])
        self.assertLess(self.average_ms(), 11.25)
