"""Compares the configuration in force with what others have."""

import abc


class ConfigurationCheck(abc.ABC):
    """Brings the configuration of this process up to date once."""

    @abc.abstractmethod
    async def async_compare(self) -> str:
        """Return whom the version was compared with, as soon as it has been.

        A newer version is in force when this returns. It may never return
        while nobody can be reached; the caller bounds the wait.
        """
