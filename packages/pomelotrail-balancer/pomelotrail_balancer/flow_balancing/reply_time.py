"""Observed time until companions reply."""

from datetime import timedelta

from .const import REPLY_TIME_DEVIATIONS, REPLY_TIME_WEIGHT


class ReplyTime:
    """Moving average of reply times, and the time after which a reply is overdue.

    Handles this load pattern: packets wait at the slow link of this balancer, so all
    replies are late. A fixed timeout would repeat messages whose replies are on their
    way, which keeps the link full::

        reply_time.record(now - sent_at)
        due = now + reply_time.timeout(minimum)
    """

    def __init__(self) -> None:
        """Initialize without observations."""
        self._mean: timedelta | None = None
        self._deviation = timedelta()

    def record(self, duration: timedelta) -> None:
        """Include the time that a companion took to reply."""
        if self._mean is None:
            self._mean = duration
        difference = duration - self._mean
        self._mean += difference * REPLY_TIME_WEIGHT
        self._deviation += (abs(difference) - self._deviation) * REPLY_TIME_WEIGHT

    def timeout(self, minimum: timedelta) -> timedelta:
        """Return the time after which a reply is overdue."""
        if self._mean is None:
            return minimum
        return max(minimum, self._mean + self._deviation * REPLY_TIME_DEVIATIONS)
