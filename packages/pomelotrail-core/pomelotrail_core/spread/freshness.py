"""How old the news is that reaches this process."""

from datetime import timedelta

from pomelotrail_core.clock import Clock

from .const import STALE_AFTER


class Freshness:
    """Knows when anybody upstream last heard from the service.

    The age travels with every message and only grows on the way, so a circle
    of processes that follow each other can't keep itself fresh.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any contact."""
        self._clock = clock
        self._contact: timedelta | None = None
        self._started = clock.monotonic()

    @property
    def age(self) -> timedelta:
        """Return the time since the last known contact, or since the start."""
        since = self._started if self._contact is None else self._contact
        return self._clock.monotonic() - since

    @property
    def is_stale(self) -> bool:
        """Tell whether the service should have been heard from by now."""
        return self.age > STALE_AFTER

    def hear(self, age: timedelta) -> None:
        """Take the age that a parent told, or zero for the service itself."""
        contact = self._clock.monotonic() - age
        if self._contact is None or contact > self._contact:
            self._contact = contact
