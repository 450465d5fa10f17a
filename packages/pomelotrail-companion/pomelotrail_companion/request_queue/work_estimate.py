"""Estimate of the processing time of a request."""

from datetime import timedelta

from .const import ESTIMATE_WEIGHT, INITIAL_ESTIMATE


class WorkEstimate:
    """Moving average of the time from delivery to response."""

    def __init__(self) -> None:
        """Initialize with the default estimate."""
        self._value = INITIAL_ESTIMATE

    @property
    def value(self) -> timedelta:
        """Return the estimate."""
        return self._value

    def record(self, duration: timedelta) -> None:
        """Include the duration of a response."""
        self._value += (duration - self._value) * ESTIMATE_WEIGHT
