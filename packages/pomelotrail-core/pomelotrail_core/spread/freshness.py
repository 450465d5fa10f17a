"""Age of the configuration data that reaches this process."""

from datetime import timedelta

from pomelotrail_core.clock import Clock

from .const import STALE_AFTER


class Freshness:
    """Tracks the last upstream contact with the configuration service.

    Every message carries the age, which only increases from hop to hop, so a
    cycle of processes that follow each other can't keep itself fresh.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any contact."""
        self._clock = clock
        self._contact: timedelta | None = None
        self._started = clock.monotonic()

    @property
    def age(self) -> timedelta:
        """Return the time since the last known contact or since startup."""
        since = self._started if self._contact is None else self._contact
        return self._clock.monotonic() - since

    @property
    def is_stale(self) -> bool:
        """Return whether the last contact is older than the staleness limit."""
        return self.age > STALE_AFTER

    def record_contact(self, age: timedelta) -> None:
        """Record a contact of the given age; zero for a direct service response."""
        contact = self._clock.monotonic() - age
        if self._contact is None or contact > self._contact:
            self._contact = contact
