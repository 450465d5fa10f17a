"""News of outages of the store, kept for balancers that have just started."""

from datetime import timedelta

from pomelotrail_core.clock import Clock

from .const import MILLISECOND


class OutageNews:
    """Remembers until when lapsed entries may come back.

    Companions don't read the store. Balancers that lived through an outage tell
    them, and they tell balancers that started after it, which would otherwise take
    a list with missing entries for complete.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without news."""
        self._clock = clock
        self._until = timedelta()

    @property
    def unsettled_ms(self) -> int:
        """Return how long entries may still come back."""
        remaining = self._until - self._clock.monotonic()
        return max(0, remaining // MILLISECOND)

    def note(self, unsettled_ms: int) -> None:
        """Take what a balancer knows."""
        if unsettled_ms > 0:
            until = self._clock.monotonic() + unsettled_ms * MILLISECOND
            self._until = max(self._until, until)
