"""Model of balancers that place requests on servers with one slot each."""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import (
    CompanionView,
    PlacementContext,
    ServerSpeeds,
    ShortestQueue,
)
from pomelotrail_balancer.placement.tests.builders import companion
from pomelotrail_companion.request_queue import RouteWork
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog

_MILLISECOND = timedelta(milliseconds=1)
_ROUTE = b"route"
_PREFERRED = 7
_MAX_OFFERS = 14
_REPLY_TIMEOUT_MS = 40
_PING_INTERVAL_MS = 200


class SilentLog(EventLog):
    """A log that writes nothing."""

    def __init__(self) -> None:
        """Initialize without a writer."""

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write nothing."""


class ModelServer(msgspec.Struct, eq=False):
    """A server that works on one request at a time, and its companion."""

    work_ms: Callable[[float], float]
    waiting: deque[float] = msgspec.field(default_factory=deque)
    learnt: RouteWork = msgspec.field(default_factory=RouteWork)


class ModelBalancer:
    """A balancer with its own view of all companions."""

    def __init__(self, servers: int, rng: random.Random, learns: bool) -> None:
        """Initialize without reports."""
        self.views = [
            companion(number + 1, slots=1, reported_ms=None)
            for number in range(servers)
        ]
        self.speeds = ServerSpeeds(SilentLog(), Counters())
        self._policy = ShortestQueue("zone-1", rng)
        self._rng = rng
        self._learns = learns

    def place(self, accept: Callable[[int, int], bool], now: timedelta) -> int | None:
        """Offer a request until a server accepts it; return its index."""
        speeds = self.speeds.slow_servers("ledger", now) if self._learns else {}
        preferred = self._rng.sample(self.views, _PREFERRED)
        context = PlacementContext(preferred, self.views, speeds=speeds)
        for _ in range(_MAX_OFFERS):
            choice = self._policy.choose(context, now)
            if choice is None:
                return None
            choice.companion.offered_flows += 1
            index = self.views.index(choice.companion)
            if accept(index, choice.limit):
                return index
            context.declined.append(choice.companion)
            if choice.may_wait:
                context.full.append(choice.companion)
        return None


class SpeedModel:
    """Requests of many balancers; of their reports, ``lost`` is the share lost.

    Reports arrive ``delay_ms`` late::

    model = SpeedModel([lambda ms: 13.0] * 16, learns=True)
    model.run(per_s=400, seconds=8)
    """

    def __init__(
        self,
        works_ms: Sequence[Callable[[float], float]],
        learns: bool,
        balancers: int = 8,
        delay_ms: float = 100,
        lost: float = 0.0,
    ) -> None:
        """Initialize idle servers with the processing time at a time of the day."""
        self._rng = random.Random(1)
        self.servers = [ModelServer(work) for work in works_ms]
        self._balancers = [
            ModelBalancer(len(works_ms), self._rng, learns) for _ in range(balancers)
        ]
        self._delay_ms = delay_ms
        self._lost = lost
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.placed: list[Counter[int]] = []
        self.delays_ms: list[float] = []

    def run(self, per_s: float, seconds: int) -> None:
        """Place requests at a steady rate."""
        at = 0.0
        while at < seconds * 1000:
            at += self._rng.expovariate(per_s / 1000)
            self._at(at, self._open)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            event(now)

    def placed_from(self, second: int) -> Counter[int]:
        """Return the number of requests of each server from a second on."""
        return sum(self.placed[second:], Counter())

    def _at(self, now: float, event: Callable[[float], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self._events, (now, next(self._numbers), event))

    def _open(self, now: float) -> None:
        """Place a request of a random balancer."""
        balancer = self._rng.choice(self._balancers)

        def accept(index: int, limit: int) -> bool:
            """Offer the request to a server, which reports its load."""
            server = self.servers[index]
            accepts = len(server.waiting) < limit
            if accepts:
                server.waiting.append(now)
                if len(server.waiting) == 1:
                    self._start(server, now)
            self._report(balancer, balancer.views[index], server, now)
            return accepts

        index = balancer.place(accept, now * _MILLISECOND)
        while len(self.placed) <= now // 1000:
            self.placed.append(Counter())
        if index is not None:
            self.placed[-1][index] += 1

    def _report(
        self,
        balancer: ModelBalancer,
        view: CompanionView,
        server: ModelServer,
        now: float,
    ) -> None:
        """Send a report that arrives late."""
        occupancy = len(server.waiting)
        work = server.learnt.average(_ROUTE, now * _MILLISECOND)

        def receive(at: float) -> None:
            """Record the report."""
            work_ms = work / _MILLISECOND if work is not None else 0.0
            view.record_report(occupancy, 0, at * _MILLISECOND, work_ms)
            if work is not None:
                balancer.speeds.record(view, _ROUTE, work, at * _MILLISECOND)

        def suspect(_: float) -> None:
            """Avoid the server until it answers a ping."""
            view.is_suspect = True

        def receive_pong(at: float) -> None:
            """Record the report in the answer to a ping."""
            view.record_report(len(server.waiting), 0, at * _MILLISECOND)

        if self._lost == 0.0 or self._rng.random() >= self._lost:
            self._at(now + self._delay_ms, receive)
        else:
            self._at(now + _REPLY_TIMEOUT_MS, suspect)
            self._at(now + _REPLY_TIMEOUT_MS + _PING_INTERVAL_MS, receive_pong)

    def _start(self, server: ModelServer, now: float) -> None:
        """Work on the first waiting request."""
        work_ms = server.work_ms(now) * self._rng.uniform(0.5, 1.5)

        def complete(at: float) -> None:
            """Record the processing time, and start the next request."""
            self.delays_ms.append(at - server.waiting.popleft())
            server.learnt.record(_ROUTE, (at - now) * _MILLISECOND, at * _MILLISECOND)
            if server.waiting:
                self._start(server, at)

        self._at(now + work_ms, complete)
