"""Outages of the source, and the entries that expire in them."""

from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.offers import MISSING_ENTRY_GRACE

from .const import OUTAGE_ATTRIBUTION_WINDOW


class SourceOutage:
    """The current or last outage of the source.

    Entries that expired in it are written again within a grace period after its end::

        outage.begin()
        ...
        outage.end()
        if outage.may_explain_missing_entry:
            keep_until = outage.grace_end
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize without an outage."""
        self._clock = clock
        self._is_current = False
        self._ended: timedelta | None = None

    @property
    def is_current(self) -> bool:
        """Return whether the source is unreachable."""
        return self._is_current

    @property
    def grace_remaining(self) -> timedelta:
        """Return the remaining grace period; the whole period during an outage."""
        if self._is_current:
            return MISSING_ENTRY_GRACE
        if self._ended is None:
            return timedelta()
        remaining = self._ended + MISSING_ENTRY_GRACE - self._clock.monotonic()
        return max(timedelta(), remaining)

    @property
    def grace_end(self) -> timedelta:
        """Return when an entry that is missing now is gone."""
        now = self._clock.monotonic()
        started = now if self._is_current or self._ended is None else self._ended
        return started + MISSING_ENTRY_GRACE

    @property
    def may_explain_missing_entry(self) -> bool:
        """Return whether an entry that is missing now may have expired in an outage."""
        if self._is_current:
            return True
        now = self._clock.monotonic()
        return self._ended is not None and now - self._ended < OUTAGE_ATTRIBUTION_WINDOW

    def begin(self) -> None:
        """Record that the source is unreachable."""
        self._is_current = True

    def end(self) -> None:
        """Record that an outage has just ended, whether or not it was noticed."""
        self._is_current = False
        self._ended = self._clock.monotonic()
