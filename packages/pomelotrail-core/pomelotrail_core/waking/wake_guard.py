"""Notices that the process was paused, and holds its traffic for a moment."""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger
from pomelotrail_core.timeline import EventKind, Recorder

from .configuration_check import ConfigurationCheck
from .const import LONGEST_GAP, LONGEST_HOLD, TICK

_LOGGER = get_logger("waking")

Released = Callable[[], None]


class WakeGuard:
    """Keeps a process that wakes late from acting on old facts.

    A tick shows that the process runs. When the monotonic clock has moved on
    by more than a gap since the last one, the process was paused, and the
    configuration may have changed meanwhile, for example by an order to take an
    availability zone out. Traffic is held until the version has been compared,
    for at most two seconds; then the process works on what it has and records
    that. Sockets ask ``is_holding`` before they read::

        if guard.is_holding():
            guard.call_when_released(self._resume)
    """

    def __init__(
        self, clock: Clock, check: ConfigurationCheck, recorder: Recorder
    ) -> None:
        """Compare with ``check`` after a pause."""
        self._clock = clock
        self._check = check
        self._recorder = recorder
        self._last = clock.monotonic()
        self._holding: asyncio.Task[None] | None = None
        self._waiting: list[Released] = []

    async def async_tick(self) -> None:
        """Show that the process runs; runs until cancelled."""
        while True:
            await self._clock.async_sleep(TICK)
            self.is_holding()

    def is_holding(self) -> bool:
        """Tell whether traffic must wait, noticing a pause that just ended."""
        now = self._clock.monotonic()
        gap = now - self._last
        self._last = now
        if gap > LONGEST_GAP and self._holding is None:
            self._holding = asyncio.create_task(self._async_hold(gap))
        return self._holding is not None

    def call_when_released(self, released: Released) -> None:
        """Call a function once the traffic may go on."""
        self._waiting.append(released)

    async def _async_hold(self, gap: timedelta) -> None:
        """Compare the version, then let the traffic go on."""
        seconds = gap.total_seconds()
        woke = self._recorder.record(
            EventKind.WOKE_LATE, detail=f"paused for {seconds:.1f} s"
        )
        compared_with = await self._async_compare()
        if compared_with is None:
            detail = "nobody to compare the version with; working on what is in force"
            _LOGGER.warning("Paused for %.1f s; %s", seconds, detail)
        else:
            detail = f"compared the version with {compared_with}"
            _LOGGER.info("Paused for %.1f s; %s", seconds, detail)
        self._recorder.record(EventKind.WOKE_LATE, cause=woke, detail=detail)
        self._release()

    async def _async_compare(self) -> str | None:
        """Return whom the version was compared with, or None at the limit."""
        comparing = asyncio.ensure_future(self._check.async_compare())
        limit = asyncio.ensure_future(self._clock.async_sleep(LONGEST_HOLD))
        await asyncio.wait((comparing, limit), return_when=asyncio.FIRST_COMPLETED)
        is_compared = comparing.done() and comparing.exception() is None
        for task in (comparing, limit):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        return comparing.result() if is_compared else None

    def _release(self) -> None:
        """Let the traffic go on."""
        self._holding = None
        self._last = self._clock.monotonic()
        waiting, self._waiting = self._waiting, []
        for released in waiting:
            released()
