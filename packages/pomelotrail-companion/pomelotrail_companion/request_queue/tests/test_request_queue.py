"""Tests of the order of waiting requests, with simulated backlogs."""

import heapq
import itertools
import random
import unittest
from datetime import timedelta

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pomelotrail_companion.request_queue import (
    OnTimeFirst,
    QueueDiscipline,
    RequestQueue,
    WaitingRequest,
    WorkEstimate,
)
from pomelotrail_core.flows import Packet
from stand_ins.flows import make_packet

_MS = timedelta(milliseconds=1)


class FirstComeFirstServed(QueueDiscipline):
    """Order of arrival, as the baseline for comparison."""

    def choose(self, waiting, now, work):  # noqa: ANN001, ANN201
        """Return the oldest request."""
        return min(waiting, key=lambda request: request.queued)


def request(name: str, since_ms: float, priority: int = 1, target_ms: float = 250):  # noqa: ANN201
    """Return a waiting request."""
    return WaitingRequest(name.encode(), since_ms * _MS, priority, target_ms * _MS)


def closing_packet() -> Packet:
    """Return the packet with which a caller closes its side of a flow."""
    packet = make_packet(b"caller", b"server", 1, 1)
    return msgspec.structs.replace(packet, finishes=True)


def replay(
    discipline: QueueDiscipline, arrivals: list[float], slots: int, work_ms: float
) -> int:
    """Return the number of requests that are answered within 250 ms."""
    queue = RequestQueue(discipline, WorkEstimate())
    slot_free_times = [0.0] * slots
    pending = sorted(arrivals)
    numbers = itertools.count()
    on_time = 0
    while pending or len(queue):
        now = heapq.heappop(slot_free_times)
        if not len(queue) and pending:
            now = max(now, pending[0])
        while pending and pending[0] <= now:
            since = pending.pop(0)
            queue.add(request(f"{next(numbers)}", since))
        next_request = queue.pop_next(now * _MS)
        end = now + work_ms
        on_time += (end - next_request.queued / _MS) <= 250
        heapq.heappush(slot_free_times, end)
    return on_time


class OnTimeFirstTest(unittest.TestCase):
    """Order in which requests run."""

    def choose(self, now_ms: float, *requests: WaitingRequest) -> str:
        """Return the name of the request that comes first."""
        return OnTimeFirst().choose(requests, now_ms * _MS, 60 * _MS).flow.decode()

    def test_on_time_before_late(self) -> None:
        """A late request runs after one that can meet its target."""
        self.assertEqual(
            self.choose(500, request("late", 0), request("new", 490)), "new"
        )

    def test_priority(self) -> None:
        """The priority of operators decides among requests on time."""
        urgent = request("urgent", 90, priority=0)
        self.assertEqual(self.choose(100, request("new", 99), urgent), "urgent")

    def test_late_requests_in_order(self) -> None:
        """Late requests run oldest first, so that none of them starves."""
        self.assertEqual(self.choose(900, request("b", 100), request("a", 0)), "a")

    def test_abandoned_request_comes_last(self) -> None:
        """A request whose caller closed its flow runs last, at any priority."""
        abandoned = request("abandoned", 490, priority=0)
        abandoned.add(closing_packet())
        late = request("late", 0, priority=100)
        self.assertEqual(self.choose(500, abandoned, late), "late")

    def test_requests_sent_again(self) -> None:
        """After an outage, abandoned requests don't delay the others."""
        waiting = [request(f"again-{i}", 900 + i, target_ms=100) for i in range(10)]
        for index in range(10):
            given_up = request(f"given-up-{index}", index)
            given_up.add(closing_packet())
            waiting.append(given_up)
        order = []
        while waiting:
            chosen = OnTimeFirst().choose(waiting, 2_000 * _MS, 60 * _MS)
            waiting.remove(chosen)
            order.append(chosen.flow.decode())
        self.assertTrue(all(name.startswith("again") for name in order[:10]))

    def test_backlog_of_an_outage(self) -> None:
        """Requests after an outage aren't delayed by the backlog."""
        rng = random.Random(5)
        backlog = [0.0] * 60
        steady = [rng.uniform(0, 3000) for _ in range(120)]
        arrivals = backlog + steady
        before = replay(FirstComeFirstServed(), arrivals, 5, 80)
        after = replay(OnTimeFirst(), arrivals, 5, 80)
        self.assertGreater(after, before + 20)
        self.assertGreaterEqual(after, 0.9 * len(steady))

    def test_burst_beyond_capacity(self) -> None:
        """At 150% of the capacity, most of the processed requests are on time."""
        rng = random.Random(6)
        arrivals = [rng.uniform(0, 4000) for _ in range(375)]
        before = replay(FirstComeFirstServed(), arrivals, 5, 80)
        after = replay(OnTimeFirst(), arrivals, 5, 80)
        self.assertGreater(after, before + 100)

    @given(st.lists(st.floats(0, 2000), min_size=1, max_size=60))
    def test_not_much_worse_than_order_of_arrival(self, arrivals: list[float]) -> None:
        """At any load, at most two more requests are late than in order of arrival."""
        before = replay(FirstComeFirstServed(), arrivals, 3, 80)
        self.assertGreaterEqual(replay(OnTimeFirst(), arrivals, 3, 80), before - 2)


class RequestQueueTest(unittest.TestCase):
    """Packets of waiting requests."""

    def test_empty(self) -> None:
        """An empty queue returns no request."""
        self.assertIsNone(RequestQueue(OnTimeFirst(), WorkEstimate()).pop_next(_MS))

    def test_estimate_converges(self) -> None:
        """The estimate converges to the measured duration."""
        estimate = WorkEstimate()
        for _ in range(60):
            estimate.record(200 * _MS)
        self.assertAlmostEqual(estimate.value / _MS, 200, delta=2)

    def test_first_response_replaces_the_default(self) -> None:
        """Services ten times faster or slower are estimated after one response."""
        for milliseconds in (6, 600):
            estimate = WorkEstimate()
            self.assertEqual(estimate.observed_ms, 0)
            estimate.record(milliseconds * _MS)
            self.assertEqual(estimate.observed_ms, milliseconds)
