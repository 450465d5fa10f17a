"""Detects that the process was suspended and briefly pauses its traffic."""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger
from pomelotrail_core.timeline import EventKind, Recorder

from .configuration_check import ConfigurationCheck
from .const import MAX_TICK_GAP, MAX_TRAFFIC_PAUSE, TICK_INTERVAL

_LOGGER = get_logger("waking")

ResumeCallback = Callable[[], None]


class SuspendDetector:
    """Prevents a process that was suspended from acting on stale state.

    The process reads the monotonic clock at every tick. When the clock has
    advanced by more than ``MAX_TICK_GAP`` since the last reading, the process was
    suspended, and the configuration may have changed meanwhile, for example to
    take an availability zone out of service. Traffic is paused until the version
    has been compared, for at most two seconds; then the process continues with
    its current configuration and records that. Sockets check ``is_paused`` before
    they read::

        if detector.is_paused():
            detector.call_when_resumed(self._resume)
    """

    def __init__(
        self, clock: Clock, check: ConfigurationCheck, recorder: Recorder
    ) -> None:
        """Use ``check`` to compare the configuration after a suspension."""
        self._clock = clock
        self._check = check
        self._recorder = recorder
        self._last_reading = clock.monotonic()
        self._pause_task: asyncio.Task[None] | None = None
        self._resume_callbacks: list[ResumeCallback] = []

    async def async_tick(self) -> None:
        """Read the clock regularly until cancelled."""
        while True:
            await self._clock.async_sleep(TICK_INTERVAL)
            self.is_paused()

    def is_paused(self) -> bool:
        """Return whether traffic is paused, after checking for a suspension."""
        now = self._clock.monotonic()
        gap = now - self._last_reading
        self._last_reading = now
        if gap > MAX_TICK_GAP and self._pause_task is None:
            self._pause_task = asyncio.create_task(self._async_pause_traffic(gap))
        return self._pause_task is not None

    def call_when_resumed(self, on_resume: ResumeCallback) -> None:
        """Call a function once when traffic resumes."""
        self._resume_callbacks.append(on_resume)

    async def _async_pause_traffic(self, gap: timedelta) -> None:
        """Compare the version, then resume traffic."""
        seconds = gap.total_seconds()
        suspended = self._recorder.record(
            EventKind.WOKE_LATE, detail=f"paused for {seconds:.1f} s"
        )
        compared_with = await self._async_compare()
        if compared_with is None:
            detail = (
                "no source to compare the version with; "
                "using the configuration in force"
            )
            _LOGGER.warning("Paused for %.1f s; %s", seconds, detail)
        else:
            detail = f"compared the version with {compared_with}"
            _LOGGER.info("Paused for %.1f s; %s", seconds, detail)
        self._recorder.record(EventKind.WOKE_LATE, cause=suspended, detail=detail)
        self._resume_traffic()

    async def _async_compare(self) -> str | None:
        """Return the source that the version was compared with, or None on timeout."""
        comparing = asyncio.ensure_future(self._check.async_compare())
        timeout = asyncio.ensure_future(self._clock.async_sleep(MAX_TRAFFIC_PAUSE))
        await asyncio.wait((comparing, timeout), return_when=asyncio.FIRST_COMPLETED)
        is_compared = comparing.done() and comparing.exception() is None
        for task in (comparing, timeout):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, Exception):
                await task
        return comparing.result() if is_compared else None

    def _resume_traffic(self) -> None:
        """Resume traffic and call the waiting callbacks."""
        self._pause_task = None
        self._last_reading = self._clock.monotonic()
        callbacks, self._resume_callbacks = self._resume_callbacks, []
        for callback in callbacks:
            callback()
