"""The time, as an interface that tests can replace."""

import abc
import asyncio
import time
from datetime import UTC, datetime, timedelta


class Clock(abc.ABC):
    """Tells the time and waits; passed in wherever time matters."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> timedelta:
        """Return the time since a fixed moment; it never steps back."""

    @abc.abstractmethod
    async def async_sleep(self, delay: timedelta) -> None:
        """Wait for the given time."""


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the machine's monotonic time."""
        return timedelta(seconds=time.monotonic())

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(delay.total_seconds())
