"""Tests of the admission of new flows under different loads."""

import unittest
from datetime import timedelta

import msgspec

from pomelotrail_companion.opening_wait import (
    AdmissionByWait,
    Backlog,
    Decision,
    NewFlow,
    OnTimeShare,
)
from pomelotrail_companion.opening_wait.const import MAX_QUEUED_PER_SLOT

from .builders import ORDINARY, URGENT, WORK, backlog, flow, queued


class AdmissionByWaitTest(unittest.TestCase):
    """Which flows a backend server with one slot gets."""

    def decide(self, new_flow: NewFlow, work: Backlog) -> Decision:
        """Return the decision on a flow."""
        return AdmissionByWait().decide(new_flow, work)

    def test_late_requests_after_an_outage(self) -> None:
        """Late requests don't keep out a flow that can meet its target."""
        decision = self.decide(flow(), backlog(*queued(50, slack_ms=-1)))
        self.assertTrue(decision.is_on_time)
        self.assertEqual(decision.wait_on_time, WORK)
        self.assertEqual(decision.wait_late, 51 * WORK)

    def test_burst(self) -> None:
        """Flows are accepted until the next one would miss its target."""
        accepted = 0
        while self.decide(flow(), backlog(*queued(accepted))).is_accepted:
            accepted += 1
        self.assertEqual(accepted, 360 // 30)

    def test_urgent_flow_in_a_burst(self) -> None:
        """Requests of lower priority count for no urgent flow."""
        ordinary, urgent = queued(12, priority=ORDINARY), queued(12, priority=URGENT)
        self.assertFalse(self.decide(flow(), backlog(*urgent)).is_accepted)
        decision = self.decide(flow(priority=URGENT), backlog(*ordinary))
        self.assertEqual(decision.wait_on_time, WORK)
        self.assertFalse(
            self.decide(flow(priority=URGENT), backlog(*urgent)).is_accepted
        )

    def test_caller_has_waited(self) -> None:
        """A flow with little time left isn't accepted as on time behind others."""
        backlogged = backlog(*queued(5))
        self.assertTrue(self.decide(flow(slack_ms=200), backlogged).is_accepted)
        self.assertFalse(self.decide(flow(slack_ms=100), backlogged).is_accepted)

    def test_late_flow(self) -> None:
        """A late flow waits behind all others, or is declined at once."""
        backlogged = backlog(*queued(9), *queued(40, slack_ms=-1))
        late = flow(slack_ms=-1, max_wait_ms=1_600)
        self.assertTrue(self.decide(late, backlogged).is_accepted)
        self.assertFalse(self.decide(late, backlogged).is_on_time)
        backlogged = backlog(*queued(9), *queued(50, slack_ms=-1))
        self.assertFalse(self.decide(late, backlogged).is_accepted)

    def test_ordinary_flow_among_urgent_ones(self) -> None:
        """A flow waits longer where urgent requests take part of the server's time."""
        for share, is_accepted in ((0.0, True), (0.4, False)):
            backlogged = backlog(*queued(9), urgent_share=share)
            self.assertEqual(self.decide(flow(), backlogged).is_accepted, is_accepted)

    def test_late_flow_in_a_long_burst(self) -> None:
        """A late flow is declined where requests on time leave no time for it."""
        late = flow(slack_ms=-1, max_wait_ms=1_600)
        for share, is_accepted in ((0.5, True), (0.8, False), (1.0, False)):
            backlogged = backlog(*queued(11), on_time_share=share)
            self.assertEqual(self.decide(late, backlogged).is_accepted, is_accepted)

    def test_repeated_opening_in_a_long_burst(self) -> None:
        """A caller that has waited is kept, rather than returning on a new flow."""
        late = flow(slack_ms=-1, max_wait_ms=1_000, is_repeated=True)
        backlogged = backlog(*queued(11), on_time_share=1.0)
        self.assertTrue(self.decide(late, backlogged).is_accepted)

    def test_share_of_requests_on_time(self) -> None:
        """The share is that of the last second and a half."""
        share, now = OnTimeShare(), timedelta(seconds=9)
        for number in range(25):
            share.record(number % 2, now + number * timedelta(milliseconds=10))
        urgent = share.of_more_urgent(1, WORK, 1, now + timedelta(seconds=0.25))
        self.assertAlmostEqual(urgent, 0.26)
        for seconds, expected in ((0.25, 0.5), (1.62, 0.25), (2, 0.0)):
            later = now + timedelta(seconds=seconds)
            self.assertAlmostEqual(share.of_all(WORK, 1, later), expected, delta=0.02)

    def test_server_stops_responding(self) -> None:
        """The longer the running request takes, the longer the expected wait."""
        waits = [
            self.decide(flow(), backlog(running_ms=ms)).wait_on_time
            for ms in (0, 20, 30, 90, 500)
        ]
        expected = [timedelta(milliseconds=ms) for ms in (30, 10, 0, 60, 470)]
        self.assertEqual(waits, expected)
        self.assertFalse(self.decide(flow(), backlog(running_ms=500)).is_accepted)

    def test_unanswered_requests(self) -> None:
        """Failures in the last seconds count as work of a server that is free."""
        backlogged = backlog(running_ms=None, unanswered=4)
        self.assertEqual(self.decide(flow(), backlogged).wait_on_time, 4 * WORK)

    def test_long_queue_of_short_requests(self) -> None:
        """The number of waiting requests is bounded, however short they are."""
        work = timedelta(microseconds=1)
        backlogged = msgspec.structs.replace(
            backlog(*queued(MAX_QUEUED_PER_SLOT - 1)), work=work, work_upper_bound=work
        )
        self.assertTrue(self.decide(flow(), backlogged).is_accepted)
        longer = msgspec.structs.replace(
            backlogged, queued=tuple(queued(MAX_QUEUED_PER_SLOT))
        )
        late = flow(slack_ms=-1, max_wait_ms=1_600)
        self.assertFalse(self.decide(flow(), longer).is_accepted)
        self.assertFalse(self.decide(late, longer).is_accepted)

    def test_free_server(self) -> None:
        """A flow doesn't wait for a free slot."""
        decision = self.decide(flow(slack_ms=0), backlog(running_ms=None))
        self.assertTrue(decision.is_on_time)
