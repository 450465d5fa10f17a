"""Store outages, tracked for balancers that started after them."""

from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.offers import MISSING_ENTRY_GRACE

from .const import MILLISECOND


class OutageTracker:
    """Track the end of the grace period for missing entries.

    Companions don't read the store. Balancers that ran during an outage report the
    grace period to them, and they report it to balancers that started after the
    outage, which would otherwise treat a list with missing entries as complete.

    A later era than any before means that the store was restored since the last
    message. A balancer that started since can't know, as it read no earlier era.
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize the tracker without an outage."""
        self._clock = clock
        self._grace_end = timedelta()
        self._era: int | None = None

    @property
    def missing_entry_grace_ms(self) -> int:
        """Return the remaining grace period for missing entries."""
        remaining = self._grace_end - self._clock.monotonic()
        return max(0, remaining // MILLISECOND)

    def record(self, grace_ms: int, era: int) -> None:
        """Record the grace period and the era of the store that a balancer reports."""
        is_restored = self._era is not None and era > self._era
        self._era = era if self._era is None else max(self._era, era)
        grace = MISSING_ENTRY_GRACE if is_restored else grace_ms * MILLISECOND
        if grace > timedelta():
            self._grace_end = max(self._grace_end, self._clock.monotonic() + grace)
