"""Monitors the health reports of the backend server."""

import abc
from collections.abc import Callable

import aiohttp

from pomelotrail_core.clock import Clock

from .const import HEALTH_INTERVAL, HEALTH_TIMEOUT


class HealthSource(abc.ABC):
    """A source of reports whether a backend server is warm."""

    @abc.abstractmethod
    async def async_is_warm(self) -> bool | None:
        """Return the reported state; None if it is unavailable."""


class HttpHealth(HealthSource):
    """An HTTP endpoint that answers with JSON such as ``{"warm": false}``."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        """Initialize the endpoint at ``url``."""
        self._url = url
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT.total_seconds())

    async def async_is_warm(self) -> bool | None:
        """Query the endpoint once; return None on an error or any other answer."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                report = await response.json(content_type=None)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None
        is_warm = report.get("warm") if isinstance(report, dict) else None
        return is_warm if isinstance(is_warm, bool) else None


class HealthWatch:
    """Detects when the backend server begins to report that it is cold.

    Reports can be delayed or wrong. So a report of cold counts once, when it
    begins, and can't keep the limit low for as long as it is wrong. A report of
    warm is not evidence; after it, the next report of cold counts again.
    """

    def __init__(
        self, source: HealthSource, clock: Clock, on_cold: Callable[[], None]
    ) -> None:
        """Initialize with a callback for each change to cold."""
        self._source = source
        self._clock = clock
        self._on_cold = on_cold
        self._was_cold = False

    async def async_run(self) -> None:
        """Query the source at each interval until cancelled."""
        while True:
            self._handle_report(await self._source.async_is_warm())
            await self._clock.async_sleep(HEALTH_INTERVAL)

    def _handle_report(self, is_warm: bool | None) -> None:
        """Compare a report with the previous one."""
        if is_warm is None:
            return
        if not is_warm and not self._was_cold:
            self._on_cold()
        self._was_cold = not is_warm
