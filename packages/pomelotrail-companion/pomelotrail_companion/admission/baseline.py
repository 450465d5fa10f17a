"""Baseline of the normal latency of one request class."""

from collections import deque
from datetime import timedelta

import attrs

from .const import (
    BASELINE_SAMPLES,
    FASTER_BASELINE_SAMPLES,
    STABLE_SLOW_FACTOR,
    TYPICAL_LATENCY_FACTOR,
    VARIABLE_SLOW_FACTOR,
)


def _new_samples() -> deque[timedelta]:
    """Return an empty window of samples."""
    return deque(maxlen=BASELINE_SAMPLES)


@attrs.define
class LatencyBaseline:
    """The latest normal latencies of a class and the bounds derived from them.

    For a class whose latencies differ little, a latency above twice the highest
    sample is slow. Where latencies differ much, the highest sample is already an
    outlier, so 1.5 times that sample is the bound.
    """

    _samples: deque[timedelta] = attrs.field(init=False, factory=_new_samples)
    _faster_samples: deque[timedelta] = attrs.field(init=False, factory=_new_samples)

    _shortest: timedelta = attrs.field(init=False, factory=timedelta)
    _typical_below: timedelta = attrs.field(init=False, factory=timedelta)
    _slow_above: timedelta = attrs.field(init=False, factory=timedelta)

    @property
    def is_known(self) -> bool:
        """Return whether there is any sample."""
        return bool(self._samples)

    def is_slow(self, latency: timedelta) -> bool:
        """Return whether a latency is slow; always false without samples."""
        return self.is_known and latency > self._slow_above

    def is_typical(self, latency: timedelta) -> bool:
        """Return whether a latency is near or below the median, as of a warm server."""
        return self.is_known and latency <= self._typical_below

    def add(self, latency: timedelta) -> None:
        """Add a normal latency; a run of far shorter ones replaces the samples."""
        if self._samples and latency * 2 < self._shortest:
            self._faster_samples.append(latency)
        else:
            self._faster_samples.clear()
        if len(self._faster_samples) >= FASTER_BASELINE_SAMPLES:
            self.replace(list(self._faster_samples))
            return
        self._samples.append(latency)
        self._set_bounds()

    def replace(self, latencies: list[timedelta]) -> None:
        """Replace all samples with these latencies."""
        self._samples.clear()
        self._faster_samples.clear()
        self._samples.extend(latencies)
        self._set_bounds()

    def _set_bounds(self) -> None:
        """Compute the bounds of typical and slow latencies from the samples."""
        ordered = sorted(self._samples)
        high = ordered[-1]
        self._shortest = ordered[0]
        self._typical_below = ordered[len(ordered) // 2] * TYPICAL_LATENCY_FACTOR
        is_stable = high <= self._typical_below
        factor = STABLE_SLOW_FACTOR if is_stable else VARIABLE_SLOW_FACTOR
        self._slow_above = high * factor
