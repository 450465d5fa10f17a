"""A clock interface that tests can replace."""

import abc
import asyncio
import time
from datetime import UTC, datetime, timedelta


class Clock(abc.ABC):
    """Provides the time and delays; passed to all code that depends on time."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> timedelta:
        """Return the time since a fixed point; it never decreases."""

    @abc.abstractmethod
    async def async_sleep(self, delay: timedelta) -> None:
        """Wait for a delay."""


class SystemClock(Clock):
    """The system clock."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the monotonic time of the system."""
        return timedelta(seconds=time.monotonic())

    async def async_sleep(self, delay: timedelta) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(delay.total_seconds())
