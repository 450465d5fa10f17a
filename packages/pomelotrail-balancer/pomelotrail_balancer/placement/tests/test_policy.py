"""Tests of the selection of companions under different loads."""

import random
import unittest
from collections import Counter
from datetime import timedelta

from pomelotrail_balancer.placement import (
    CompanionView,
    PlacementContext,
    ShortestQueue,
)
from pomelotrail_balancer.placement.const import (
    DEFAULT_MAX_WAIT,
    INITIAL_WORK_ESTIMATE,
    MAX_REQUESTS_PER_SLOT,
)

from .builders import companion

_NOW = timedelta(milliseconds=100)
_QUEUE_LIMIT = 4 * (DEFAULT_MAX_WAIT // INITIAL_WORK_ESTIMATE)


class ShortestQueueTest(unittest.TestCase):
    """Selection of the next companion that is offered a flow."""

    def setUp(self) -> None:
        """Create the policy of a balancer in zone-1."""
        self.policy = ShortestQueue("zone-1", random.Random(1))

    def choose(self, *companions: CompanionView, **known: list) -> tuple[int, int]:
        """Return the number of the chosen companion and the limit."""
        context = PlacementContext(
            known.pop("preferred", companions), companions, **known
        )
        choice = self.policy.choose(context, _NOW)
        if choice is None:
            return (0, 0)
        number = int(choice.companion.server.identity.rpartition("-")[2])
        return (number, choice.limit)

    def test_least_loaded(self) -> None:
        """The companion with the lowest reported load is offered a free slot only."""
        loads = zip((1, 2, 3), (3, 1, 2), strict=True)
        chosen = self.choose(*(companion(n, x, reported_ms=90) for n, x in loads))
        self.assertEqual(chosen, (2, 4))

    def test_old_reports_count_less(self) -> None:
        """Load that was reported 300 ms ago has been completed."""
        old = companion(1, 3, reported_ms=-200)
        self.assertEqual(self.choose(old, companion(2, 2, reported_ms=90))[0], 1)

    def test_offers_since_the_report_count(self) -> None:
        """Flows offered by this balancer since the report add to the load."""
        first, second = companion(1, 0), companion(2, 2, reported_ms=90)
        first.offered_flows = 3
        self.assertEqual(self.choose(first, second)[0], 2)

    def test_own_zone_preferred_at_similar_load(self) -> None:
        """The own zone is slightly preferred unless its load is higher."""
        near, far = companion(1, 1, reported_ms=90), companion(2, 0, zone="zone-2")
        self.assertEqual(self.choose(near, far)[0], 1)
        busy = companion(1, 3, reported_ms=90)
        self.assertEqual(self.choose(busy, far)[0], 2)

    def test_others_when_the_preferred_declined(self) -> None:
        """All others are offered the flow before it waits in a queue."""
        first, second = companion(1), companion(2, 3)
        chosen = self.choose(first, second, preferred=[first], declined=[first])
        self.assertEqual(chosen, (2, 4))

    def test_full_companions_with_recent_reports_are_skipped(self) -> None:
        """A server that was full 10 ms ago is skipped without an offer."""
        full = [companion(number, 4, reported_ms=90) for number in (1, 2)]
        self.assertEqual(self.choose(*full, companion(3, 3, reported_ms=90))[0], 3)

    def test_few_offers_when_all_are_full(self) -> None:
        """With old reports of many servers, a queue is chosen after a few offers."""
        companions = [companion(number, 4) for number in range(1, 46)]
        context = PlacementContext(companions[:7], companions)
        choice = self.policy.choose(context, _NOW)
        while choice.limit == 4:
            context.declined.append(choice.companion)
            choice.companion.record_report(8, 0, _NOW)
            choice = self.policy.choose(context, _NOW)
        self.assertEqual(len(context.declined), 9)

    def test_shortest_queue(self) -> None:
        """If no slot is free, the flow may wait in the shortest queue."""
        full = [companion(n, 4 + n, reported_ms=90) for n in (1, 2, 3)]
        self.assertEqual(self.choose(*full), (1, _QUEUE_LIMIT))

    def test_own_service_before_others(self) -> None:
        """A busier server of the selected service is chosen while it has a slot."""
        own, other = companion(1, 3, reported_ms=90), companion(2)
        self.assertEqual(self.choose(own, alternatives=[other]), (1, 4))

    def test_free_slot_of_another_service(self) -> None:
        """A free slot of another service of the route is better than a queue."""
        full = companion(1, 5, reported_ms=90)
        self.assertEqual(self.choose(full, alternatives=[companion(2)]), (2, 4))

    def test_few_offers_to_other_services(self) -> None:
        """With old reports of many servers, a queue is chosen after a few offers."""
        full = companion(1, 5, reported_ms=90)
        others = [companion(number, 7) for number in range(2, 40)]
        _, limit = self.choose(full, alternatives=others, declined=others[:1])
        self.assertEqual(limit, 4)
        _, limit = self.choose(full, alternatives=others, declined=others[:2])
        self.assertEqual(limit, _QUEUE_LIMIT)

    def test_shortest_queue_of_any_service(self) -> None:
        """If no server of the route has a free slot, the shortest queue is chosen."""
        own, other = companion(1, 9, reported_ms=90), companion(2, 5, reported_ms=90)
        chosen = self.choose(own, alternatives=[other])
        self.assertEqual(chosen, (2, _QUEUE_LIMIT))

    def test_refused_when_all_queues_are_full(self) -> None:
        """A flow is refused only if every companion declined to queue it."""
        full = [companion(n, 64, reported_ms=90) for n in (1, 2)]
        self.assertEqual(self.choose(*full, declined=full, full=full), (0, 0))

    def test_queue_limit_follows_the_work(self) -> None:
        """Requests wait for at most ``max_wait``, however fast the service is."""
        for work_ms, limit in ((6, 4 * 166), (60, 4 * 16), (600, 4), (0.01, 2_000)):
            full = companion(1)
            full.record_report(5, 0, _NOW, work_ms)
            chosen = self.choose(full, max_wait=timedelta(seconds=1))
            self.assertEqual(chosen, (1, limit))
        self.assertEqual(limit, 4 * MAX_REQUESTS_PER_SLOT)

    def test_shortest_wait_and_not_shortest_queue(self) -> None:
        """A slow server with few requests makes a flow wait for longer."""
        slow, fast = companion(1), companion(2)
        slow.record_report(5, 0, _NOW, 300)
        fast.record_report(10, 0, _NOW, 30)
        self.assertEqual(self.choose(slow, fast)[0], 2)

    def test_suspects_come_last(self) -> None:
        """Suspects are offered a flow only if no other companion can accept it."""
        suspect = companion(1)
        suspect.is_suspect = True
        other = companion(2, 3, reported_ms=90)
        self.assertEqual(self.choose(suspect, other)[0], 2)
        self.assertEqual(self.choose(suspect)[0], 1)

    def test_burst_is_distributed_evenly(self) -> None:
        """A burst between two reports is distributed evenly over all servers."""
        companions = [companion(number, reported_ms=90) for number in range(1, 6)]
        placed: Counter[int] = Counter()
        for _ in range(20):
            number, _ = self.choose(*companions)
            companions[number - 1].offered_flows += 1
            placed[number] += 1
        self.assertEqual(set(placed.values()), {4})

    def test_slow_server_when_the_others_are_busier(self) -> None:
        """A server at half speed is as good as one with a request ahead."""
        slow, other = companion(1, slots=1), companion(2, slots=1)
        known = {"speeds": {slow: 0.5}, "preferred": [slow]}
        self.assertEqual(self.choose(slow, other, **known), (2, 1))
        other.flows = 14
        self.assertEqual(self.choose(slow, other, **known), (2, 1))
        other.flows = 20
        self.assertEqual(self.choose(slow, other, **known), (1, 1))
        other.record_report(1, 0, _NOW)
        self.assertEqual(self.choose(slow, other, **known), (1, 1))

    def test_slow_server_in_a_queue(self) -> None:
        """The longer work of a slow server on the flow itself counts like a wait."""
        slow, other = companion(1, slots=1), companion(2, slots=1)
        slow.record_report(1, 0, _NOW, 30)
        other.record_report(3, 0, _NOW, 13)
        self.assertEqual(self.choose(slow, other)[0], 1)
        self.assertEqual(self.choose(slow, other, speeds={slow: 0.5})[0], 2)

    def test_learnt_concurrency_limits_the_free_slots(self) -> None:
        """A server that takes two requests well is full with two of eight slots."""
        limited, other = companion(1, slots=8), companion(2, 7, slots=8)
        limited.record_report(2, 0, _NOW, concurrency=2)
        other.record_report(7, 0, _NOW)
        self.assertEqual(self.choose(limited, other), (2, 8))
        limited.record_report(1, 0, _NOW, concurrency=2)
        self.assertEqual(self.choose(limited), (1, 2))
