"""Listens to what the backend server reports of its own health."""

import abc
from collections.abc import Callable

import aiohttp

from pomelotrail_core.clock import Clock

from .const import HEALTH_INTERVAL, HEALTH_TIMEOUT


class HealthSource(abc.ABC):
    """Where a backend server reports whether it is warm."""

    @abc.abstractmethod
    async def async_is_warm(self) -> bool | None:
        """Return what is reported; None when nothing can be learned."""


class HttpHealth(HealthSource):
    """An HTTP endpoint that answers with JSON such as ``{"warm": false}``."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        """Read the endpoint at ``url``."""
        self._url = url
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT.total_seconds())

    async def async_is_warm(self) -> bool | None:
        """Ask once; an error or another answer says nothing."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as response:
                report = await response.json(content_type=None)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None
        is_warm = report.get("warm") if isinstance(report, dict) else None
        return is_warm if isinstance(is_warm, bool) else None


class HealthWatch:
    """Notices when the backend server begins to report that it is cold.

    Reports lag and mislead. So a report of cold counts once, when it begins,
    and can't hold the limit down for as long as it is wrong; a report of warm
    proves nothing and only makes the next report of cold count again.
    """

    def __init__(
        self, source: HealthSource, clock: Clock, turned_cold: Callable[[], None]
    ) -> None:
        """Call ``turned_cold`` at each beginning."""
        self._source = source
        self._clock = clock
        self._turned_cold = turned_cold
        self._was_cold = False

    async def async_run(self) -> None:
        """Ask at each interval; runs until cancelled."""
        while True:
            self._take(await self._source.async_is_warm())
            await self._clock.async_sleep(HEALTH_INTERVAL)

    def _take(self, is_warm: bool | None) -> None:
        """Compare one report with the one before."""
        if is_warm is None:
            return
        if not is_warm and not self._was_cold:
            self._turned_cold()
        self._was_cold = not is_warm
