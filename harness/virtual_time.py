"""An event loop whose time jumps to the next timer, for tests of many tasks."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, Final, TypeVar

from pomelotrail_core.clock import Clock

ResultT = TypeVar("ResultT")

_START: Final = datetime(2026, 1, 1, tzinfo=UTC)


class _JumpingSelector(selectors.SelectSelector):
    """Does not wait; tells how long it would have waited."""

    def __init__(self) -> None:
        """Start with no time passed."""
        super().__init__()
        self.elapsed = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let the time until the next timer pass at once."""
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        self.elapsed += max(timeout, 0.0)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on the time of its selector."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the time that has passed, in seconds."""
        return self._jumping.elapsed

    def pass_time(self, seconds: float) -> None:
        """Move on, so that timers end late."""
        self._jumping.elapsed += seconds


def keep_processor_busy(seconds: float) -> None:
    """Let time pass in which the running loop gets nothing done."""
    loop = asyncio.get_running_loop()
    if not isinstance(loop, _VirtualLoop):
        raise TypeError("only a virtual loop's time can be changed")
    loop.pass_time(seconds)


class VirtualClock(Clock):
    """The clock of the running virtual loop."""

    def now(self) -> datetime:
        """Return the virtual time of day."""
        return _START + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the virtual time since the loop was made."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep on the running loop."""
        await asyncio.sleep(delay.total_seconds())


def run_in_virtual_time(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine on a virtual loop."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        return runner.run(main)
