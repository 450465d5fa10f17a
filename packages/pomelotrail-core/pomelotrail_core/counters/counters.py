"""Integer counters and gauges for hot paths, rendered in the Prometheus text format.

The roles on small VMs don't import the OpenTelemetry SDK: it costs 2.4 MB and
about 90 ms of processor time at each start. ``prometheus_client`` renders the
text and is imported at the first scrape.
"""

import sys
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from typing import TYPE_CHECKING

from .const import LATENCY_BOUNDS_S, METRIC_PREFIX

if TYPE_CHECKING:
    from prometheus_client.core import Metric


class LatencyHistogram:
    """Counts durations in buckets by upper bound."""

    def __init__(self) -> None:
        """Start with empty buckets."""
        self._counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self._sum_s = 0.0

    @property
    def total(self) -> int:
        """Return the number of durations."""
        return sum(self._counts)

    def observe(self, duration: timedelta) -> None:
        """Count one duration."""
        seconds = duration.total_seconds()
        self._counts[bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._sum_s += seconds

    def metric(self, name: str) -> "Metric":
        """Return the histogram in the form that ``prometheus_client`` renders."""
        from prometheus_client.core import HistogramMetricFamily

        buckets = []
        cumulative = 0
        bounds = (*map(str, LATENCY_BOUNDS_S), "+Inf")
        for bound, count in zip(bounds, self._counts, strict=True):
            cumulative += count
            buckets.append((bound, cumulative))
        return HistogramMetricFamily(name, f"{name} in seconds", buckets, self._sum_s)


class Counters:
    """The counters, gauges and histograms of one process.

    Adding is a single integer operation::

        counters = Counters()
        counters.add("packets_forwarded")
        counters.latency("offer_seconds").observe(elapsed)
        counters.render()
    """

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, int] = {}
        self._histograms: dict[str, LatencyHistogram] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counts[name] += count

    def value(self, name: str) -> int:
        """Return the value of a counter."""
        return self._counts[name]

    def set_gauge(self, name: str, value: int) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def latency(self, name: str) -> LatencyHistogram:
        """Return the histogram of that name, creating it at first use."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = LatencyHistogram()
        return histogram

    def collect(self) -> "Iterator[Metric]":
        """Yield all metrics; ``prometheus_client`` calls this."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        for name, count in sorted(self._counts.items()):
            full_name = f"{METRIC_PREFIX}_{name}"
            yield CounterMetricFamily(full_name, f"{name} since the start", count)
        for name, value in sorted(self._gauges.items()):
            yield GaugeMetricFamily(f"{METRIC_PREFIX}_{name}", name, value)
        for name, histogram in sorted(self._histograms.items()):
            yield histogram.metric(f"{METRIC_PREFIX}_{name}")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        _allow_ssl()
        from prometheus_client import generate_latest

        return generate_latest(self)  # type: ignore[arg-type]


def _allow_ssl() -> None:
    """Let modules import ssl, which the start of a role prevents to save memory.

    ``prometheus_client`` imports it, and asyncio has been imported without it by now.
    """
    if "ssl" in sys.modules and sys.modules["ssl"] is None:
        del sys.modules["ssl"]
