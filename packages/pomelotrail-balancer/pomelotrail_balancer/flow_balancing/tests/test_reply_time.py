"""Tests of the time after which a reply is overdue."""

import unittest
from datetime import timedelta

from pomelotrail_balancer.flow_balancing.reply_time import ReplyTime

_MINIMUM = timedelta(milliseconds=40)


class ReplyTimeTest(unittest.TestCase):
    """Replies whose time changes with the queue on a link."""

    def setUp(self) -> None:
        """Create an empty average."""
        self.reply_time = ReplyTime()

    def test_without_observations(self) -> None:
        """The minimum applies until the first reply."""
        self.assertEqual(self.reply_time.timeout(_MINIMUM), _MINIMUM)

    def test_fast_replies(self) -> None:
        """The minimum applies while replies take milliseconds."""
        for _ in range(20):
            self.reply_time.record(timedelta(milliseconds=3))
        self.assertEqual(self.reply_time.timeout(_MINIMUM), _MINIMUM)

    def test_growing_queue(self) -> None:
        """Replies that take longer and longer are not overdue before they arrive."""
        for milliseconds in range(3, 1_000, 20):
            self.reply_time.record(timedelta(milliseconds=milliseconds))
        self.assertGreater(
            self.reply_time.timeout(_MINIMUM), timedelta(milliseconds=1_000)
        )

    def test_after_the_queue_has_gone(self) -> None:
        """The minimum applies again once replies are fast."""
        for _ in range(10):
            self.reply_time.record(timedelta(seconds=1))
        for _ in range(90):
            self.reply_time.record(timedelta(milliseconds=3))
        self.assertEqual(self.reply_time.timeout(_MINIMUM), _MINIMUM)

    def test_failed_companions(self) -> None:
        """A few companions that don't reply change nothing."""
        self.reply_time.record(timedelta(milliseconds=3))
        for _ in range(3):
            self.reply_time.record_overdue()
        self.assertEqual(self.reply_time.backed_off_timeout(_MINIMUM), _MINIMUM)

    def test_no_replies_at_all(self) -> None:
        """The timeout doubles until a reply arrives, up to a maximum."""
        timeouts = []
        for _ in range(9):
            self.reply_time.record_overdue()
            timeouts.append(self.reply_time.backed_off_timeout(_MINIMUM) // _MINIMUM)
        self.assertEqual(timeouts, [1, 1, 1, 2, 4, 8, 16, 16, 16])
        self.reply_time.record(timedelta(milliseconds=3))
        self.assertEqual(self.reply_time.backed_off_timeout(_MINIMUM), _MINIMUM)

    def test_lookups_do_not_wait_for_offers(self) -> None:
        """After a power loss, companions are silent until they have started."""
        for _ in range(9):
            self.reply_time.record_overdue()
        self.assertEqual(self.reply_time.timeout(_MINIMUM), _MINIMUM)
