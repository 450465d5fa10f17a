"""Latest loads reported by the peers of a companion."""

from collections.abc import Sequence
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock

from .const import LOAD_REPORT_MAX_AGE


@attrs.frozen
class Load:
    """The open flows of a companion, and how many it can handle now."""

    flows: int
    capacity: float

    @property
    def utilization(self) -> float:
        """Return the flows in relation to the capacity."""
        return self.flows / self.capacity


@attrs.frozen
class _ReceivedLoad:
    """A load with the monotonic time at which it was received."""

    load: Load
    received_at: timedelta


class PeerLoads:
    """The latest load of each peer, valid for ``LOAD_REPORT_MAX_AGE``.

    A stale load does little harm: it only shifts the mean with which a companion
    compares its own, exact load.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize without any reports."""
        self._clock = clock
        self._received: dict[bytes, _ReceivedLoad] = {}

    def record_load(self, companion: bytes, load: Load) -> None:
        """Record the load reported by the companion at a packed address."""
        self._received[companion] = _ReceivedLoad(load, self._clock.monotonic())

    def mean_utilization(self, own: Load) -> float | None:
        """Return the flows per capacity of all; None without reports of peers."""
        self._evict_expired()
        if not self._received:
            return None
        loads = [own, *(each.load for each in self._received.values())]
        capacity = sum(load.capacity for load in loads)
        return sum(load.flows for load in loads) / capacity

    def lowest_utilization(self, companions: Sequence[bytes]) -> float | None:
        """Return the lowest utilization of some companions; None without reports."""
        self._evict_expired()
        received = [
            self._received[each] for each in companions if each in self._received
        ]
        return min((each.load.utilization for each in received), default=None)

    def _evict_expired(self) -> None:
        """Evict the loads of peers whose last report has expired."""
        oldest = self._clock.monotonic() - LOAD_REPORT_MAX_AGE
        expired = [
            name for name, each in self._received.items() if each.received_at < oldest
        ]
        for name in expired:
            del self._received[name]
