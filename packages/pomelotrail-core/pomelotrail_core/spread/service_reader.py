"""Read the configuration service, as a reader or as a fallback."""

import random
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import (
    ConfigurationCoordinator,
    ConfigurationSource,
)
from pomelotrail_core.configuration.const import LONG_POLL_TIMEOUT
from pomelotrail_core.logs import get_logger

from .const import (
    FALLBACK_CALLS_PER_S,
    FALLBACK_INTERVAL_MIN,
    READER_RETRY_MAX,
    READER_RETRY_MIN,
)
from .freshness import Freshness

_LOGGER = get_logger("spread")
_NO_WAIT = timedelta()


class ServiceReader:
    """Watches the service if this process is a reader.

    Any other process polls only while its data is stale, and then no more often
    than its share of the fallback calls that the whole fleet may make.
    """

    def __init__(
        self,
        coordinator: ConfigurationCoordinator,
        source: ConfigurationSource,
        is_reader: Callable[[], bool],
        fleet_size: Callable[[], int],
        freshness: Freshness,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Initialize the reader of ``source``."""
        self._coordinator = coordinator
        self._source = source
        self._is_reader = is_reader
        self._fleet_size = fleet_size
        self._freshness = freshness
        self._clock = clock
        self._rng = rng

    async def async_run(self) -> None:
        """Read the service; runs until cancelled."""
        delay = READER_RETRY_MIN
        while True:
            if self._coordinator.version and not self._is_reader():
                await self._async_pause(self._fallback_interval())
                if self._freshness.is_stale and not self._is_reader():
                    await self.async_poll(_NO_WAIT)
                continue
            if await self.async_poll(LONG_POLL_TIMEOUT):
                delay = READER_RETRY_MIN
                continue
            await self._async_pause(delay)
            delay = min(2 * delay, READER_RETRY_MAX)

    async def async_poll(self, wait: timedelta) -> bool:
        """Poll once; return whether the answer was usable."""
        before = self._coordinator.version
        match await self._source.async_fetch_newer(before, wait):
            case Err(error):
                _LOGGER.warning("%s", error)
                return False
            case Ok(None):
                self._freshness.record_contact(timedelta())
                return True
            case Ok(document):
                if document.version >= self._coordinator.version:
                    self._freshness.record_contact(timedelta())
                return self._coordinator.adopt_if_newer(document, self._source.name)

    def _fallback_interval(self) -> timedelta:
        """Return the polling interval of a process that is not a reader."""
        interval = timedelta(seconds=self._fleet_size() / FALLBACK_CALLS_PER_S)
        return max(interval, FALLBACK_INTERVAL_MIN)

    async def _async_pause(self, delay: timedelta) -> None:
        """Wait for the delay with jitter."""
        await self._clock.async_sleep(delay * self._rng.uniform(0.5, 1.5))
