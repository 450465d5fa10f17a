"""Share of a backend server's time that requests on time take."""

from collections import deque
from datetime import timedelta

from .const import SHARE_WINDOW


class OnTimeShare:
    """Counts the requests on time that started at the backend server of late.

    Handles this load pattern: callers send more than the servers carry for many
    seconds. Requests on time run first, so the late ones get no slot as long as that
    lasts, and their callers wait until they give up::

        share.record(now)
        share.value(work, slots, now)
    """

    def __init__(self) -> None:
        """Initialize without requests."""
        self._started: deque[timedelta] = deque()

    def record(self, now: timedelta) -> None:
        """Record that a request on time started."""
        self._started.append(now)
        self._drop_expired(now)

    def value(self, work: timedelta, slots: int, now: timedelta) -> float:
        """Return the share of the time of all slots, from 0 to 1."""
        self._drop_expired(now)
        busy = len(self._started) * work / max(1, slots)
        return min(1.0, busy / SHARE_WINDOW)

    def _drop_expired(self, now: timedelta) -> None:
        """Drop requests that started before the window."""
        while self._started and now - self._started[0] >= SHARE_WINDOW:
            self._started.popleft()
