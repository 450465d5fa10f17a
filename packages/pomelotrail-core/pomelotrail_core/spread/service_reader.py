"""Reads the service: always as a reader, seldom as anybody else."""

import random
from collections.abc import Callable
from datetime import timedelta

from result import Err, Ok

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import (
    ConfigurationCoordinator,
    ConfigurationSource,
)
from pomelotrail_core.configuration.const import LONG_POLL
from pomelotrail_core.logs import get_logger

from .const import (
    FALLBACK_CALLS_PER_S,
    FALLBACK_MIN,
    READER_RETRY_MAX,
    READER_RETRY_MIN,
)
from .freshness import Freshness

_LOGGER = get_logger("spread")
_NO_WAIT = timedelta()


class ServiceReader:
    """Holds the watch if this process is a reader.

    Any other process asks only while no news reaches it, and then no more often
    than its share of the calls that the whole fleet may make.
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
        """Read ``source`` on the given clock."""
        self._coordinator = coordinator
        self._source = source
        self._is_reader = is_reader
        self._fleet_size = fleet_size
        self._freshness = freshness
        self._clock = clock
        self._rng = rng

    async def async_run(self) -> None:
        """Read for as long as the process lives; runs until cancelled."""
        delay = READER_RETRY_MIN
        while True:
            if self._coordinator.version and not self._is_reader():
                await self._async_pause(self._share())
                if self._freshness.is_stale and not self._is_reader():
                    await self.async_ask(_NO_WAIT)
                continue
            if await self.async_ask(LONG_POLL):
                delay = READER_RETRY_MIN
                continue
            await self._async_pause(delay)
            delay = min(2 * delay, READER_RETRY_MAX)

    async def async_ask(self, wait: timedelta) -> bool:
        """Ask once; tell whether the answer was of use."""
        before = self._coordinator.version
        match await self._source.async_next(before, wait):
            case Err(error):
                _LOGGER.warning("%s", error)
                return False
            case Ok(None):
                self._freshness.hear(timedelta())
                return True
            case Ok(document):
                if document.version >= self._coordinator.version:
                    self._freshness.hear(timedelta())
                return self._coordinator.offer(document, self._source.name)

    def _share(self) -> timedelta:
        """Return the time between two calls of a process that is no reader."""
        interval = timedelta(seconds=self._fleet_size() / FALLBACK_CALLS_PER_S)
        return max(interval, FALLBACK_MIN)

    async def _async_pause(self, delay: timedelta) -> None:
        """Wait with jitter."""
        await self._clock.async_sleep(delay * self._rng.uniform(0.5, 1.5))
