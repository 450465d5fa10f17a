"""Discrete-event simulation of backend servers behind the real admission code."""

import heapq
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import attrs

from pomelotrail_companion.admission import ConcurrencyLimit, Scheduler, TargetOrder
from pomelotrail_companion.admission.class_state import ScheduledRequest
from pomelotrail_companion.admission.messages import Decision, WorkResult
from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import RequestClass
from stand_ins.backend_server.capacity import Capacity

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class Simulation(Clock):
    """Runs events in order of time and provides that time as a clock."""

    def __init__(self) -> None:
        """Start at time zero without events."""
        self._elapsed = timedelta()
        self._events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._count = 0

    def now(self) -> datetime:
        """Return the simulated time of day."""
        return _EPOCH + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the simulated time since the start."""
        return self._elapsed

    async def async_sleep(self, delay: timedelta) -> None:
        """Raise an error; the simulation has events instead of tasks."""
        raise NotImplementedError("use call_later() in a simulation")

    def call_later(self, delay: timedelta, run: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self._elapsed + delay, self._count, run))

    def run_until(self, end: timedelta) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self._elapsed, _, run = heapq.heappop(self._events)
            run()
        self._elapsed = end


@attrs.define(eq=False)
class SimulatedServer:
    """A backend server with its companion's limit and scheduler.

    ``overruns`` counts requests beyond the server's capacity that start after an
    answer from which the companion can detect that the server is cold. Those that
    start earlier are ``unknowable_overruns``. A server that becomes cold again
    before it is warm gives the same answers as before, so its companion can't
    detect it until the server is warm.
    """

    simulation: Simulation
    limit: ConcurrencyLimit
    capacity: Capacity
    rng: random.Random
    sheds: bool = False
    overruns: int = 0
    unknowable_overruns: int = 0
    in_time: int = 0
    ended: int = 0
    refused: int = 0
    busy_seconds: float = 0.0
    scheduler: Scheduler = attrs.field(init=False)
    _undetected_cold_at: timedelta | None = attrs.field(init=False, default=None)
    _is_cold_again: bool = attrs.field(init=False, default=False)
    _busy_until: timedelta = attrs.field(init=False, factory=timedelta)

    def __attrs_post_init__(self) -> None:
        """Create the real scheduler in front of the capacity."""
        self.scheduler = Scheduler(self.limit, TargetOrder(), self.simulation)

    def reset_to_cold(self) -> None:
        """Reset the server to cold without notifying the companion."""
        self._is_cold_again = not self.capacity.is_warm
        self.capacity.reset_to_cold()
        self._undetected_cold_at = self.simulation.monotonic()

    def record_cold_known(self) -> None:
        """Record that the companion was notified: later overruns are detectable."""
        self._undetected_cold_at = None
        self._is_cold_again = False

    def offer(self, kind: RequestClass, work: timedelta) -> None:
        """Offer a request that takes ``work`` on a warm server to the scheduler."""
        now = self.simulation.monotonic()

        def decide(decision: Decision) -> None:
            """Start the request or count its refusal."""
            if decision is Decision.START:
                self._start(request, work)
                return
            self.refused += 1

        request = ScheduledRequest(kind, now, now + kind.deadline, decide)
        self.scheduler.offer(request)
        time_left = kind.deadline

        def expire() -> None:
            """Refuse the request if it is still waiting at its deadline."""
            if request.permit is None and request in self._waiting(kind):
                self.scheduler.refuse(request)

        if request.permit is None and request in self._waiting(kind):
            self.simulation.call_later(time_left, expire)

    def count_busy(self) -> None:
        """Add the busy slot time since the last call."""
        now = self.simulation.monotonic()
        elapsed = (now - self._busy_until).total_seconds()
        self.busy_seconds += elapsed * self.capacity.running
        self._busy_until = now

    def _waiting(self, kind: RequestClass) -> list[ScheduledRequest]:
        """Return the waiting requests of a class."""
        return list(self.scheduler._classes[kind.name].waiting)

    def _start(self, request: ScheduledRequest, work: timedelta) -> None:
        """Start a request at the backend server."""
        self.count_busy()
        request.ready_at = request.started
        is_within_capacity = self.capacity.start()
        if not is_within_capacity:
            is_knowable = self._undetected_cold_at is None and not self._is_cold_again
            self.overruns += is_knowable
            self.unknowable_overruns += not is_knowable
        if not is_within_capacity and self.sheds:
            self.simulation.call_later(timedelta(), lambda: self._shed(request))
            return
        duration = work * self.capacity.slowdown()
        self.simulation.call_later(duration, lambda: self._complete(request))

    def _shed(self, request: ScheduledRequest) -> None:
        """Shed a request with the backend server's documented answer."""
        self.count_busy()
        self.record_cold_known()
        self.capacity.end(False)
        self.scheduler.record_response_head(request, WorkResult.SHED)
        self.scheduler.end(request, WorkResult.SHED)

    def _complete(self, request: ScheduledRequest) -> None:
        """Complete a request."""
        self.count_busy()
        if (
            self._undetected_cold_at is not None
            and request.started >= self._undetected_cold_at
        ):
            self._undetected_cold_at = None
        self.capacity.end(True)
        if self.capacity.is_warm:
            self._is_cold_again = False
        self.ended += 1
        self.in_time += self.simulation.monotonic() <= request.target_deadline
        self.scheduler.record_response_head(request, WorkResult.COMPLETED)
        self.scheduler.end(request, WorkResult.COMPLETED)
