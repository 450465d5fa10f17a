"""Compares the configuration in force with that of other processes."""

import abc


class ConfigurationCheck(abc.ABC):
    """Brings the configuration of this process up to date once."""

    @abc.abstractmethod
    async def async_compare(self) -> str:
        """Return the name of the source that the version was compared with.

        A newer version is in force when this returns. It may never return
        while no source is reachable; the caller must set a timeout.
        """
