"""What the clocks of another process show compared with ours."""

from datetime import datetime, timedelta

import attrs


@attrs.frozen
class ClockEstimate:
    """The clocks of a process at the middle of one exchange of messages.

    ``at`` is our time in the middle between question and answer; ``wall`` and
    ``monotonic`` are what the process answered. Half the round trip bounds the
    error::

        estimate = ClockEstimate(at=noon, wall=noon + 2 * SECOND, ...)
        estimate.offset   # two seconds: the clock of the process is fast
    """

    at: datetime
    wall: datetime
    monotonic: timedelta
    round_trip: timedelta

    @property
    def offset(self) -> timedelta:
        """Return by how much the wall clock of the process is ahead of ours."""
        return self.wall - self.at

    @property
    def uncertainty(self) -> timedelta:
        """Return the bound of the error of the offset."""
        return self.round_trip / 2

    def correct(self, monotonic: timedelta) -> datetime:
        """Return the time by our clock of a monotonic time of the process.

        The monotonic clock is used, so a wall clock that was stepped between
        two events doesn't change their order.
        """
        return self.at - (self.monotonic - monotonic)
