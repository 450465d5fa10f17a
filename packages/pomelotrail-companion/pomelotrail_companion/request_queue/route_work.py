"""Processing times of the requests of each route."""

import math
from datetime import timedelta

import msgspec

from .const import (
    MAX_RESPONSE_FACTOR,
    MAX_ROUTES,
    MIN_KEPT_EVIDENCE,
    MIN_SPEED_RESPONSES,
    MIN_SPEED_WINDOW,
    SPEED_RESPONSES,
    SPEED_WINDOW_WORK_FACTOR,
)


class _Work(msgspec.Struct):
    """The average of a route and the number of recent responses behind it."""

    average: timedelta
    responses: float
    updated: timedelta

    def evidence(self, now: timedelta) -> float:
        """Return the number of responses, which fades as they age."""
        window = max(MIN_SPEED_WINDOW, self.average * SPEED_WINDOW_WORK_FACTOR)
        return self.responses * math.exp(-((now - self.updated) / window))


class RouteWork:
    """Average processing time of each route, from recent responses only.

    Handles this load pattern: the mix of a server's routes changes, or the server
    slows down for seconds. An average over all routes would take the first for the
    second, and an average over responses alone keeps a server slow that gets no more
    requests. Requests without a response aren't recorded: a server that fails isn't
    fast.
    """

    def __init__(self) -> None:
        """Initialize without responses."""
        self._works: dict[bytes, _Work] = {}

    def record(self, route: bytes, duration: timedelta, now: timedelta) -> None:
        """Include the processing time of a request that was answered."""
        work = self._works.pop(route, None)
        evidence = work.evidence(now) if work is not None else 0.0
        if work is None or evidence < MIN_KEPT_EVIDENCE:
            if len(self._works) >= MAX_ROUTES:
                del self._works[next(iter(self._works))]
            self._works[route] = _Work(duration, 1.0, now)
            return
        self._works[route] = work
        duration = min(duration, work.average * MAX_RESPONSE_FACTOR)
        work.responses = min(evidence + 1.0, SPEED_RESPONSES)
        work.average += (duration - work.average) / work.responses
        work.updated = now

    def average(self, route: bytes, now: timedelta) -> timedelta | None:
        """Return the average of a route, or None without enough recent responses."""
        work = self._works.get(route)
        if work is None or work.evidence(now) < MIN_SPEED_RESPONSES:
            return None
        return work.average
