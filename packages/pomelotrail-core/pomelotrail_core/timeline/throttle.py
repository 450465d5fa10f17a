"""Rate limit for repeated events."""

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
    """Counts of the events of one kind in the current interval."""

    started_at: timedelta
    recorded: int = 0
    suppressed: int = 0


class EventThrottle:
    """Records a limited number of events of each kind per second.

    The first event of a later interval includes the number of suppressed events,
    so a burst of dropped packets records 20 events per second and stays visible.
    """

    def __init__(self, recorder: Recorder, clock: Clock) -> None:
        """Record events with ``recorder``."""
        self._recorder = recorder
        self._clock = clock
        self._intervals: dict[EventKind, _Interval] = {}

    def latest(self, *kinds: EventKind) -> str:
        """Return the identifier of the latest event of these kinds, or empty."""
        return self._recorder.latest(*kinds)

    def record(
        self, kind: EventKind, *, flow: str = "", cause: str = "", detail: str = ""
    ) -> str:
        """Record an event and return its identifier; empty if suppressed."""
        interval, suppressed = self._current_interval(kind)
        if interval.recorded >= EVENTS_PER_INTERVAL:
            interval.suppressed += 1
            return ""
        interval.recorded += 1
        if suppressed:
            detail = f"{detail} ({suppressed} more left out before)"
        return self._recorder.record(kind, flow=flow, cause=cause, detail=detail)

    def _current_interval(self, kind: EventKind) -> tuple[_Interval, int]:
        """Return the current interval and the number suppressed in the last one."""
        now = self._clock.monotonic()
        interval = self._intervals.get(kind)
        if interval is not None and now - interval.started_at < THROTTLE_INTERVAL:
            return interval, 0
        suppressed = interval.suppressed if interval is not None else 0
        current = _Interval(now)
        self._intervals[kind] = current
        return current, suppressed
