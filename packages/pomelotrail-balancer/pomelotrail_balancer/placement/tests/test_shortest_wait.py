"""Tests of the selection of companions by the expected wait."""

import random
import unittest
from datetime import timedelta

from pomelotrail_balancer.placement import (
    Choice,
    CompanionView,
    PlacementBySlots,
    PlacementContext,
)
from pomelotrail_balancer.placement.const import (
    MAX_LATE_DECLINED,
    MAX_ON_TIME_DECLINED,
)

from .builders import companion

_NOW = timedelta(milliseconds=100)
_TARGET = timedelta(milliseconds=400)


def _busy(
    number: int, wait_ms: int, occupancy: int = 30, priority: int = 2
) -> CompanionView:
    """Return a companion whose server has one slot and a queue."""
    view = companion(number, occupancy, slots=1, reported_ms=100)
    view.record_wait(timedelta(milliseconds=wait_ms), priority, _NOW)
    return view


class ShortestWaitTest(unittest.TestCase):
    """Selection where servers run one request at a time."""

    def setUp(self) -> None:
        """Create the policy of a balancer in zone-1."""
        self.policy = PlacementBySlots("zone-1", random.Random(1))

    def context(self, *companions: CompanionView, age_ms: int = 0) -> PlacementContext:
        """Return the context of a flow whose caller has waited for a time."""
        return PlacementContext(
            companions,
            companions,
            max_wait=timedelta(seconds=1.6),
            target=_TARGET,
            priority=2,
            first_sent=_NOW - timedelta(milliseconds=age_ms),
        )

    def declined(self, context: PlacementContext) -> list[Choice]:
        """Return all choices for a flow that every companion declines."""
        choices = []
        while (choice := self.policy.choose(context, _NOW)) is not None:
            choices.append(choice)
            context.record_decline(choice)
        return choices

    def test_free_slot_first(self) -> None:
        """A free server is offered the flow by its limit."""
        context = self.context(_busy(1, 0), companion(2, 0, slots=1, reported_ms=100))
        choice = self.policy.choose(context, _NOW)
        self.assertEqual(choice.companion.server.identity, "server-2")
        self.assertIsNone(choice.max_wait)

    def test_shortest_wait_among_long_queues(self) -> None:
        """The wait of on-time flows decides, not the number of late requests."""
        context = self.context(_busy(1, 200, 10), _busy(2, 90, 50), _busy(3, 300, 5))
        choice = self.policy.choose(context, _NOW)
        self.assertEqual(choice.companion.server.identity, "server-2")
        self.assertEqual((choice.age, choice.max_wait), (timedelta(), timedelta()))

    def test_equal_waits(self) -> None:
        """Balancers whose reports are all old don't choose the same companion."""
        companions = [_busy(number, 0) for number in range(1, 9)]
        chosen = {
            PlacementBySlots("zone-1", random.Random(seed))
            .choose(self.context(*companions), _NOW)
            .companion.server.identity
            for seed in range(8)
        }
        self.assertGreater(len(chosen), 3)

    def test_offers_when_all_are_full(self) -> None:
        """A few companions are asked, then the flow is refused at once."""
        context = self.context(*(_busy(number, 100) for number in range(1, 30)))
        choices = self.declined(context)
        self.assertEqual(len(choices), MAX_ON_TIME_DECLINED + MAX_LATE_DECLINED)
        self.assertEqual(choices[-1].max_wait, timedelta(seconds=1.6))

    def test_cold_servers(self) -> None:
        """Servers that are idle because they are cold don't use up the offers."""
        cold = [_busy(number, 0, occupancy=0) for number in range(1, 7)]
        context = self.context(*cold, *(_busy(number, 90) for number in range(7, 10)))
        while (choice := self.policy.choose(context, _NOW)) is not None:
            if choice.companion not in cold:
                break
            context.record_decline(choice, is_busy=False)
        self.assertIsNotNone(choice)
        self.assertEqual(choice.max_wait, timedelta())

    def test_companions_of_an_earlier_version(self) -> None:
        """They read only the limit, so late flows have the one of a queue by count."""
        context = self.context(*(_busy(number, 390) for number in range(1, 4)))
        limits = [choice.limit for choice in self.declined(context)]
        self.assertEqual(limits, [1_600 // 60] * MAX_LATE_DECLINED)

    def test_reports_to_urgent_flows(self) -> None:
        """The short wait of urgent flows attracts no others."""
        views = [_busy(number, 300) for number in range(1, 9)]
        for view in views:
            view.record_wait(timedelta(milliseconds=20), 1, _NOW)
        with_room = _busy(9, 200)
        choice = self.policy.choose(self.context(*views, with_room), _NOW)
        self.assertIs(choice.companion, with_room)

    def test_reports_to_ordinary_flows(self) -> None:
        """An urgent flow is offered on time although others would be late."""
        context = self.context(*(_busy(number, 390) for number in range(1, 9)))
        context.priority = 1
        self.assertEqual(self.policy.choose(context, _NOW).max_wait, timedelta())

    def test_no_server_in_time(self) -> None:
        """A flow that can't meet its target anywhere is offered as late at once."""
        context = self.context(*(_busy(number, 390) for number in range(1, 9)))
        waits = [choice.max_wait for choice in self.declined(context)]
        self.assertEqual(waits, [timedelta(seconds=1.6)] * MAX_LATE_DECLINED)

    def test_caller_has_waited(self) -> None:
        """The third transmission of an opening packet is late, and waits for less."""
        context = self.context(_busy(1, 0), age_ms=600)
        choice = self.policy.choose(context, _NOW)
        self.assertEqual(choice.max_wait, timedelta(seconds=1))

    def test_wait_passes(self) -> None:
        """A reported wait counts less with time, and more with each further offer."""
        view = _busy(1, 100)
        later = _NOW + timedelta(milliseconds=70)
        self.assertEqual(view.expected_wait(2, later), timedelta(milliseconds=30))
        view.offered_flows = 2
        expected = timedelta(milliseconds=30) + 2 * view.work
        self.assertEqual(view.expected_wait(2, later), expected)

    def test_alternative_with_several_slots(self) -> None:
        """No server with several slots is asked by the wait."""
        context = self.context(_busy(1, 100))
        context.alternatives = [companion(2, 30, slots=4, reported_ms=100)]
        ages = [choice.age for choice in self.declined(context)]
        self.assertEqual(set(ages), {None})

    def test_report_of_no_work(self) -> None:
        """A reported processing time below a microsecond can't be divided by."""
        view = _busy(1, 100)
        view.record_report(30, 0, _NOW, work_ms=1e-5)
        self.assertIsNotNone(self.policy.choose(self.context(view), _NOW))

    def test_several_slots(self) -> None:
        """Where servers have several slots, the limit decides as before."""
        reports = ((1, 9), (2, 8))
        context = self.context(*(companion(*each, reported_ms=100) for each in reports))
        choice = self.policy.choose(context, _NOW)
        self.assertEqual(choice.companion.server.identity, "server-2")
        self.assertIsNone(choice.age)
        self.assertGreater(choice.limit, 4)
