"""Share of a backend server's time that requests on time take."""

from collections import deque
from datetime import timedelta

from .const import SHARE_WINDOW


class OnTimeShare:
    """Counts the requests on time that started at the backend server of late.

    Handles this load pattern: callers send more than the servers carry for many
    seconds. Urgent requests run before others, and requests on time before late ones.
    Those that wait have only the time that these leave, and without regard to it, they
    would be accepted and then get no slot until their callers give up::

        share.record(priority, now)
        share.of_all(work, slots, now)
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._started: deque[tuple[timedelta, int]] = deque()

    def record(self, priority: int, now: timedelta) -> None:
        """Record that a request on time started."""
        self._started.append((now, priority))
        self._drop_expired(now)

    def of_all(self, work: timedelta, slots: int, now: timedelta) -> float:
        """Return the share of the time of all slots, from 0 to 1."""
        self._drop_expired(now)
        return _share(len(self._started), work, slots)

    def of_more_urgent(
        self, priority: int, work: timedelta, slots: int, now: timedelta
    ) -> float:
        """Return the share that requests of a higher priority took, from 0 to 1."""
        self._drop_expired(now)
        count = sum(other < priority for _, other in self._started)
        return _share(count, work, slots)

    def _drop_expired(self, now: timedelta) -> None:
        """Drop requests that started before the window."""
        while self._started and now - self._started[0][0] >= SHARE_WINDOW:
            self._started.popleft()


def _share(count: int, work: timedelta, slots: int) -> float:
    """Return the share of the window that a number of requests took."""
    return min(1.0, count * work / max(1, slots) / SHARE_WINDOW)
