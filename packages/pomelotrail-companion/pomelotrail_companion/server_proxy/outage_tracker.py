"""Store outages, tracked for balancers that started after them."""

from datetime import timedelta

from pomelotrail_core.clock import Clock

from .const import MILLISECOND


class OutageTracker:
    """Track the end of the grace period for missing entries.

    Companions don't read the store. Balancers that ran during an outage report the
    grace period to them, and they report it to balancers that started after the
    outage, which would otherwise treat a list with missing entries as complete.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize the tracker without an outage."""
        self._clock = clock
        self._grace_end = timedelta()

    @property
    def missing_entry_grace_ms(self) -> int:
        """Return the remaining grace period for missing entries."""
        remaining = self._grace_end - self._clock.monotonic()
        return max(0, remaining // MILLISECOND)

    def record(self, grace_ms: int) -> None:
        """Record the grace period that a balancer reports."""
        if grace_ms > 0:
            until = self._clock.monotonic() + grace_ms * MILLISECOND
            self._grace_end = max(self._grace_end, until)
