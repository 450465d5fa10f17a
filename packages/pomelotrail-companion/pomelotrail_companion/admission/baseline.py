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

    @property
    def slow_above(self) -> timedelta | None:
        """Return the latency above which an answer is slow; None when unknown."""
        if not self._samples:
            return None
        ordered = sorted(self._samples)
        high = ordered[-1]
        middle = ordered[len(ordered) // 2]
        is_steady = high <= middle * STEADY_SPREAD
        return high * (STEADY_SLOW_FACTOR if is_steady else SPREAD_SLOW_FACTOR)

    def is_slow(self, latency: timedelta) -> bool:
        """Tell whether a latency is slow; the first ones never are."""
        bound = self.slow_above
        return bound is not None and latency > bound

    def add(self, latency: timedelta) -> None:
        """Take over a normal latency; a run of far shorter ones starts anew."""
        if self._samples and latency * 2 < sorted(self._samples)[0]:
            self._faster.append(latency)
        else:
            self._faster.clear()
        if len(self._faster) >= FASTER_RUN:
            self.replace(list(self._faster))
            return
        self._samples.append(latency)

    def replace(self, latencies: list[timedelta]) -> None:
        """Forget what was normal and start with these latencies."""
        self._samples.clear()
        self._faster.clear()
        self._samples.extend(latencies)
