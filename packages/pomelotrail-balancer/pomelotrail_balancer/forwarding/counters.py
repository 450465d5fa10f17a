"""Packet counters that OpenTelemetry reads through a callback."""

from collections import defaultdict
from collections.abc import Iterable

from opentelemetry.metrics import CallbackOptions, Meter, Observation


class PacketCounter:
    """Counter of packets by reason.

    Incrementing an OpenTelemetry counter costs more than forwarding a packet, so the
    counts are plain integers that a callback reads at each scrape.
    """

    def __init__(self, meter: Meter, name: str, label: str = "reason") -> None:
        """Export the counts under a metric name, with one label."""
        self._label = label
        self.counts: defaultdict[str, int] = defaultdict(int)
        meter.create_observable_counter(name, callbacks=[self._observe])

    def add(self, reason: str) -> None:
        """Count one packet."""
        self.counts[reason] += 1

    def _observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return the current counts."""
        for reason, count in list(self.counts.items()):
            yield Observation(count, {self._label: reason})
