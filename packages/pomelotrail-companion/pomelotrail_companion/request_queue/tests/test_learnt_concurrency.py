"""Tests of the learnt number of concurrent requests under different loads."""

import unittest
from collections.abc import Callable
from datetime import timedelta

from pomelotrail_companion.request_queue import LearntConcurrency

_MILLISECOND = timedelta(milliseconds=1)
_SLOTS = 8


def _slows_after_3(running: int) -> float:
    """Return the processing time of a server that does 3 requests at a time."""
    return 30.0 * max(1.0, running / 3)


class LearntConcurrencyTest(unittest.TestCase):
    """The limit of one server; each second it is full once and idle once."""

    def setUp(self) -> None:
        """Start without responses."""
        self.learnt = LearntConcurrency()
        self.now = timedelta()
        self.limits: list[int | None] = []

    def serve(self, work_ms: Callable[[int], float], seconds: int) -> None:
        """Run up to as many requests as the limit allows, and record the limits."""
        for _ in range(seconds):
            self.now += timedelta(seconds=1)
            limit = self.learnt.limit(_SLOTS, self.now)
            self.limits.append(limit)
            for running in range(1, (limit or _SLOTS) + 1):
                for _ in range(5):
                    work = work_ms(running) * _MILLISECOND
                    self.learnt.record(running, _SLOTS, work, self.now)

    def test_slow_before_full(self) -> None:
        """The limit is one above the number that the server takes, and stays there."""
        self.serve(_slows_after_3, 60)
        self.assertEqual(set(self.limits[10:]), {4})

    def test_server_that_takes_all_its_slots(self) -> None:
        """A server that isn't slowed by its load has no limit."""
        self.serve(lambda _: 30.0, 60)
        self.assertEqual(set(self.limits), {None})

    def test_server_that_takes_more_again(self) -> None:
        """The limit rises step by step and is lifted."""
        self.serve(_slows_after_3, 20)
        self.serve(lambda _: 30.0, 60)
        self.assertIsNone(self.limits[-1])

    def test_never_below_two(self) -> None:
        """A server that takes one request at a time gets another for its start."""
        self.serve(lambda running: 30.0 * running**2, 60)
        self.assertEqual(set(self.limits[10:]), {2})

    def test_old_responses_are_forgotten(self) -> None:
        """Without requests for a minute there is no limit."""
        self.serve(_slows_after_3, 20)
        self.now += timedelta(seconds=60)
        self.assertIsNone(self.learnt.limit(_SLOTS, self.now))

    def test_many_slots(self) -> None:
        """Servers with many slots are observed in steps."""
        for _ in range(20):
            for running in range(1, 201):
                work = max(1.0, running / 100) * 30 * _MILLISECOND
                self.learnt.record(running, 200, work, self.now)
        limit = self.learnt.limit(200, self.now)
        assert limit is not None
        self.assertTrue(96 <= limit <= 144, limit)
