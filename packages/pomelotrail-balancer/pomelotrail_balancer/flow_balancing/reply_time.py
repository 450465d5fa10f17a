"""Observed time until companions reply."""

from datetime import timedelta

from .const import (
    MAX_FAILED_COMPANIONS,
    MAX_TIMEOUT_DOUBLINGS,
    REPLY_TIME_DEVIATIONS,
    REPLY_TIME_WEIGHT,
)


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
        self._consecutive_overdue = 0

    def record(self, duration: timedelta) -> None:
        """Include the time that a companion took to reply."""
        self._consecutive_overdue = 0
        if self._mean is None:
            self._mean = duration
        difference = duration - self._mean
        self._mean += difference * REPLY_TIME_WEIGHT
        self._deviation += (abs(difference) - self._deviation) * REPLY_TIME_WEIGHT

    def timeout(self, minimum: timedelta) -> timedelta:
        """Return the time after which a reply is overdue."""
        usual = timedelta()
        if self._mean is not None:
            usual = self._mean + self._deviation * REPLY_TIME_DEVIATIONS
        return max(minimum, usual)

    def backed_off_timeout(self, minimum: timedelta) -> timedelta:
        """Return the timeout, doubled for each overdue reply since the last reply.

        A few companions that don't reply have failed; if no companion at all replies,
        the delay is probably here.
        """
        excess = max(0, self._consecutive_overdue - MAX_FAILED_COMPANIONS)
        return self.timeout(minimum) * 2 ** min(excess, MAX_TIMEOUT_DOUBLINGS)

    def record_overdue(self) -> None:
        """Record that a reply is overdue."""
        self._consecutive_overdue += 1
