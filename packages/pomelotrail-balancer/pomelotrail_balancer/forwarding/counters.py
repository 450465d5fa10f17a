"""Counts packets cheaply and shows the counts to OpenTelemetry when it reads."""

from collections import defaultdict
from collections.abc import Iterable

from opentelemetry.metrics import CallbackOptions, Meter, Observation


class PacketCounter:
    """A count of packets by reason.

    Adding to a counter of OpenTelemetry costs more than forwarding a packet,
    so the counts are plain integers that a callback reads at each scrape.
    """

    def __init__(self, meter: Meter, name: str, label: str = "reason") -> None:
        """Show the counts under a name, each with the value of one label."""
        self._label = label
        self.counts: defaultdict[str, int] = defaultdict(int)
        meter.create_observable_counter(name, callbacks=[self._observe])

    def add(self, reason: str) -> None:
        """Count one packet."""
        self.counts[reason] += 1

    def _observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Return the counts of this moment."""
        for reason, count in list(self.counts.items()):
            yield Observation(count, {self._label: reason})
