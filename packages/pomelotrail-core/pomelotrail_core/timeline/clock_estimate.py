"""Estimates of the clocks of another process relative to the local clock."""

from datetime import datetime, timedelta

import attrs


@attrs.frozen
class ClockEstimate:
    """The clocks of a process at the midpoint of one message exchange.

    ``at`` is the local time at the midpoint between request and reply; ``wall``
    and ``monotonic`` are the clock readings in the reply. Half the round trip
    bounds the error::

        estimate = ClockEstimate(at=noon, wall=noon + 2 * SECOND, ...)
        estimate.offset   # two seconds: the clock of the process is ahead
    """

    at: datetime
    wall: datetime
    monotonic: timedelta
    round_trip: timedelta

    @property
    def offset(self) -> timedelta:
        """Return how far the wall clock of the process is ahead of the local one."""
        return self.wall - self.at

    @property
    def uncertainty(self) -> timedelta:
        """Return the maximum error of the offset."""
        return self.round_trip / 2

    def correct(self, monotonic: timedelta) -> datetime:
        """Return the local time for a monotonic time of the process.

        The monotonic clock is used so that a step of the wall clock between two
        events doesn't change their order.
        """
        return self.at - (self.monotonic - monotonic)
