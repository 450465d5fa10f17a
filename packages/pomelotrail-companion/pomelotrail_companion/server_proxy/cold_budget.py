"""Limit on the flows that a cold backend server gets."""

from collections import deque
from datetime import timedelta

from .const import BUDGET_WINDOW


class ColdBudget:
    """Count the opening packets of the last second.

    Handles this load pattern: a backend server returns cold under high load. In any
    second it gets no more opening packets than its configured cold rate; balancers
    offer the rest to other servers. The number that an earlier process of this
    companion forwarded is unknown, so half of the budget counts as used when the
    process starts.
    """

    def __init__(self, started: timedelta) -> None:
        """Initialize the budget at the start of the process."""
        self._started = started
        self._openings: deque[timedelta] = deque()

    def record(self, now: timedelta) -> None:
        """Count an opening packet that was sent to the backend server."""
        self._openings.append(now)
        self._drop_expired(now)

    def allows(self, per_s: float, now: timedelta) -> bool:
        """Return whether a cold backend server may get another opening packet."""
        self._drop_expired(now)
        budget = max(1.0, per_s)
        if now - self._started < BUDGET_WINDOW:
            budget = max(1.0, budget / 2)
        return len(self._openings) + 1 <= budget

    def _drop_expired(self, now: timedelta) -> None:
        """Drop opening packets that are older than the window."""
        while self._openings and now - self._openings[0] >= BUDGET_WINDOW:
            self._openings.popleft()
