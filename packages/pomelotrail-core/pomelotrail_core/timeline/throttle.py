"""Keeps events that repeat from flooding the ring."""

from datetime import timedelta
from typing import Final

import attrs

from pomelotrail_core.clock import Clock

from .messages import EventKind
from .recorder import Recorder

THROTTLE_INTERVAL: Final = timedelta(seconds=1)
EVENTS_PER_INTERVAL: Final = 20


@attrs.define
class _Interval:
    """How many events of a kind came in the interval under way."""

    began: timedelta
    recorded: int = 0
    left_out: int = 0


class EventThrottle:
    """Records a bounded number of events of each kind in each second.

    The first event after others were left out says how many, so a storm of
    dropped packets costs 20 events a second and stays visible.
    """

    def __init__(self, recorder: Recorder, clock: Clock) -> None:
        """Record with ``recorder``."""
        self._recorder = recorder
        self._clock = clock
        self._intervals: dict[EventKind, _Interval] = {}

    def latest(self, *kinds: EventKind) -> str:
        """Return the identifier of the latest event of these kinds, or empty."""
        return self._recorder.latest(*kinds)

    def record(
        self, kind: EventKind, *, flow: str = "", cause: str = "", detail: str = ""
    ) -> str:
        """Record an event and return its identifier; empty if left out."""
        interval, left_out = self._interval(kind)
        if interval.recorded >= EVENTS_PER_INTERVAL:
            interval.left_out += 1
            return ""
        interval.recorded += 1
        if left_out:
            detail = f"{detail} ({left_out} more left out before)"
        return self._recorder.record(kind, flow=flow, cause=cause, detail=detail)

    def _interval(self, kind: EventKind) -> tuple[_Interval, int]:
        """Return the interval under way and what the last one left out."""
        now = self._clock.monotonic()
        interval = self._intervals.get(kind)
        if interval is not None and now - interval.began < THROTTLE_INTERVAL:
            return interval, 0
        left_out = interval.left_out if interval is not None else 0
        fresh = _Interval(now)
        self._intervals[kind] = fresh
        return fresh, left_out
