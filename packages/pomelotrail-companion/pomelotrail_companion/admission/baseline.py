"""What latency is normal for one class of work."""

from collections import deque
from datetime import timedelta

import attrs

from .const import (
    BASELINE_SAMPLES,
    FASTER_RUN,
    SPREAD_SLOW_FACTOR,
    STEADY_SLOW_FACTOR,
    STEADY_SPREAD,
)


def _new_samples() -> deque[timedelta]:
    """Return an empty window of samples."""
    return deque(maxlen=BASELINE_SAMPLES)


@attrs.define
class LatencyBaseline:
    """The latest normal latencies of a class, and what is slow beside them.

    A class whose latencies differ little is slow above twice its highest
    sample. Where they differ much, the highest sample is far out already, and
    half as much again is slow.
    """

    _samples: deque[timedelta] = attrs.field(init=False, factory=_new_samples)
    _faster: deque[timedelta] = attrs.field(init=False, factory=_new_samples)

    _shortest: timedelta = attrs.field(init=False, factory=timedelta)
    _typical_below: timedelta = attrs.field(init=False, factory=timedelta)
    _slow_above: timedelta = attrs.field(init=False, factory=timedelta)

    @property
    def is_known(self) -> bool:
        """Tell whether there is any sample."""
        return bool(self._samples)

    def is_slow(self, latency: timedelta) -> bool:
        """Tell whether a latency is slow; the first ones never are."""
        return self.is_known and latency > self._slow_above

    def is_typical(self, latency: timedelta) -> bool:
        """Tell whether a latency proves a warm server, near the middle or below."""
        return self.is_known and latency <= self._typical_below

    def add(self, latency: timedelta) -> None:
        """Take over a normal latency; a run of far shorter ones starts anew."""
        if self._samples and latency * 2 < self._shortest:
            self._faster.append(latency)
        else:
            self._faster.clear()
        if len(self._faster) >= FASTER_RUN:
            self.replace(list(self._faster))
            return
        self._samples.append(latency)
        self._set_bounds()

    def replace(self, latencies: list[timedelta]) -> None:
        """Forget what was normal and start with these latencies."""
        self._samples.clear()
        self._faster.clear()
        self._samples.extend(latencies)
        self._set_bounds()

    def _set_bounds(self) -> None:
        """Work out what is typical and what is slow beside the samples."""
        ordered = sorted(self._samples)
        high = ordered[-1]
        self._shortest = ordered[0]
        self._typical_below = ordered[len(ordered) // 2] * STEADY_SPREAD
        is_steady = high <= self._typical_below
        factor = STEADY_SLOW_FACTOR if is_steady else SPREAD_SLOW_FACTOR
        self._slow_above = high * factor
