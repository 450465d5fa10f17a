"""Compares the configuration in force with what others have."""

import abc

from result import Err, Ok

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import ConfigurationCoordinator, ConfigurationSource

from .const import CHECK_RETRY


class ConfigurationCheck(abc.ABC):
    """Brings the configuration of this process up to date once."""

    @abc.abstractmethod
    async def async_compare(self) -> str:
        """Return whom the version was compared with, as soon as it has been.

        A newer version is in force when this returns. It may never return
        while nobody can be reached; the caller bounds the wait.
        """


class ServiceCheck(ConfigurationCheck):
    """Asks the configuration service until it answers."""

    def __init__(
        self,
        source: ConfigurationSource,
        coordinator: ConfigurationCoordinator,
        clock: Clock,
    ) -> None:
        """Offer what the source has to the coordinator."""
        self._source = source
        self._coordinator = coordinator
        self._clock = clock

    async def async_compare(self) -> str:
        """Read the published document, not waiting for a newer one."""
        while True:
            match await self._source.async_next(0):
                case Ok(None):
                    return self._source.name
                case Ok(document):
                    self._coordinator.offer(document, self._source.name)
                    return self._source.name
                case Err(_):
                    await self._clock.async_sleep(CHECK_RETRY)
