"""What the companion knows of one class of work."""

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
    """A sum whose addends lose half their weight every half-life."""

    half_life: timedelta
    _sum: float = attrs.field(init=False, default=0.0)
    _at: timedelta = attrs.field(init=False, factory=timedelta)

    def add(self, addend: float, now: timedelta) -> None:
        """Add at the monotonic time ``now``."""
        self._sum = self.value(now) + addend
        self._at = now

    def value(self, now: timedelta) -> float:
        """Return the sum at the monotonic time ``now``."""
        return self._sum * 0.5 ** ((now - self._at) / self.half_life)


@attrs.define(eq=False)
class ScheduledRequest:
    """A request on its way through admission.

    ``decide`` is called once with what becomes of it; ``deadline`` and all
    other times are monotonic. ``ready_at`` is when the work could begin, which
    is later than the start for a body that arrives slowly.
    """

    request_class: RequestClass
    arrived: timedelta
    deadline: timedelta
    decide: Callable[[Decision], None]
    permit: Permit | None = None
    started: timedelta = timedelta()
    ready_at: timedelta | None = None
    has_head: bool = False

    @property
    def target_deadline(self) -> timedelta:
        """Return when the target of the class would be missed."""
        return self.arrived + self.request_class.within


@attrs.define(eq=False)
class ClassState:
    """Queue, use of slots and success of one class."""

    request_class: RequestClass
    seen_at: timedelta
    waiting: deque[ScheduledRequest] = attrs.Factory(deque)
    running: int = 0
    refused: int = 0
    service_time: timedelta = timedelta()
    _use: DecayingSum = attrs.field(factory=lambda: DecayingSum(USE_HALF_LIFE))
    _used_until: timedelta = attrs.field(init=False)
    _arrivals: DecayingSum = attrs.field(factory=lambda: DecayingSum(USE_HALF_LIFE))
    _met: DecayingSum = attrs.field(factory=lambda: DecayingSum(TARGET_HALF_LIFE))
    _ended: DecayingSum = attrs.field(factory=lambda: DecayingSum(TARGET_HALF_LIFE))

    def __attrs_post_init__(self) -> None:
        """Count use from the first request on."""
        self._used_until = self.seen_at

    def count_arrival(self, now: timedelta) -> None:
        """Count a request that has just arrived, whatever becomes of it."""
        self.seen_at = now
        self._arrivals.add(1.0, now)

    def demand(self, now: timedelta) -> float:
        """Return how many slots the requests that arrive would keep busy."""
        rate = self._arrivals.value(now) * math.log(2) / USE_HALF_LIFE.total_seconds()
        return rate * self.service_time.total_seconds()

    @property
    def is_active(self) -> bool:
        """Tell whether the class has work now."""
        return bool(self.waiting) or self.running > 0

    def use(self, now: timedelta) -> float:
        """Return the recent use of slots, in slot seconds."""
        elapsed = now - self._used_until
        self._use.add(self.running * elapsed.total_seconds(), now)
        self._used_until = now
        return self._use.value(now)

    def met_share(self, now: timedelta) -> float:
        """Return the recent share of requests within the target; 1 without any."""
        ended = self._ended.value(now)
        return self._met.value(now) / ended if ended > 1e-9 else 1.0

    def shortfall(self, now: timedelta) -> float:
        """Return by how much the share within the target misses the target."""
        return max(0.0, self.request_class.share - self.met_share(now))

    def count_end(self, is_met: bool, now: timedelta) -> None:
        """Count a request as within its target or not."""
        self._ended.add(1.0, now)
        self._met.add(float(is_met), now)

    def take_next(self, now: timedelta) -> ScheduledRequest:
        """Take the first request that can still be in time, else the first."""
        in_time = (
            request
            for request in self.waiting
            if now + self.service_time <= request.target_deadline
        )
        request = next(in_time, self.waiting[0])
        self.waiting.remove(request)
        return request

    def learn_service_time(self, taken: timedelta) -> None:
        """Follow the time for which requests of the class hold a slot."""
        if not self.service_time:
            self.service_time = taken
        self.service_time += (taken - self.service_time) * SERVICE_TIME_GAIN
