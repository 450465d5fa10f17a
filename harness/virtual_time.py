"""An event loop with virtual time, which advances to the next timer at once."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, Final, TypeVar

from pomelotrail_core.clock import Clock

ResultT = TypeVar("ResultT")

_START: Final = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Returns at once and adds up the time that it would have waited."""

    def __init__(self) -> None:
        """Start with no elapsed time."""
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Add the timeout to the elapsed time without waiting."""
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is pending")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the elapsed time of its selector."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the elapsed virtual time in seconds."""
        return self._jumping.elapsed

    def advance(self, seconds: float) -> None:
        """Advance the time, so that pending timers fire late."""
        self._jumping.elapsed += seconds


def keep_processor_busy(seconds: float) -> None:
    """Simulate a blocked event loop: advance its time without running tasks."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, _VirtualLoop):
        raise TypeError("only the time of a virtual loop can be changed")
    loop.advance(seconds)


class VirtualClock(Clock):
    """The clock of the running virtual loop."""

    def now(self) -> datetime:
        """Return the virtual time of day."""
        return _START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the virtual time since the loop was created."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep on the running loop."""
        await asyncio.sleep(delay.total_seconds())


def run_in_virtual_time(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on a virtual loop."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)
