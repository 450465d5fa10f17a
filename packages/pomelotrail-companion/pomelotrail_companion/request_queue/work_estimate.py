"""Estimate of the processing time of a request."""

from datetime import timedelta

from .const import ESTIMATE_WEIGHT, INITIAL_ESTIMATE, UPPER_BOUND_DEVIATIONS


class WorkEstimate:
    """Moving average of the time from delivery to response.

    The first responses replace the default: a service that is ten times faster or
    slower than usual is estimated correctly after a few requests.
    """

    def __init__(self) -> None:
        """Initialize with the default estimate."""
        self._value = INITIAL_ESTIMATE
        self._deviation = timedelta()
        self._responses = 0

    @property
    def value(self) -> timedelta:
        """Return the estimate."""
        return self._value

    @property
    def upper_bound(self) -> timedelta:
        """Return the time in which nearly all requests are processed.

        As in RFC 6298, the mean deviation stands for the spread.
        """
        return self._value + self._deviation * UPPER_BOUND_DEVIATIONS

    @property
    def observed_ms(self) -> float:
        """Return the estimate in milliseconds, or 0 without a response."""
        return self._value.total_seconds() * 1000 if self._responses else 0.0

    def record(self, duration: timedelta) -> None:
        """Include the duration of a response."""
        self._responses += 1
        weight = max(ESTIMATE_WEIGHT, 1 / self._responses)
        difference = duration - self._value
        self._value += difference * weight
        if self._responses > 1:
            self._deviation += (abs(difference) - self._deviation) * weight
