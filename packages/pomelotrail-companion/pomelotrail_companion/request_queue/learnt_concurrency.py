"""The number of concurrent requests that a backend server takes well."""

import math
from datetime import timedelta

import msgspec

from .const import (
    LEVEL_RESPONSES,
    LEVEL_WINDOW_WORK_FACTOR,
    MAX_LEVELS,
    MAX_RESPONSE_FACTOR,
    MIN_GAIN_SHARE,
    MIN_LEVEL_RESPONSES,
    MIN_LEVEL_WINDOW,
)


class _Level(msgspec.Struct):
    """Average processing time at one number of concurrent requests."""

    average: timedelta
    responses: float
    updated: timedelta

    def evidence(self, now: timedelta) -> float:
        """Return the number of responses, which fades as they age."""
        window = max(MIN_LEVEL_WINDOW, self.average * LEVEL_WINDOW_WORK_FACTOR)
        return self.responses * math.exp(-((now - self.updated) / window))


class LearntConcurrency:
    """Finds how many concurrent requests bring more answers, not later ones.

    Handles this load pattern: a server slows down long before all its slots are in
    use. Further requests wait inside it, in order of arrival, while other servers have
    capacity.

    For each number of concurrent requests, the rate of answers follows from their
    processing time. The limit is one step above the smallest number that no higher one
    betters, so that a server that takes more again is noticed and the limit rises step
    by step. It is never below 2, and without recent responses there is none.
    """

    def __init__(self) -> None:
        """Initialize without responses."""
        self._levels: dict[int, _Level] = {}
        self._limit: int | None = None

    def record(
        self, running: int, slots: int, duration: timedelta, now: timedelta
    ) -> None:
        """Include the response to a request that was one of ``running``."""
        step = _step(slots)
        number = -(-running // step) * step
        level = self._levels.get(number)
        if level is None:
            self._levels[number] = _Level(duration, 1.0, now)
            return
        evidence = level.evidence(now)
        if evidence >= 1.0:
            duration = min(duration, level.average * MAX_RESPONSE_FACTOR)
        level.responses = min(evidence + 1.0, LEVEL_RESPONSES)
        level.average += (duration - level.average) / level.responses
        level.updated = now

    def limit(self, slots: int, now: timedelta) -> int | None:
        """Return how many requests to run concurrently; None if it isn't known."""
        self._levels = {
            number: level
            for number, level in self._levels.items()
            if level.evidence(now) >= 1.0
        }
        rates = [
            (number, number / level.average.total_seconds())
            for number, level in sorted(self._levels.items())
            if level.evidence(now) >= MIN_LEVEL_RESPONSES and level.average
        ]
        self._limit = self._next_limit(rates, _step(slots))
        if self._limit is not None and self._limit >= slots:
            self._limit = None
        return self._limit

    def _next_limit(self, rates: list[tuple[int, float]], step: int) -> int | None:
        """Return the limit for the rates of answers by concurrent requests."""
        if not rates:
            return None
        best, best_rate = rates[0]
        for number, rate in rates[1:]:
            if rate >= best_rate * (1 + MIN_GAIN_SHARE * (number / best - 1)):
                best, best_rate = number, rate
        if best == rates[-1][0] and self._limit is None:
            # Nothing is known to be worse, and bursts should find all slots.
            return None
        return best + step

    def describe(self) -> list[str]:
        """Return the processing time at each number of requests, for the log."""
        return [
            f"{number}: {level.average.total_seconds() * 1000:.1f} ms"
            for number, level in sorted(self._levels.items())
        ]


def _step(slots: int) -> int:
    """Return the distance of the numbers of requests that are told apart."""
    return max(1, slots // MAX_LEVELS)
