"""State of one request class and of its scheduled requests."""

import math
from collections import deque
from collections.abc import Callable
from datetime import timedelta

import attrs

from pomelotrail_core.configuration import RequestClass

from .const import SERVICE_TIME_GAIN, TARGET_HALF_LIFE, USE_HALF_LIFE
from .limit import Permit
from .messages import Decision


@attrs.define
class DecayingSum:
    """A sum whose addends decay by half every half-life."""

    half_life: timedelta
    _sum: float = attrs.field(init=False, default=0.0)
    _at: timedelta = attrs.field(init=False, factory=timedelta)

    def add(self, addend: float, now: timedelta) -> None:
        """Add a value at the monotonic time ``now``."""
        self._sum = self.value(now) + addend
        self._at = now

    def value(self, now: timedelta) -> float:
        """Return the sum at the monotonic time ``now``."""
        return self._sum * 0.5 ** ((now - self._at) / self.half_life)


@attrs.define(eq=False)
class ScheduledRequest:
    """A request that is queued or running.

    ``decide`` is called once with the decision. ``deadline`` and all other
    times are monotonic. ``ready_at`` is when the backend server could begin the
    work, which is later than the start if the body arrives slowly.
    """

    request_class: RequestClass
    arrived: timedelta
    deadline: timedelta
    decide: Callable[[Decision], None]
    permit: Permit | None = None
    started: timedelta = timedelta()
    ready_at: timedelta | None = None
    has_response_head: bool = False

    @property
    def target_deadline(self) -> timedelta:
        """Return the time after which the request misses the target of its class."""
        return self.arrived + self.request_class.within


@attrs.define(eq=False)
class ClassState:
    """Queue, slot usage and target results of one class."""

    request_class: RequestClass
    last_arrival_at: timedelta
    waiting: deque[ScheduledRequest] = attrs.Factory(deque)
    running: int = 0
    refused: int = 0
    service_time: timedelta = timedelta()
    _slot_usage: DecayingSum = attrs.field(factory=lambda: DecayingSum(USE_HALF_LIFE))
    _usage_counted_until: timedelta = attrs.field(init=False)
    _arrivals: DecayingSum = attrs.field(factory=lambda: DecayingSum(USE_HALF_LIFE))
    _met: DecayingSum = attrs.field(factory=lambda: DecayingSum(TARGET_HALF_LIFE))
    _ended: DecayingSum = attrs.field(factory=lambda: DecayingSum(TARGET_HALF_LIFE))

    def __attrs_post_init__(self) -> None:
        """Start counting slot usage at the first request."""
        self._usage_counted_until = self.last_arrival_at

    def count_arrival(self, now: timedelta) -> None:
        """Count an arriving request, whether or not it is started."""
        self.last_arrival_at = now
        self._arrivals.add(1.0, now)

    def slot_demand(self, now: timedelta) -> float:
        """Return how many slots the arriving requests would keep busy."""
        rate = self._arrivals.value(now) * math.log(2) / USE_HALF_LIFE.total_seconds()
        return rate * self.service_time.total_seconds()

    @property
    def is_active(self) -> bool:
        """Return whether the class has waiting or running requests."""
        return bool(self.waiting) or self.running > 0

    def slot_usage(self, now: timedelta) -> float:
        """Return the recent slot usage in slot seconds."""
        elapsed = now - self._usage_counted_until
        self._slot_usage.add(self.running * elapsed.total_seconds(), now)
        self._usage_counted_until = now
        return self._slot_usage.value(now)

    def met_share(self, now: timedelta) -> float:
        """Return the recent share of requests within the target; 1 without requests."""
        ended = self._ended.value(now)
        return self._met.value(now) / ended if ended > 1e-9 else 1.0

    def shortfall(self, now: timedelta) -> float:
        """Return how far the share within the target is below the required share."""
        return max(0.0, self.request_class.share - self.met_share(now))

    def count_end(self, is_met: bool, now: timedelta) -> None:
        """Count an ended request as within its target or not."""
        self._ended.add(1.0, now)
        self._met.add(float(is_met), now)

    def pop_next_request(self, now: timedelta) -> ScheduledRequest:
        """Remove and return the first request that can be in time, else the first."""
        in_time = (
            request
            for request in self.waiting
            if now + self.service_time <= request.target_deadline
        )
        request = next(in_time, self.waiting[0])
        self.waiting.remove(request)
        return request

    def update_service_time(self, elapsed: timedelta) -> None:
        """Update the moving average of the time for which a request holds a slot."""
        if not self.service_time:
            self.service_time = elapsed
        self.service_time += (elapsed - self.service_time) * SERVICE_TIME_GAIN
